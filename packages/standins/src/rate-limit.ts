/**
 * Fixed-window rate limit on an injected clock.
 *
 * @module
 */
import type * as timers from './timers.js'

const WINDOW_MS = 1_000

/**
 * Creates a rate limit. The returned function counts one call and returns false when the call exceeds the limit.
 *
 * @example
 * ```ts
 * const admit = createRateLimit(300, timers.now)
 * if (!admit()) return tooManyRequests()
 * ```
 */
export function createRateLimit (callsPerS: number, now: timers.Timers['now']): () => boolean {
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
