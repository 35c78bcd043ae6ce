/**
 * Token bucket on an injected clock.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const MS_PER_S = 1_000

/** Rate and size of a bucket, which starts full. */
export interface Options {
  readonly tokensPerS: number
  readonly capacity: number
  readonly now: protocol.Clock
}

/** Takes one token; false when none is left. */
export type TakeToken = () => boolean

/**
 * Creates a bucket.
 *
 * @example
 * ```ts
 * const take = tokenBucket({ tokensPerS: 10, capacity: 20, now: () => performance.now() })
 * if (take()) send()
 * ```
 */
export function tokenBucket (options: Options): TakeToken {
  let tokens = options.capacity
  let lastRefillMs = options.now()
  return () => {
    const nowMs = options.now()
    const refilled = Math.max(0, nowMs - lastRefillMs) * options.tokensPerS / MS_PER_S
    tokens = Math.min(options.capacity, tokens + refilled)
    lastRefillMs = nowMs
    if (tokens < 1) return false
    tokens -= 1
    return true
  }
}
