/**
 * Defines the order in which requests of a service are placed, and how long each may wait.
 *
 * With more requests than slots, a more urgent priority is placed first. Within a priority, requests that can
 * still meet their latency target are placed before late ones, and earlier requests before later ones. A
 * request that would miss its latency target by waiting is refused at once, while its caller has most of its
 * time left to send it again. A resubmitted request may wait longer, to avoid refusing it twice.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'

/** Each priority has two ranks: in time and late. */
const RANKS_PER_PRIORITY = 2

/** Maximum wait of a request that is already late, as a multiple of its latency target. */
const LATE_MAX_WAIT_TARGETS = 1.8

/** Maximum wait of a resubmitted request, as a multiple of its latency target; callers leave a stalled stream after four. */
const RESUBMITTED_MAX_WAIT_TARGETS = 3

/** Maximum wait of any request, as a share of the time between its arrival and its deadline. */
const MAX_WAIT_SHARE = 0.25

/** Minimum Retry-After as a share of the caller's remaining time, by which resubmitted requests are recognised. */
const MIN_RETRY_AFTER_SHARE = 0.22

/** Jitter of Retry-After, so that callers refused at the same time do not retry at the same time. */
const RETRY_AFTER_JITTER = 0.4

/** Maximum age of a peer's reported queue, ms. */
const PEER_QUEUE_MAX_AGE_MS = 500

/** Returns whether a request can no longer meet its latency target; a resubmitted request always counts as late. */
export function isLate (request: poolEvent.PlacementRequest, expectedFirstMs: number, nowMs: number): boolean {
  return request.resubmitted || nowMs + expectedFirstMs > request.arrivedMs + request.targetLatencyMs
}

/**
 * Returns the rank of a request. Lower ranks are placed first; within a rank, earlier requests.
 *
 * @example
 * ```ts
 * rankOf(request, isLate(request, 80, nowMs))
 * ```
 */
export function rankOf (request: poolEvent.PlacementRequest, late: boolean): number {
  return request.priority * RANKS_PER_PRIORITY + (late ? 1 : 0)
}

/** Returns the maximum total wait of a request, ms, given the expected time from its dispatch to the first event. */
export function maxWaitMs (request: poolEvent.PlacementRequest, expectedFirstMs: number, nowMs: number): number {
  const upperBoundMs = (request.limitMs - request.arrivedMs) * MAX_WAIT_SHARE
  if (request.resubmitted) return Math.min(upperBoundMs, request.targetLatencyMs * RESUBMITTED_MAX_WAIT_TARGETS)
  const inTimeMs = request.targetLatencyMs - expectedFirstMs
  if (nowMs - request.arrivedMs < inTimeMs) return Math.min(upperBoundMs, inTimeMs)
  return Math.min(upperBoundMs, request.targetLatencyMs * LATE_MAX_WAIT_TARGETS)
}

/**
 * Returns the time after which a refused caller should retry, ms.
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

/** Waiting requests that a peer has reported, and the time of the report. */
export interface PeerQueue {
  readonly waiting: poolEvent.PeerLoad['waiting']
  readonly atMs: number
}

/** Returns the waiting requests of this daemon by rank, to be reported to peers. */
export function waitingRows (queue: readonly poolEvent.PlacementRequest[], rankOfRequest: (request: poolEvent.PlacementRequest) => number, nowMs: number): poolEvent.PeerLoad['waiting'] {
  const rows = new Map<number, readonly [rank: number, count: number, oldestMs: number]>()
  for (const request of queue) {
    const rank = rankOfRequest(request)
    const [, count, oldestMs] = rows.get(rank) ?? [0, 0, 0]
    rows.set(rank, [rank, count + 1, Math.max(oldestMs, Math.round(nowMs - request.arrivedMs))])
  }
  return [...rows.values()]
}

/**
 * Returns the number of requests waiting at a peer that are placed before a request with this rank. With `countsOldest` the
 * oldest of the same rank counts whole, so that of two daemons with one request each only one takes a free slot.
 */
export function aheadAtPeer (request: poolEvent.PlacementRequest, ownRank: number, queue: PeerQueue, nowMs: number, countsOldest = false): number {
  if (nowMs - queue.atMs > PEER_QUEUE_MAX_AGE_MS) return 0
  let ahead = 0
  for (const [rank, count, oldestMs] of queue.waiting) {
    if (rank < ownRank) ahead += count
    if (rank !== ownRank || oldestMs <= 0) continue
    // Assumes that arrivals are spread evenly over the time that the oldest has waited.
    const earlierMs = request.arrivedMs - (queue.atMs - oldestMs)
    if (earlierMs > 0) ahead += countsOldest ? 1 + Math.floor((count - 1) * Math.min(1, earlierMs / oldestMs)) : Math.floor(count * Math.min(1, earlierMs / oldestMs))
  }
  return ahead
}

/** Returns the number of requests waiting at a peer. */
export function waitingAtPeer (queue: PeerQueue, nowMs: number): number {
  return nowMs - queue.atMs > PEER_QUEUE_MAX_AGE_MS ? 0 : queue.waiting.reduce((sum, [, count]) => sum + count, 0)
}
