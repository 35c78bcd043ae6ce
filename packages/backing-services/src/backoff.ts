/**
 * Exponential back-off with full jitter.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const GROWTH_FACTOR = 2

/** Bounds of the delays, and the source of their jitter. */
export interface Options {
  readonly firstCeilingMs: number
  readonly maxCeilingMs: number
  readonly random: protocol.Random
}

/** Gives the delays between attempts. */
export interface Backoff {
  /** Delay before the next attempt, milliseconds. */
  readonly next: () => number
  /** Starts over after a success. */
  readonly reset: () => void
}

/**
 * Creates a back-off: each delay is random between 0 and a ceiling that doubles up to a maximum.
 *
 * @example
 * ```ts
 * const delays = backoff({ firstCeilingMs: 100, maxCeilingMs: 10_000, random: Math.random })
 * await sleep(delays.next())
 * ```
 */
export function backoff (options: Options): Backoff {
  let ceilingMs = options.firstCeilingMs
  return {
    next: () => {
      const delayMs = options.random() * ceilingMs
      ceilingMs = Math.min(options.maxCeilingMs, ceilingMs * GROWTH_FACTOR)
      return delayMs
    },
    reset: () => { ceilingMs = options.firstCeilingMs }
  }
}
