/**
 * Finds out how many requests a target takes well, also while its samples are too much alike to tell.
 *
 * With varying numbers in flight, the curve of the samples tells. A target that is always full shows only one point of it.
 * There the limit is lowered now and then for a moment, to see whether requests then take less time, and at once when
 * they begin to take longer than before.
 *
 * @module
 */
import * as concurrencyCurve from './concurrency-curve.js'

/** What the search knows besides samples. */
export interface Conditions {
  readonly bound: number
  /** The limit with which the samples were taken. */
  readonly previous: number
  readonly nowMs: number
}

/** A limit that the samples allow, or a lower one that would show more. */
export interface Finding {
  readonly limit: number
  readonly isProbe: boolean
}

/**
 * Times above the last known ones by this factor, while what is in flight hardly varies, show either a slower target or
 * an overloaded one. The limit is lowered to tell them apart.
 */
const TOLERATED_SLOWDOWN = 1.3
const TOLERATED_ELASTICITY = 0.25
/** Weight of the samples from which that is judged. */
const MIN_PROBE_WEIGHT = 3

/** Share to which a limit is lowered to see whether requests then take less time. */
const PROBE_SHARE = 0.75

/** Interval of these probes while the samples don't tell, ms; it doubles while nothing changes, as each costs a saturated target some of its capacity. */
const MIN_PROBE_INTERVAL_MS = 1_000
const MAX_PROBE_INTERVAL_MS = 16_000

/** Probes of a target that became slower, after which it is taken for slower in itself if they have not made it faster. */
const MAX_SLOWER_PROBES = 2

/** Steps in a row that must find a target not overloaded before its times become what others are compared with. */
const AGREEING_STEPS = 4

/** Share of a limit from which on it counts as used. */
export const USED_SHARE = 0.75

/** Returns whether samples were taken about at a limit, so that a lower one would show whether less in flight takes less time. */
function isAt (limit: number, { inFlight }: concurrencyCurve.Level): boolean {
  return inFlight >= Math.log(USED_SHARE * limit) && inFlight <= Math.log(limit / USED_SHARE)
}

/**
 * Searches the knee of one target by samples of one kind.
 *
 * @example
 * ```ts
 * const finding = search.find(curve, { bound: 12, previous: 9, nowMs })
 * ```
 */
export class KneeSearch {
  /** Times of the target when it was not overloaded. */
  private reference: concurrencyCurve.Level | undefined
  /** Time at which the samples last told, or a probe was made. */
  private lastMs = -Infinity
  private intervalMs = MIN_PROBE_INTERVAL_MS
  /** Steps in a row that found the target not overloaded. */
  private agreeing = 0
  /** Times at the probes since the target became slower than the reference. */
  private slowerTimes: readonly number[] = []

  /** Returns the limit for the next step; undefined if the samples don't tell, and it may rise carefully. */
  find (curve: concurrencyCurve.Curve, conditions: Conditions): Finding | undefined {
    const { bound, previous, nowMs } = conditions
    const level = concurrencyCurve.levelOf(curve)
    if (level === undefined) return undefined
    const knee = concurrencyCurve.highestKnee(curve, bound)
    if (knee === undefined) return concurrencyCurve.weightOf(curve) >= MIN_PROBE_WEIGHT && isAt(previous, level) ? this.probe(level, conditions) : undefined
    this.lastMs = nowMs
    this.agreeing = knee >= previous ? this.agreeing + 1 : 0
    if (knee < previous) this.intervalMs = MIN_PROBE_INTERVAL_MS
    if (this.agreeing >= AGREEING_STEPS) this.reference = level
    return { limit: knee, isProbe: false }
  }

  private probe (level: concurrencyCurve.Level, { previous, nowMs }: Conditions): Finding | undefined {
    const isSlower = this.isSlower(level)
    this.agreeing = 0
    if (this.reference === undefined || level.time <= this.reference.time) this.reference = level
    this.slowerTimes = isSlower ? [...this.slowerTimes, level.time] : []
    if (this.slowerTimes.length > MAX_SLOWER_PROBES && (this.slowerTimes[0] ?? 0) - level.time < Math.log(TOLERATED_SLOWDOWN)) {
      // Less in flight has not made it faster, so it is slower in itself.
      this.slowerTimes = []
      this.reference = level
      return undefined
    }
    if (!isSlower && nowMs - this.lastMs < this.intervalMs) return undefined
    this.lastMs = nowMs
    this.intervalMs = isSlower ? MIN_PROBE_INTERVAL_MS : Math.min(MAX_PROBE_INTERVAL_MS, 2 * this.intervalMs)
    return { limit: previous * PROBE_SHARE, isProbe: true }
  }

  private isSlower (level: concurrencyCurve.Level): boolean {
    const { reference } = this
    if (reference === undefined) return false
    const expected = reference.time + TOLERATED_ELASTICITY * Math.max(0, level.inFlight - reference.inFlight)
    return level.time > expected + Math.log(TOLERATED_SLOWDOWN)
  }
}
