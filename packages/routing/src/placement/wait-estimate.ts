/**
 * Estimates how long a request will wait, and decides whether it must be refused.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'
import type * as snapshot from './snapshot.js'
import * as waitingOrder from './waiting-order.js'

/** Requests that are placed before another: at this daemon alone, and here and at peers. */
export interface QueuePosition {
  readonly aheadHere: number
  readonly ahead: number
}

/** The state of the pool that waits depend on. */
export interface Conditions {
  readonly isEngine: boolean
  /** Mean time that a request takes at a target, ms. */
  readonly serviceTimeMs: number
}

/** Expected time of a plain response when deciding whether a request is late, ms. */
const EXPECTED_PLAIN_RESPONSE_MS = 30

/** Maximum expected wait in the figures, ms. */
const MAX_REPORTED_WAIT_MS = 1_000_000

const MS_PER_S = 1_000

/** Returns an expected wait as it is given in the figures, ms. */
export function reportedWaitMs (waitMs: number): number {
  return Math.round(Math.min(MAX_REPORTED_WAIT_MS, waitMs))
}

/** Returns the expected time from dispatch to the first event, or to a plain response, at the fastest target. */
export function expectedFirstMs (request: poolEvent.PlacementRequest, { fastest }: snapshot.PoolSnapshot, { isEngine }: Conditions): number {
  return isEngine ? fastest?.estimate.firstEventMs(request.promptTokens) ?? 0 : EXPECTED_PLAIN_RESPONSE_MS
}

/** Returns the expected wait for a slot in the whole fleet, ms. */
export function slotWaitMs (ahead: number, { slots }: snapshot.PoolSnapshot, { serviceTimeMs }: Conditions): number {
  return slots === 0 ? Infinity : ahead * serviceTimeMs / slots
}

/** Returns the expected wait of a request, ms, with the pauses and the request rates that targets ask for. */
export function expectedWaitMs ({ ahead, aheadHere }: QueuePosition, pool: snapshot.PoolSnapshot, conditions: Conditions): number {
  const { sendLimit, pauseMs } = pool
  if (pauseMs > 0) return pauseMs
  if (sendLimit === undefined) return slotWaitMs(ahead, pool, conditions)
  const sendWaitMs = sendLimit.requestsPerS === 0 ? Infinity : sendLimit.waitMs + aheadHere / sendLimit.requestsPerS * MS_PER_S
  return Math.max(sendWaitMs, slotWaitMs(ahead, pool, conditions))
}

/**
 * Returns whether a request will wait longer than it may.
 *
 * @example
 * ```ts
 * if (mustRefuse(request, { aheadHere, ahead }, snapshot, conditions)) refuse(request)
 * ```
 */
export function mustRefuse (request: poolEvent.PlacementRequest, position: QueuePosition, pool: snapshot.PoolSnapshot, conditions: Conditions): boolean {
  const { nowMs } = pool
  const maxWaitMs = waitingOrder.maxWaitMs(request, expectedFirstMs(request, pool, conditions), nowMs)
  return nowMs - request.arrivedMs + expectedWaitMs(position, pool, conditions) > maxWaitMs
}
