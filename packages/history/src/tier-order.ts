/**
 * A higher tier is never shed while a lower tier runs.
 *
 * The moment of a decision is not visible from outside. It lies after the request was sent, before
 * its refusal was received, and, as refusals are given at once, within the decision window before
 * that. A shed is wrong when at every moment of that interval some less important, revocable request
 * ran on a target that serves the refused request's service: then one ran at the decision, wherever it lay.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runIndex from './run-index.js'
import * as runs from './runs.js'

const PROMISE = 'tier-order'

/** How closely moments can be told from outside. */
export interface Options {
  /** Longest time from a decision to the receipt of the refusal, milliseconds. */
  readonly decisionWindowMs: number
  /** Time by which a target may see a cancellation later than the caller sees the refusal, milliseconds. */
  readonly toleranceMs: number
  /** Reasons that mean that a request was given up for want of capacity. */
  readonly reasons: readonly protocol.Reason[]
}

/** For histories whose clock is exact. */
export const DEFAULT_OPTIONS: Options = { decisionWindowMs: 1_000, toleranceMs: 0, reasons: ['shed', 'daemon-full', 'preempted'] }

interface Interval {
  readonly fromMs: number
  readonly untilMs: number
}

interface Shed {
  readonly sent: history.Sent
  readonly refused: history.Refused
}

/** The earliest sending and the earliest refusal of each request. Later ones repeat the decision to other calls. */
function firstSheds (all: readonly calls.Call[], options: Options): readonly Shed[] {
  const byRequest = new Map<string, Shed>()
  const firstSent = new Map<string, history.Sent>()
  for (const { sent, finals } of all) {
    const first = firstSent.get(sent.request) ?? sent
    firstSent.set(sent.request, first)
    for (const final of finals) {
      if (final.kind !== 'refused' || !options.reasons.includes(final.reason)) continue
      const known = byRequest.get(sent.request)
      if (known === undefined || final.atMs < known.refused.atMs) byRequest.set(sent.request, { sent: first, refused: final })
    }
  }
  return [...byRequest.values()]
}

function decisionInterval (sent: history.Sent, refused: history.Refused, options: Options): Interval {
  return {
    fromMs: Math.max(sent.atMs, refused.atMs - options.decisionWindowMs),
    untilMs: refused.atMs + options.toleranceMs
  }
}

/** Whether intervals, taken together, leave no moment of the whole uncovered. */
function covers (parts: readonly Interval[], whole: Interval): boolean {
  const ordered = [...parts].sort((left, right) => left.fromMs - right.fromMs)
  let coveredUntilMs = -Infinity
  for (const part of ordered) {
    if (part.fromMs > Math.max(whole.fromMs, coveredUntilMs)) break
    coveredUntilMs = Math.max(coveredUntilMs, part.untilMs)
  }
  return coveredUntilMs > whole.untilMs
}

function findLower (all: readonly runs.Run[], sent: history.Sent, eligible: readonly string[]): readonly Interval[] {
  const lower = all.filter(({ started }) => started.rank > sent.rank && !started.nonIdempotent && eligible.includes(started.target))
  return lower.map(({ started, ended }) => ({ fromMs: started.atMs, untilMs: ended?.atMs ?? Infinity }))
}

/**
 * Builds the predicate for histories with a given precision.
 *
 * @example
 * ```ts
 * createTierOrder({ ...DEFAULT_OPTIONS, toleranceMs: 50 })(history) // [] when the promise was kept
 * ```
 */
export function createTierOrder (options: Options): history.Predicate {
  return (of) => {
    const overlapping = runIndex.createRunIndex(runs.runs(of))
    return firstSheds(calls.calls(of), options).flatMap(({ sent, refused }) => {
      const interval = decisionInterval(sent, refused, options)
      const lower = findLower(overlapping(interval.fromMs, interval.untilMs), sent, of.targets.get(sent.service) ?? [])
      if (!covers(lower, interval)) return []
      const message = `${sent.request} of rank ${sent.rank} was given up (${refused.reason}) while less important requests ran throughout`
      return [{ promise: PROMISE, atMs: refused.atMs, message }]
    })
  }
}

/**
 * Finds sheds of a higher tier while a lower one ran, on an exact clock.
 *
 * @example
 * ```ts
 * tierOrder(history) // [] when the promise was kept
 * ```
 */
export const tierOrder: history.Predicate = createTierOrder(DEFAULT_OPTIONS)
