/**
 * Notices that the process did not run for a while, before anything acts on stale knowledge.
 *
 * @module
 */

/** Silence above which the process counts as suspended, milliseconds. */
export const SUSPENSION_MS = 1_500

/** Watches for suspensions. */
export interface Suspension {
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
export function watchSuspension (clock: () => number, onResumed: (silentMs: number) => void): Suspension {
  let lastMs = clock()
  function check (): void {
    const silentMs = clock() - lastMs
    if (silentMs < SUSPENSION_MS) return
    lastMs = clock()
    onResumed(silentMs)
  }
  function tick (): void {
    check()
    lastMs = clock()
  }
  return { check, tick }
}
