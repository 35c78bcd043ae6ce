/**
 * A request that waits for a slot, as the authority keeps it.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** An ask that has neither been granted nor refused. */
export interface WaitingRequest {
  readonly key: string
  readonly entry: protocol.Incarnation
  readonly message: protocol.Ask
  /** Tokens that the request is expected to occupy on a target. */
  readonly costTokens: number
  /** The organisation's share in the service document. */
  readonly share: number
  /** When the request began to wait, on this authority's clock. */
  readonly arrivedAtMs: number
  /** Order of arrival among asks that began to wait at the same time. */
  readonly sequence: number
  /** When the caller's deadline passes, on this authority's clock. */
  readonly deadlineAtMs: number
  readonly queuedAtMs: number
  /** Time that the request needs on an idle target; 0 when that was not measured. */
  readonly serviceTimeMs: number
  /** Wait that was expected when the ask was queued. */
  readonly expectedWaitMs: number
}

/**
 * Key of an ask among the asks of all entries.
 *
 * @example
 * ```ts
 * keyOf('3k5x8q1m9d2ab', 17) // '3k5x8q1m9d2ab/17'
 * ```
 */
export function keyOf (entry: protocol.Incarnation, number: number): string {
  return `${entry}/${number}`
}
