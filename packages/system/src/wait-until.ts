/**
 * Waits for an event in another process.
 *
 * @module
 */

const POLL_INTERVAL_MS = 20

/** Thrown when the event did not occur in time. */
export class WaitTimeoutError extends Error {
  constructor (event: string, timeoutMs: number) {
    super(`${event} did not occur within ${timeoutMs} ms: inspect the logs of the processes.`)
    this.name = 'NeverHappened'
  }
}

/**
 * Polls until the result is not undefined. The timeout only ends a run that hangs.
 *
 * @example
 * ```ts
 * await waitUntil('the daemon is ready', 10_000, async () => await isReady(address) ? true : undefined)
 * ```
 */
export async function waitUntil<Value> (event: string, timeoutMs: number, poll: () => Promise<Value | undefined>): Promise<Value> {
  const startMs = performance.now()
  for (;;) {
    const value = await poll()
    if (value !== undefined) return value
    if (performance.now() - startMs > timeoutMs) throw new WaitTimeoutError(event, timeoutMs)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
