/**
 * Ratio of a target's recent first-token times to the times expected at its best rates; 1 is normal. Without new
 * observations the factor decays to 1, so that a target that was slow is tried again.
 *
 * @module
 */

/** A moving average of a ratio that decays to 1. */
export interface LatencyFactor {
  readonly at: (nowMs: number) => number
  readonly observe: (ratio: number, nowMs: number) => void
  readonly reset: () => void
}

const GAIN = 0.3
const HALF_LIFE_MS = 20_000

/**
 * Creates a factor of 1.
 *
 * @example
 * ```ts
 * const factor = createLatencyFactor()
 * factor.observe(3, nowMs)
 * factor.at(nowMs) // 1.6
 * ```
 */
export function createLatencyFactor (): LatencyFactor {
  let value = 1
  let observedAtMs = 0

  function at (nowMs: number): number {
    return 1 + (value - 1) * 2 ** (-Math.max(0, nowMs - observedAtMs) / HALF_LIFE_MS)
  }

  return {
    at,
    observe (ratio, nowMs) {
      const current = at(nowMs)
      value = current + GAIN * (ratio - current)
      observedAtMs = nowMs
    },
    reset () { value = 1 }
  }
}
