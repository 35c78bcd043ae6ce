/**
 * Detects that the process was suspended, before an event is handled on outdated state.
 *
 * @module
 */

/** Time without a tick from which the process counts as suspended, milliseconds. */
export const SUSPENSION_THRESHOLD_MS = 1_500

/** Detects suspensions of the process. */
export interface SuspensionDetector {
  /** Must be called before each event; calls the listener when the process was suspended. */
  readonly check: () => void
  /** Must be called at every tick. */
  readonly tick: () => void
}

/**
 * Creates a detector. A resumed process handles socket events before its timers, so the check is needed
 * before each event and not only at ticks.
 *
 * @example
 * ```ts
 * const detector = createSuspensionDetector(clock, () => task.post({ kind: 'resumed' }))
 * ```
 */
export function createSuspensionDetector (clock: () => number, onResumed: (suspendedMs: number) => void): SuspensionDetector {
  let lastActiveMs = clock()
  function check (): void {
    const suspendedMs = clock() - lastActiveMs
    if (suspendedMs < SUSPENSION_THRESHOLD_MS) return
    lastActiveMs = clock()
    onResumed(suspendedMs)
  }
  function tick (): void {
    check()
    lastActiveMs = clock()
  }
  return { check, tick }
}
