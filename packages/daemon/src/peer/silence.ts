/**
 * How long a peer has been silent since something was sent to it.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Silence of one connection. */
export interface Silence {
  readonly sent: () => void
  readonly heard: () => void
  /** Time since the first message that got no sign of life; 0 when there is none. */
  readonly lengthMs: () => number
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
export function createSilence (clock: protocol.Clock): Silence {
  const openedMs = clock()
  let unansweredMs: number | undefined
  return {
    sent: () => { unansweredMs ??= clock() },
    heard: () => { unansweredMs = undefined },
    lengthMs: () => unansweredMs === undefined ? 0 : clock() - unansweredMs,
    ageMs: () => clock() - openedMs
  }
}
