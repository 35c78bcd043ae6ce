/**
 * In which order requests of a service are placed, and how long each may wait.
 *
 * Load: more requests than places. A more urgent priority goes first; within a priority those that can
 * still meet their latency target go before those that can not, and the earlier before the later. A
 * request that would miss its latency target by waiting is refused at once, while its caller has most
 * of its time left to come back. One that has come back waits longer, so that it is not refused again
 * when that can be helped.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'

/** Ranks of one priority: in time, and late. */
const RANKS_PER_PRIORITY = 2

/** Latency targets for which a request that is already late may wait. */
const LATE_MAX_WAIT_TARGETS = 1.8

/** Latency targets for which a request that has come back may wait; callers leave a silent stream after four. */
const RESUBMITTED_MAX_WAIT_TARGETS = 3

/** Share of its time for which any request may wait. */
const MAX_WAIT_SHARE = 0.25

/** Least Retry-After as a share of the caller's time: those that come back are told from others by what is left of it. */
const MIN_RETRY_AFTER_SHARE = 0.22

/** Spread of Retry-After, so that those refused together do not come back together. */
const RETRY_AFTER_JITTER = 0.4

/** Age after which a peer's word on its queue no longer counts, ms. */
const PEER_QUEUE_MAX_AGE_MS = 500

/** Whether a request can no longer meet its latency target. */
export function isLate (request: poolEvent.PlacementRequest, expectedFirstMs: number, nowMs: number): boolean {
  return request.resubmitted || nowMs + expectedFirstMs > request.arrivedMs + request.targetLatencyMs
}

/**
 * Rank of a request; smaller goes first. Within a rank the earlier goes first.
 *
 * @example
 * ```ts
 * rankOf(request, isLate(request, 80, nowMs))
 * ```
 */
export function rankOf (request: poolEvent.PlacementRequest, late: boolean): number {
  return request.priority * RANKS_PER_PRIORITY + (late ? 1 : 0)
}

/** Time for which a request may wait in all, ms, when its first event is expected that long after its dispatch. */
export function maxWaitMs (request: poolEvent.PlacementRequest, expectedFirstMs: number, nowMs: number): number {
  const upperBoundMs = (request.limitMs - request.arrivedMs) * MAX_WAIT_SHARE
  if (request.resubmitted) return Math.min(upperBoundMs, request.targetLatencyMs * RESUBMITTED_MAX_WAIT_TARGETS)
  const inTimeMs = request.targetLatencyMs - expectedFirstMs
  if (nowMs - request.arrivedMs < inTimeMs) return Math.min(upperBoundMs, inTimeMs)
  return Math.min(upperBoundMs, request.targetLatencyMs * LATE_MAX_WAIT_TARGETS)
}

/**
 * When a refused caller should come back, ms.
 *
 * @example
 * ```ts
 * retryAfterMs(request, pool.expectedWaitMs, Math.random(), nowMs)
 * ```
 */
export function retryAfterMs (request: poolEvent.PlacementRequest, expectedWaitMs: number, random: number, nowMs: number): number {
  const remainingMs = Math.max(0, request.limitMs - nowMs)
  const baseMs = Math.min(Math.max(expectedWaitMs, remainingMs * MIN_RETRY_AFTER_SHARE), remainingMs / 3)
  return Math.round(baseMs * (1 + RETRY_AFTER_JITTER * random))
}

/** What a peer says of its waiting requests, and when. */
export interface PeerQueue {
  readonly waiting: poolEvent.PeerLoad['waiting']
  readonly atMs: number
}

/** Requests waiting at a peer that go before one of this rank. */
export function aheadAtPeer (request: poolEvent.PlacementRequest, ownRank: number, queue: PeerQueue, nowMs: number): number {
  if (nowMs - queue.atMs > PEER_QUEUE_MAX_AGE_MS) return 0
  let ahead = 0
  for (const [rank, count, oldestMs] of queue.waiting) {
    if (rank < ownRank) ahead += count
    if (rank !== ownRank || oldestMs <= 0) continue
    // The waiting ones are taken for spread evenly over the time that the first has waited.
    const earlierMs = request.arrivedMs - (queue.atMs - oldestMs)
    if (earlierMs > 0) ahead += Math.floor(count * Math.min(1, earlierMs / oldestMs))
  }
  return ahead
}
