/**
 * Token bucket with an injected clock.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const MS_PER_S = 1_000

/** Refill rate and capacity of a bucket. It starts full. */
export interface Options {
  readonly tokensPerS: number
  readonly capacity: number
  readonly now: protocol.Clock
}

/** Acquires one token. Returns false when none is left. */
export type AcquireToken = () => boolean

/**
 * Creates a token bucket.
 *
 * @example
 * ```ts
 * const acquireToken = createTokenBucket({ tokensPerS: 10, capacity: 20, now: () => performance.now() })
 * if (acquireToken()) send()
 * ```
 */
export function createTokenBucket (options: Options): AcquireToken {
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
