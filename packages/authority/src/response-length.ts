/**
 * Estimates the length of responses from the length that their requests allowed, by service.
 *
 * @module
 */

/** Ratio of generated to allowed response tokens. */
export interface ResponseLength {
  readonly estimate: (service: string, allowedTokens: number) => number
  readonly observe: (service: string, allowedTokens: number, writtenTokens: number) => void
}

const GAIN = 0.05
const MIN_RATIO = 0.05
const MAX_RATIO = 1

/**
 * Creates an estimator that initially expects responses of the allowed length.
 *
 * @example
 * ```ts
 * const responseLengths = createResponseLength()
 * responseLengths.estimate('listings', 400) // 400
 * ```
 */
export function createResponseLength (): ResponseLength {
  const ratios = new Map<string, number>()
  return {
    estimate: (service, allowedTokens) => Math.ceil(allowedTokens * (ratios.get(service) ?? 1)),
    observe (service, allowedTokens, writtenTokens) {
      if (allowedTokens <= 0) return
      const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, writtenTokens / allowedTokens))
      const previous = ratios.get(service) ?? 1
      ratios.set(service, previous + GAIN * (ratio - previous))
    }
  }
}
