/**
 * Notices that the process did not run for a while, before anything acts on stale knowledge.
 *
 * @module
 */

/** Silence above which the process counts as suspended, milliseconds. */
export const SUSPENSION_THRESHOLD_MS = 1_500

/** Watches for suspensions. */
export interface SuspensionDetector {
  /** Call before acting; tells the listener first when the process was suspended. */
  readonly check: () => void
  /** Call at every tick of the process. */
  readonly tick: () => void
}

/**
 * Starts watching. A stopped process wakes inside its poll for sockets, ahead of its timers, so the
 * check must come before each event and not only with the timer.
 *
 * @example
 * ```ts
 * const suspension = watchSuspension(clock, () => task.post({ kind: 'resumed' }))
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
