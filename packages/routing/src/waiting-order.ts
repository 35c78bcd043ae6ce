/**
 * In which order requests of a service are placed, and how long each may wait.
 *
 * Load: more requests than places. Those that can still meet their latency target go first, the more
 * urgent priority with a head start that waiting makes up for, so no kind is starved; those that are
 * late go after them. A request that could not be served within its patience is refused at once, so
 * that its caller has most of its time left to come back.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'

/** Head start of a priority over the next one. */
export const PRIORITY_STEP_MS = 600

/** Handicap of a request that can no longer meet its latency target. */
const LATE_HANDICAP_MS = 3_000

/** Share of its time for which a request may wait. */
const PATIENCE_SHARE = 0.25
const RETURNED_PATIENCE_SHARE = 0.45

/** Whether a request can no longer meet its latency target. */
export function isLate (request: poolEvent.PlaceRequest, expectedFirstMs: number, nowMs: number): boolean {
  return nowMs + expectedFirstMs > request.arrivedMs + request.targetLatencyMs
}

/**
 * A request's place in the order; smaller goes first.
 *
 * @example
 * ```ts
 * queue.sort((one, other) => orderOf(one, false) - orderOf(other, false))
 * ```
 */
export function orderOf (request: poolEvent.PlaceRequest, late: boolean): number {
  if (request.repeated) return -Infinity
  return request.arrivedMs + request.priority * PRIORITY_STEP_MS + (late ? LATE_HANDICAP_MS : 0)
}

/** Time for which a request may wait, ms. */
export function patienceMs (request: poolEvent.PlaceRequest): number {
  return (request.limitMs - request.arrivedMs) * (request.returned ? RETURNED_PATIENCE_SHARE : PATIENCE_SHARE)
}

/** What peers say of their waiting requests, and when. */
export interface PeerQueue {
  readonly waiting: poolEvent.PeerLoad['waiting']
  readonly atMs: number
}

/** Age after which a peer's word on its queue no longer counts, ms. */
const PEER_QUEUE_MS = 500

/** Requests waiting at a peer that go before this one. */
export function aheadAtPeer (request: poolEvent.PlaceRequest, queue: PeerQueue, nowMs: number): number {
  if (nowMs - queue.atMs > PEER_QUEUE_MS) return 0
  const own = request.arrivedMs + request.priority * PRIORITY_STEP_MS
  let ahead = 0
  for (const [priority, count, oldestMs] of queue.waiting) {
    const oldest = queue.atMs - oldestMs + priority * PRIORITY_STEP_MS
    if (oldest >= own || oldestMs <= 0) continue
    // The waiting ones are taken for spread evenly over the time that the first has waited.
    ahead += Math.ceil(count * Math.min(1, (own - oldest) / oldestMs))
  }
  return ahead
}
