/**
 * Learns how many requests one target takes well, from the samples of all daemons of a cell.
 *
 * Every daemon reports its samples to its cell. One of them, the joiner of the target, fits the joined samples, changes the
 * limit step by step and reports it; the others apply it. The daemons of a cell have ranks for each target. The one with
 * rank 0 joins; if it is not heard, the next one does. A limit that is not renewed expires.
 *
 * @module
 */
import * as concurrencyCurve from './concurrency-curve.js'
import * as kneeSearch from './knee-search.js'
import * as limitRows from './limit-rows.js'

/** A limit in force. */
export interface Limit {
  /** Requests that the target takes well from all daemons. */
  readonly total: number
  /** Requests that the cell may have there, in fractions: below one, only now and then. */
  readonly allowance: number
}

/** What a limit depends on besides samples. */
export interface Conditions {
  /** Requests that the target may have in flight as declared. */
  readonly bound: number
  /** Share of the target that the cell may use if other cells leave theirs unused, and its part if none does. */
  readonly share: number
  readonly part: number
  /** Position of this daemon among those of its cell that may join the samples of the target; 0 joins. */
  readonly rank: number
}

/** `whole`: the time until a response or a first event; `step`: the time between events. */
export type SampleKind = 'whole' | 'step'

const KINDS: readonly SampleKind[] = ['whole', 'step']

/** Interval at which the joiner changes a limit, ms: the samples of one step are half of what the next one is based on. */
const STEP_MS = 350

/** Minimum interval of reports about one target, ms, which bounds the traffic of cells with many targets. */
const REPORT_MS = 300

/** Largest decrease and increase in one step; from the largest limits to a quarter takes 1.8 s, back about 2.5 s. */
const MAX_DECREASE = 0.6
const MAX_INCREASE = 1.25
const MIN_INCREASE = 1

/** Increase in one step while the samples don't tell whether the target is overloaded. */
const UNTOLD_INCREASE = 0.8

/** Weight of samples at a used limit that are needed to raise it. */
const MIN_USED_WEIGHT = 0.5

/** Time for which a limit that was lowered is raised by at most one, ms, so that it does not oscillate around the knee. */
const HOLD_MS = 1_500

/** Share of its bound that a target starts with if no other target of its service has a limit: a limit that is too low is raised within about a second. */
const START_SHARE = 0.75

/** Time without a limit from a daemon of a lower rank after which the next one joins, and the time for each further rank, ms. */
const TAKEOVER_MS = 900
const TAKEOVER_PER_RANK_MS = 200

/** Age from which a limit is not applied any more, ms: every daemon of a cell of nine has had the time to take over. */
export const LIMIT_EXPIRY_MS = 3_500

/** Age from which the samples of a peer are dropped, ms. */
const SAMPLES_MAX_AGE_MS = 3_000

/** Factors on the cell's part of the limit, by which all cells together keep to the limit though their parts are estimates and some use less. */
const MIN_CORRECTION = 0.5
const CORRECTION_DECREASE = 0.9
const CORRECTION_INCREASE = 1.05

/** Mean number of requests in flight, relative to the limit, above which cells that share a target take less of it: the excess of one moment must not be rejected. */
const TARGET_OCCUPANCY = 0.9

/** Weight of the joined samples, beyond which new ones replace old ones: so many tell the knee, and after a change fewer old ones are better. */
const MAX_JOINED_WEIGHT = 40

/** Bounds of the time for which slots were unused, and were used beyond what is allowed, that is made up for, ms. */
const MAX_UNUSED_MS = 100
const MAX_EXCESS_MS = 300

interface PeerSamples {
  readonly curves: readonly concurrencyCurve.Curve[]
  readonly atMs: number
}

interface HeardLimit extends Limit {
  readonly rank: number
  readonly atMs: number
}

/** Returns the mean number of requests in flight that the samples were taken with. */
function meanInFlight ({ bins }: concurrencyCurve.Curve): number {
  let weights = 0
  let sum = 0
  for (const [inFlight, { weight }] of bins) {
    weights += weight
    sum += inFlight * weight
  }
  return weights === 0 ? 0 : sum / weights
}

type Curves = Readonly<Record<SampleKind, concurrencyCurve.Curve>>

/**
 * The limit of one target. It starts with `initial`, or with a share of the declared bound.
 *
 * @example
 * ```ts
 * const limit = new ConcurrencyLimit(undefined)
 * limit.record('whole', { inFlight: 5, time: 94, weight: 1 }, nowMs)
 * limit.update({ bound: 12, share: 1, part: 1, rank: 0 }, nowMs)
 * ```
 */
export class ConcurrencyLimit {
  private own: Curves = { whole: concurrencyCurve.EMPTY_CURVE, step: concurrencyCurve.EMPTY_CURVE }
  private ownMs = 0
  private halfLifeMs = concurrencyCurve.MIN_HALF_LIFE_MS
  private readonly peers = new Map<string, PeerSamples>()
  private readonly searches: Readonly<Record<SampleKind, kneeSearch.KneeSearch>> = { whole: new kneeSearch.KneeSearch(), step: new kneeSearch.KneeSearch() }
  private inForce: HeardLimit | undefined
  private total: number | undefined
  private correction = 1
  private ceiling = { limit: Infinity, untilMs: -Infinity }
  private sinceMs: number | undefined
  private joinedMs = -Infinity
  private changedMs = -Infinity
  private reportedMs = -Infinity
  /** Time for which slots were unused; negative if more was in flight than allowed. */
  private unusedMs = 0
  private unusedAtMs = 0

  constructor (initial?: number) {
    this.total = initial
  }

  /** Adds a sample of this daemon; times of different kinds are not compared with each other. */
  record (kind: SampleKind, sample: concurrencyCurve.Sample, nowMs: number): void {
    this.ageOwn(nowMs)
    this.own = { ...this.own, [kind]: concurrencyCurve.addSample(this.own[kind], sample, MAX_JOINED_WEIGHT / (1 + this.peers.size)) }
  }

  applyPeer (peer: string, [rows, rank, limit, allowance]: limitRows.LimitRow, nowMs: number): void {
    this.peers.set(peer, { curves: rows.map(limitRows.ofRow), atMs: nowMs })
    if (rank === undefined || limit === undefined || allowance === undefined) return
    if (this.inForce !== undefined && this.inForce.rank < rank && nowMs - this.inForce.atMs <= TAKEOVER_MS) return
    this.inForce = { rank, total: limitRows.ofHundredths(limit), allowance: limitRows.ofHundredths(allowance), atMs: nowMs }
    this.total = this.inForce.total
  }

  /** Joins the samples, and changes the limit if this daemon is the joiner, when it is time to. */
  update (conditions: Conditions, nowMs: number): void {
    this.sinceMs ??= nowMs
    if (nowMs - this.joinedMs < STEP_MS) return
    this.joinedMs = nowMs
    const curves = this.join(nowMs)
    if (!this.isJoiner(conditions.rank, nowMs)) return
    this.changedMs = nowMs
    this.step(curves, conditions, nowMs)
  }

  /** Returns the limit in force; undefined if there is none, or the last one has expired. */
  current (nowMs: number): Limit | undefined {
    return this.inForce === undefined || nowMs - this.inForce.atMs > LIMIT_EXPIRY_MS ? undefined : this.inForce
  }

  /** Whether this daemon joins the samples of the target. */
  get isJoined (): boolean {
    return this.inForce !== undefined && this.inForce.atMs === this.changedMs
  }

  /**
   * Returns the whole number of requests that may be in flight now so that on average they are as many as allowed, given
   * how many are. Daemons that see the same reports agree on it without a common clock.
   */
  allowedNow (allowed: number, occupied: number, nowMs: number): number {
    const unusedMs = this.unusedMs + (allowed - occupied) * Math.max(0, nowMs - this.unusedAtMs)
    this.unusedMs = Math.max(-MAX_EXCESS_MS, Math.min(MAX_UNUSED_MS, unusedMs))
    this.unusedAtMs = nowMs
    return Math.max(0, Math.min(Math.ceil(allowed), Math.floor(allowed + (this.unusedMs + MAX_UNUSED_MS) / (2 * MAX_UNUSED_MS))))
  }

  /** Returns what to report to the cell; undefined if that was done recently or there is nothing. */
  report (nowMs: number): limitRows.LimitRow | undefined {
    if (nowMs - this.reportedMs < REPORT_MS) return undefined
    this.ageOwn(nowMs)
    const [whole, step] = [limitRows.toRow(this.own.whole), limitRows.toRow(this.own.step)]
    if (!this.isJoined && whole.length === 1 && step.length === 1) return undefined
    this.reportedMs = nowMs
    const rows = step.length === 1 ? [whole] : [whole, step]
    if (!this.isJoined || this.inForce === undefined) return [rows]
    return [rows, this.inForce.rank, limitRows.toHundredths(this.inForce.total), limitRows.toHundredths(this.inForce.allowance)]
  }

  private ageOwn (nowMs: number): void {
    const elapsedMs = nowMs - this.ownMs
    this.own = { whole: concurrencyCurve.age(this.own.whole, elapsedMs, this.halfLifeMs), step: concurrencyCurve.age(this.own.step, elapsedMs, this.halfLifeMs) }
    this.ownMs = nowMs
  }

  private join (nowMs: number): Curves {
    this.ageOwn(nowMs)
    for (const [peer, { atMs }] of this.peers) if (nowMs - atMs > SAMPLES_MAX_AGE_MS) this.peers.delete(peer)
    const joinKind = (kind: SampleKind, index: number): concurrencyCurve.Curve => concurrencyCurve.join([
      this.own[kind],
      ...[...this.peers.values()].map(({ curves, atMs }) => concurrencyCurve.age(curves[index] ?? concurrencyCurve.EMPTY_CURVE, nowMs - atMs, this.halfLifeMs))
    ])
    const curves = { whole: joinKind('whole', 0), step: joinKind('step', 1) }
    this.halfLifeMs = concurrencyCurve.halfLifeMs(Math.max(concurrencyCurve.weightOf(curves.whole), concurrencyCurve.weightOf(curves.step)))
    return curves
  }

  private isJoiner (rank: number, nowMs: number): boolean {
    if (rank === 0) return true
    const { inForce, sinceMs = nowMs } = this
    if (inForce !== undefined && inForce.rank >= rank) return true
    return nowMs - (inForce?.atMs ?? sinceMs) > TAKEOVER_MS + TAKEOVER_PER_RANK_MS * rank
  }

  private nextTotal (curves: Curves, bound: number, nowMs: number): number {
    const previous = Math.min(bound, this.total ?? Math.max(1, START_SHARE * bound))
    const findings = KINDS.flatMap((kind) => this.searches[kind].find(curves[kind], { bound, previous, nowMs }) ?? [])
    const allowed = Math.min(Infinity, ...findings.map(({ limit }) => limit))
    if (allowed < previous) {
      if (findings.some(({ limit, isProbe }) => limit === allowed && !isProbe)) this.ceiling = { limit: allowed + MIN_INCREASE, untilMs: nowMs + HOLD_MS }
      return Math.max(1, allowed, previous * MAX_DECREASE)
    }
    if (!KINDS.some((kind) => isUsed(curves[kind], previous))) return previous
    const raised = findings.length === 0 ? previous + UNTOLD_INCREASE : Math.max(previous * MAX_INCREASE, previous + MIN_INCREASE)
    return Math.min(bound, allowed, raised, this.ceiling.untilMs > nowMs ? Math.max(previous, this.ceiling.limit) : Infinity)
  }

  private step (curves: Curves, { bound, part, share, rank }: Conditions, nowMs: number): void {
    const total = this.nextTotal(curves, bound, nowMs)
    this.total = total
    const occupancy = Math.max(...KINDS.map((kind) => meanInFlight(curves[kind])))
    if (occupancy > TARGET_OCCUPANCY * total) this.correction = Math.max(MIN_CORRECTION, this.correction * CORRECTION_DECREASE)
    else this.correction = Math.min(share / part, this.correction * CORRECTION_INCREASE)
    this.inForce = { rank, total, allowance: total * part * (part === 1 ? 1 : this.correction), atMs: nowMs }
  }
}

/** Returns whether samples were taken at a limit, so that a higher one would be used. */
function isUsed ({ bins }: concurrencyCurve.Curve, limit: number): boolean {
  return [...bins].some(([inFlight, { weight }]) => inFlight >= kneeSearch.USED_SHARE * limit && weight >= MIN_USED_WEIGHT)
}
