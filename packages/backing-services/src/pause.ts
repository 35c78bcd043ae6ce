/**
 * Waits that end early when a signal aborts.
 *
 * @module
 */

/**
 * Waits for a time, or until `signal` aborts.
 *
 * @example
 * ```ts
 * await pause(200, stop.signal)
 * ```
 */
export function pause (milliseconds: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve()
    const timer = setTimeout(done, milliseconds)
    signal.addEventListener('abort', done, { once: true })
    function done (): void {
      clearTimeout(timer)
      signal.removeEventListener('abort', done)
      resolve()
    }
  })
}
