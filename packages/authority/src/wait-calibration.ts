/**
 * Corrects expected waits by the ratio of actual to expected waits of earlier requests.
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
/** Minimum expected wait that is compared; shorter ones say nothing about the rate, milliseconds. */
const MIN_EXPECTED_MS = 100

/**
 * Creates a calibration that initially leaves estimates unchanged.
 *
 * @example
 * ```ts
 * const calibration = createWaitCalibration()
 * calibration.observe(1_000, 2_000)
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
