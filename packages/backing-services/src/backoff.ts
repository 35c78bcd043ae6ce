/**
 * Exponential back-off with full jitter.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const GROWTH_FACTOR = 2

/** Bounds of the delays and the source of jitter. */
export interface Options {
  readonly initialCeilingMs: number
  readonly maxCeilingMs: number
  readonly random: protocol.Random
}

/** Sequence of delays between attempts. */
export interface Backoff {
  /** Returns the delay before the next attempt, milliseconds. */
  readonly next: () => number
  /** Resets the ceiling after a success. */
  readonly reset: () => void
}

/**
 * Creates a back-off. Each delay is random between 0 and a ceiling, which doubles up to a maximum.
 *
 * @example
 * ```ts
 * const delays = createBackoff({ initialCeilingMs: 100, maxCeilingMs: 10_000, random: Math.random })
 * await sleep(delays.next())
 * ```
 */
export function createBackoff (options: Options): Backoff {
  let ceilingMs = options.initialCeilingMs
  return {
    next: () => {
      const delayMs = options.random() * ceilingMs
      ceilingMs = Math.min(options.maxCeilingMs, ceilingMs * GROWTH_FACTOR)
      return delayMs
    },
    reset: () => { ceilingMs = options.initialCeilingMs }
  }
}
