/**
 * Orders the requests that wait for a slot.
 *
 * @module
 */
import type * as poolEvent from '../placement/pool-event.js'

/** A waiting request and its rank; lower ranks are placed first. */
export type RankedRequest = readonly [request: poolEvent.PlacementRequest, rank: number]

/** Rank of retries and resumed streams, which lose what was generated if they are refused. */
const FIRST_RANK = -1

/**
 * Returns the queue in the order in which its requests are placed.
 *
 * @example
 * ```ts
 * for (const [request, rank] of orderQueue(queue, rankOf)) place(request, rank)
 * ```
 */
export function orderQueue (queue: readonly poolEvent.PlacementRequest[], rankOf: (request: poolEvent.PlacementRequest) => number): readonly RankedRequest[] {
  return queue
    .map((request): RankedRequest => [request, request.isRetry || request.version !== undefined ? FIRST_RANK : rankOf(request)])
    .sort(([a, rankA], [b, rankB]) => rankA - rankB || a.arrivedMs - b.arrivedMs)
}
