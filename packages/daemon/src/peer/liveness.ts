/**
 * How long a peer has been silent since something was sent to it.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Silence of one connection. */
export interface Liveness {
  readonly recordSent: () => void
  readonly recordReceived: () => void
  /** Time since the first message that got no sign of life; 0 when there is none. */
  readonly unresponsiveMs: () => number
  /** Time since the connection was opened. */
  readonly ageMs: () => number
}

/**
 * Starts with the connection just opened.
 *
 * @example
 * ```ts
 * const silence = createSilence(clock)
 * silence.sent()
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
