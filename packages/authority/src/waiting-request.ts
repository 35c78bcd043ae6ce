/**
 * A request that waits for a slot at the authority.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** A request that has been neither granted nor refused. */
export interface WaitingRequest {
  readonly key: string
  readonly entry: protocol.Incarnation
  readonly message: protocol.SlotRequest
  /** Tokens that the request is expected to occupy on a target. */
  readonly costTokens: number
  /** The organisation's share in the service document. */
  readonly share: number
  /** Time at which the request began to wait, on this authority's clock. */
  readonly arrivedAtMs: number
  /** Order of arrival among requests that began to wait at the same time. */
  readonly sequence: number
  /** Time of the caller's deadline, on this authority's clock. */
  readonly deadlineAtMs: number
  readonly queuedAtMs: number
  /** Time that the request takes on an idle target, milliseconds; 0 when the targets are not measured. */
  readonly serviceTimeMs: number
  /** Wait that was expected when the request was queued, milliseconds. */
  readonly expectedWaitMs: number
}

/**
 * Returns the key of a request, unique among the requests of all entries.
 *
 * @example
 * ```ts
 * keyOf('3k5x8q1m9d2ab', 17) // '3k5x8q1m9d2ab/17'
 * ```
 */
export function keyOf (entry: protocol.Incarnation, number: number): string {
  return `${entry}/${number}`
}
