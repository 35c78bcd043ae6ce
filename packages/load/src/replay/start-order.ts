/**
 * Finds less important requests that started while a more important one waited.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as recorder from './recorder.js'
import type * as replay from './replay.js'

interface Step {
  readonly atMs: number
  readonly kind: 'sent' | 'left' | 'started'
  readonly outcome: recorder.Outcome
}

/** Time for which a request may wait before a less important start counts: messages and ticks of the daemons. */
const TOLERANCE_MS = 500
const ORDER: Readonly<Record<Step['kind'], number>> = { sent: 0, left: 1, started: 2 }

function listSteps (result: replay.Result, target: 'model' | 'plain'): readonly Step[] {
  const outcomes = new Map(result.outcomes.map((outcome) => [outcome.request.index, outcome]))
  const steps: Step[] = []
  for (const outcome of outcomes.values()) {
    steps.push({ atMs: outcome.sentAtMs, kind: 'sent', outcome }, { atMs: outcome.endedAtMs ?? Infinity, kind: 'left', outcome })
  }
  for (const { request, job } of result.jobs) {
    const outcome = outcomes.get(request.index)
    if (outcome === undefined || job === undefined) continue
    steps.push({ atMs: job.submittedAtMs, kind: 'left', outcome }, { atMs: job.submittedAtMs, kind: 'started', outcome })
  }
  return steps.filter(({ outcome }) => outcome.request.kind.target === target)
    .sort((left, right) => left.atMs - right.atMs || ORDER[left.kind] - ORDER[right.kind])
}

/** When the longest waiting request of a rank was sent. */
function oldest (waiting: ReadonlyMap<protocol.Rank, ReadonlyMap<number, number>>, rank: protocol.Rank): number {
  const first = waiting.get(rank)?.values().next()
  return first?.done === false ? first.value : Infinity
}

function countKind (result: replay.Result, target: 'model' | 'plain'): number {
  const waiting = new Map<protocol.Rank, Map<number, number>>()
  let count = 0
  for (const { atMs, kind, outcome } of listSteps(result, target)) {
    const { rank } = outcome.request.kind
    const own = waiting.get(rank) ?? new Map<number, number>()
    waiting.set(rank, own)
    if (kind === 'sent') own.set(outcome.request.index, atMs)
    else if (kind === 'left') own.delete(outcome.request.index)
    else if ([...waiting.keys()].some((other) => other < rank && oldest(waiting, other) < atMs - TOLERANCE_MS)) count += 1
  }
  return count
}

/**
 * Counts starts of less important requests while a more important one had waited for longer than messages take.
 *
 * @example
 * ```ts
 * countOutOfOrder(result) // 0
 * ```
 */
export function countOutOfOrder (result: replay.Result): number {
  return countKind(result, 'model') + countKind(result, 'plain')
}
