/**
 * Order of timers and the events of connections.
 *
 * @module
 */

/**
 * Calls `next` after the events that are already pending on the connections. Timers run before them, so after a time in which
 * the process was suspended, a timer may be due although what it waits for has arrived.
 *
 * @example
 * ```ts
 * setTimeout(() => { afterPendingEvents(() => { giveUp() }) }, 1_000)
 * ```
 */
export function afterPendingEvents (next: () => void): void {
  setImmediate(() => { setImmediate(next) })
}

/**
 * Starts a timer whose step takes place after the events that are pending when it is due.
 *
 * @example
 * ```ts
 * const timer = startTimer(() => { giveUp() }, 1_000)
 * ```
 */
export function startTimer (step: () => void, delayMs: number): NodeJS.Timeout {
  return setTimeout(() => { afterPendingEvents(step) }, Math.max(0, delayMs))
}
