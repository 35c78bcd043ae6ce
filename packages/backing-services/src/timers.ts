/**
 * Port to the clock of the process, so that waits can be simulated.
 *
 * @module
 */
import * as pauseModule from './pause.js'

/** A monotonic clock and its waits. Times are ms. */
export interface Timers {
  readonly now: () => number
  /** Waits for a time, or until the signal aborts. */
  readonly pause: (milliseconds: number, signal: AbortSignal) => Promise<void>
  /** Returns a signal that aborts after a time. */
  readonly timeout: (milliseconds: number) => AbortSignal
}

/** The clock of the process. */
export const SYSTEM_TIMERS: Timers = {
  now: () => performance.now(),
  pause: pauseModule.pause,
  timeout: (milliseconds) => AbortSignal.timeout(milliseconds)
}
