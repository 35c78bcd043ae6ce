/**
 * Estimates how long work takes at a target now, from the work factors that the target and peers report.
 *
 * A target that shares its host with others is slowed down for fractions of a second, so a report says little once it is
 * old: its deviation from what the target usually reports decays with its age. Targets on slow hosts always report more
 * than 1, so the usual factor follows the lower ones of their reports.
 *
 * @module
 */

import type * as targetSpeed from './target-speed.js'

/** Age at which a report's deviation from the usual counts half, ms: hosts are disturbed for some 600 ms at a time. */
const HALF_LIFE_MS = 300

/** Minimum time between two reports that change the usual factor, ms: several peers pass on the same one. */
const USUAL_INTERVAL_MS = 100

/** The usual factor falls quickly and rises slowly, by a factor, as disturbances only ever slow a target down. */
const USUAL_FALL_WEIGHT = 0.3
const USUAL_RISE_FACTOR = 1.01

/** Age beyond which a report is not passed on, ms. */
const MAX_REPORTED_AGE_MS = 1_500

/** Age up to which a report tells how much a response was prolonged, ms: a host is disturbed for some 600 ms. */
const MAX_SAMPLED_AGE_MS = 300

const HUNDREDTHS = 100

/** A work factor as peers report it. */
export type ReportedFactor = readonly [hundredths: number, ageMs: number]

/** The work factor of one target. */
export interface WorkFactor {
  /** Records a factor that was measured at a time, unless a later one is known. */
  readonly record: (factor: number, measuredMs: number) => void
  /** Returns how long work takes now, relative to the usual time. */
  readonly current: (nowMs: number) => number
  /** Returns the factor by which a response that is measured now was prolonged. */
  readonly sampled: (nowMs: number) => targetSpeed.SampledFactor
  /** Returns the latest report, for peers; undefined if there is no recent one. */
  readonly report: (nowMs: number) => ReportedFactor | undefined
}

/**
 * Creates the work factor of a target that has reported none.
 *
 * @example
 * ```ts
 * const workFactor = createWorkFactor()
 * workFactor.record(1, nowMs)
 * workFactor.record(2.5, nowMs + 100)
 * workFactor.current(nowMs + 400) // 1.755
 * ```
 */
export function createWorkFactor (): WorkFactor {
  let latest: { readonly factor: number, readonly measuredMs: number } | undefined
  let usual = 1
  let usualMs = -Infinity

  function followUsual (factor: number, measuredMs: number): void {
    if (measuredMs - usualMs < USUAL_INTERVAL_MS) return
    usualMs = measuredMs
    if (latest === undefined) usual = factor
    else if (factor < usual) usual += USUAL_FALL_WEIGHT * (factor - usual)
    else usual = Math.min(factor, usual * USUAL_RISE_FACTOR)
  }

  return {
    record: (factor, measuredMs) => {
      followUsual(factor, measuredMs)
      if (latest === undefined || measuredMs >= latest.measuredMs) latest = { factor, measuredMs }
    },
    current: (nowMs) => latest === undefined ? 1 : usual + (latest.factor - usual) * 0.5 ** (Math.max(0, nowMs - latest.measuredMs) / HALF_LIFE_MS),
    // A target that has never reported a factor counts as undisturbed.
    sampled: (nowMs) => ({ factor: latest === undefined || nowMs - latest.measuredMs > MAX_SAMPLED_AGE_MS ? 1 : latest.factor, isRecent: latest === undefined || nowMs - latest.measuredMs <= MAX_SAMPLED_AGE_MS }),
    report: (nowMs) => {
      if (latest === undefined || nowMs - latest.measuredMs > MAX_REPORTED_AGE_MS) return undefined
      return [Math.round(latest.factor * HUNDREDTHS), Math.max(0, Math.round(nowMs - latest.measuredMs))]
    }
  }
}

/** Returns the factor in a peer's report and the time at which it was measured. */
export function factorOf ([hundredths, ageMs]: ReportedFactor, nowMs: number): readonly [factor: number, measuredMs: number] {
  return [hundredths / HUNDREDTHS, nowMs - ageMs]
}
