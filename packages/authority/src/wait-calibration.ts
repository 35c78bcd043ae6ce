/**
 * Corrects expected waits by what earlier ones turned out to be.
 *
 * @module
 */

/** Ratio of actual to expected waits. */
export interface WaitCalibration {
  readonly factor: () => number
  readonly observe: (expectedMs: number, actualMs: number) => void
}

const GAIN = 0.05
const MIN_FACTOR = 0.25
const MAX_FACTOR = 4
/** Shorter expected waits say nothing about the rate, milliseconds. */
const MIN_EXPECTED_MS = 100

/**
 * Creates a calibration that trusts the estimates.
 *
 * @example
 * ```ts
 * const calibration = createWaitCalibration()
 * calibration.learn(1_000, 2_000)
 * calibration.factor() // a little above 1
 * ```
 */
export function createWaitCalibration (): WaitCalibration {
  let factor = 1
  return {
    factor: () => factor,
    observe (expectedMs, actualMs) {
      if (expectedMs < MIN_EXPECTED_MS) return
      const observedFactor = factor * actualMs / expectedMs
      factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor + GAIN * (observedFactor - factor)))
    }
  }
}
