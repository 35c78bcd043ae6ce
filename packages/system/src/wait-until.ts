/**
 * Waits for something that happens in another process.
 *
 * @module
 */

const POLL_MS = 20

/** It did not happen. */
export class NeverHappened extends Error {
  constructor (what: string, limitMs: number) {
    super(`${what} did not happen within ${limitMs} ms: look at the logs of the processes.`)
    this.name = 'NeverHappened'
  }
}

/**
 * Asks again and again until the answer is not undefined. The limit only ends a run that hangs.
 *
 * @example
 * ```ts
 * await waitUntil('the daemon is ready', 10_000, async () => await isReady(address) ? true : undefined)
 * ```
 */
export async function waitUntil<Value> (what: string, limitMs: number, ask: () => Promise<Value | undefined>): Promise<Value> {
  const startMs = performance.now()
  for (;;) {
    const answer = await ask()
    if (answer !== undefined) return answer
    if (performance.now() - startMs > limitMs) throw new NeverHappened(what, limitMs)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}
