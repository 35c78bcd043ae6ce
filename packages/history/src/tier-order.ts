/**
 * Checks that a higher tier is never shed while a lower tier runs.
 *
 * The time of a decision can't be observed from outside. It lies between the sending of the request and the
 * receipt of its refusal and, because refusals are sent at once, at most the decision window before that
 * receipt. A shed is a violation if at every moment of this interval some revocable request of a lower tier ran
 * on a target of the refused request's service: then one ran at the decision, whenever that was.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runIndex from './run-index.js'
import * as runs from './runs.js'

const GUARANTEE = 'tier-order'

/** How precisely the times of decisions can be observed from outside, and which reasons count as shed. */
export interface Options {
  /** Maximum time from a decision to the receipt of the refusal, milliseconds. */
  readonly decisionWindowMs: number
  /** Time by which a target may observe a cancellation later than the caller observes the refusal, milliseconds. */
  readonly toleranceMs: number
  /** Reasons of refusals for lack of capacity. */
  readonly reasons: readonly protocol.Reason[]
}

/** Options for histories with an exact clock. */
export const DEFAULT_OPTIONS: Options = { decisionWindowMs: 1_000, toleranceMs: 0, reasons: ['shed', 'daemon-full', 'preempted'] }

interface Interval {
  readonly fromMs: number
  readonly untilMs: number
}

interface Shed {
  readonly sent: history.Sent
  readonly refused: history.Refused
}

/** Finds the earliest sending and the earliest refusal of each request. Later refusals repeat the decision to other calls. */
function findFirstSheds (allCalls: readonly calls.Call[], options: Options): readonly Shed[] {
  const byRequest = new Map<string, Shed>()
  const firstSent = new Map<string, history.Sent>()
  for (const { sent, outcomes } of allCalls) {
    const first = firstSent.get(sent.request) ?? sent
    firstSent.set(sent.request, first)
    for (const outcome of outcomes) {
      if (outcome.kind !== 'refused' || !options.reasons.includes(outcome.reason)) continue
      const previous = byRequest.get(sent.request)
      if (previous === undefined || outcome.atMs < previous.refused.atMs) byRequest.set(sent.request, { sent: first, refused: outcome })
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

/** Returns whether the union of intervals covers an interval without gaps. */
function coversInterval (intervals: readonly Interval[], covered: Interval): boolean {
  const ordered = [...intervals].sort((left, right) => left.fromMs - right.fromMs)
  let coveredUntilMs = -Infinity
  for (const each of ordered) {
    if (each.fromMs > Math.max(covered.fromMs, coveredUntilMs)) break
    coveredUntilMs = Math.max(coveredUntilMs, each.untilMs)
  }
  return coveredUntilMs > covered.untilMs
}

function findLowerPriorityRuns (allRuns: readonly runs.Run[], sent: history.Sent, eligible: readonly string[]): readonly Interval[] {
  const lowerPriorityRuns = allRuns.filter(({ started }) => started.rank > sent.rank && !started.nonIdempotent && eligible.includes(started.target))
  return lowerPriorityRuns.map(({ started, ended }) => ({ fromMs: started.atMs, untilMs: ended?.atMs ?? Infinity }))
}

/**
 * Creates the check for histories with a given precision.
 *
 * @example
 * ```ts
 * createTierOrder({ ...DEFAULT_OPTIONS, toleranceMs: 50 })(history) // [] when the guarantee holds
 * ```
 */
export function createTierOrder (options: Options): history.GuaranteeCheck {
  return (recordedHistory) => {
    const findOverlapping = runIndex.createRunIndex(runs.runs(recordedHistory))
    return findFirstSheds(calls.calls(recordedHistory), options).flatMap(({ sent, refused }) => {
      const interval = decisionInterval(sent, refused, options)
      const lowerPriorityRuns = findLowerPriorityRuns(findOverlapping(interval.fromMs, interval.untilMs), sent, recordedHistory.targets.get(sent.service) ?? [])
      if (!coversInterval(lowerPriorityRuns, interval)) return []
      const message = `${sent.request} of rank ${sent.rank} was refused (${refused.reason}) while requests of lower tiers ran throughout`
      return [{ guarantee: GUARANTEE, atMs: refused.atMs, message }]
    })
  }
}

/**
 * Finds sheds of a higher tier while a lower one ran, in histories with an exact clock.
 *
 * @example
 * ```ts
 * tierOrder(history) // [] when the guarantee holds
 * ```
 */
export const tierOrder: history.GuaranteeCheck = createTierOrder(DEFAULT_OPTIONS)
