/**
 * Counts priority inversions: requests that started while a more important one was waiting.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as recorder from './recorder.js'
import type * as replay from './replay.js'

interface QueueEvent {
  readonly atMs: number
  readonly kind: 'sent' | 'left' | 'started'
  readonly outcome: recorder.Outcome
}

/** How long a request may wait before a less important start counts, to allow for messages and ticks of daemons. */
const WAIT_TOLERANCE_MS = 500
const KIND_ORDER: Readonly<Record<QueueEvent['kind'], number>> = { sent: 0, left: 1, started: 2 }

function listQueueEvents (result: replay.Result, target: 'model' | 'plain'): readonly QueueEvent[] {
  const outcomes = new Map(result.outcomes.map((outcome) => [outcome.request.index, outcome]))
  const queueEvents: QueueEvent[] = []
  for (const outcome of outcomes.values()) {
    queueEvents.push({ atMs: outcome.sentAtMs, kind: 'sent', outcome }, { atMs: outcome.endedAtMs ?? Infinity, kind: 'left', outcome })
  }
  for (const { request, job } of result.jobs) {
    const outcome = outcomes.get(request.index)
    if (outcome === undefined || job === undefined) continue
    queueEvents.push({ atMs: job.submittedAtMs, kind: 'left', outcome }, { atMs: job.submittedAtMs, kind: 'started', outcome })
  }
  return queueEvents.filter(({ outcome }) => outcome.request.kind.target === target)
    .sort((left, right) => left.atMs - right.atMs || KIND_ORDER[left.kind] - KIND_ORDER[right.kind])
}

/** Returns when the longest-waiting request of a rank was sent. */
function oldestSentAtMs (waiting: ReadonlyMap<protocol.Rank, ReadonlyMap<number, number>>, rank: protocol.Rank): number {
  const oldestWaiting = waiting.get(rank)?.values().next()
  return oldestWaiting?.done === false ? oldestWaiting.value : Infinity
}

function countForTargetKind (result: replay.Result, target: 'model' | 'plain'): number {
  const waiting = new Map<protocol.Rank, Map<number, number>>()
  let count = 0
  for (const { atMs, kind, outcome } of listQueueEvents(result, target)) {
    const { rank } = outcome.request.kind
    const sameRank = waiting.get(rank) ?? new Map<number, number>()
    waiting.set(rank, sameRank)
    if (kind === 'sent') sameRank.set(outcome.request.index, atMs)
    else if (kind === 'left') sameRank.delete(outcome.request.index)
    else if ([...waiting.keys()].some((otherRank) => otherRank < rank && oldestSentAtMs(waiting, otherRank) < atMs - WAIT_TOLERANCE_MS)) count += 1
  }
  return count
}

/**
 * Counts starts of requests while a more important one had been waiting for longer than messages and ticks take.
 *
 * @example
 * ```ts
 * countPriorityInversions(result) // 0
 * ```
 */
export function countPriorityInversions (result: replay.Result): number {
  return countForTargetKind(result, 'model') + countForTargetKind(result, 'plain')
}
