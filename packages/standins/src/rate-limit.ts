/**
 * Limit on calls within each second of an injected clock.
 *
 * @module
 */
import type * as timers from './timers.js'

const WINDOW_MS = 1_000

/**
 * Creates a limit: the function takes one call, and gives false beyond the limit.
 *
 * @example
 * ```ts
 * const admit = callLimit(300, timers.now)
 * if (!admit()) return tooManyRequests()
 * ```
 */
export function callLimit (callsPerS: number, now: timers.Timers['now']): () => boolean {
  let windowStartMs = now()
  let calls = 0
  return () => {
    const nowMs = now()
    if (nowMs - windowStartMs >= WINDOW_MS) {
      windowStartMs = nowMs
      calls = 0
    }
    calls += 1
    return calls <= callsPerS
  }
}
