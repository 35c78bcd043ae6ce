/**
 * Tracks how long a peer has been unresponsive.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Liveness of the peer on one connection. */
export interface Liveness {
  readonly recordSent: () => void
  readonly recordReceived: () => void
  /** Time since the first message sent after the last frame was received; 0 when there is none. */
  readonly unresponsiveMs: () => number
  /** Time since the connection was opened. */
  readonly ageMs: () => number
}

/**
 * Creates the tracker of a connection that was just opened.
 *
 * @example
 * ```ts
 * const liveness = createLiveness(clock)
 * liveness.recordSent()
 * ```
 */
export function createLiveness (clock: protocol.Clock): Liveness {
  const openedMs = clock()
  let unansweredSinceMs: number | undefined
  return {
    recordSent: () => { unansweredSinceMs ??= clock() },
    recordReceived: () => { unansweredSinceMs = undefined },
    unresponsiveMs: () => unansweredSinceMs === undefined ? 0 : clock() - unansweredSinceMs,
    ageMs: () => clock() - openedMs
  }
}
