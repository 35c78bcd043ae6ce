/**
 * How long answers are against what their requests allowed, by service.
 *
 * @module
 */

/** Learned ratio of written to allowed answer tokens. */
export interface ResponseLength {
  readonly estimate: (service: string, allowedTokens: number) => number
  readonly observe: (service: string, allowedTokens: number, writtenTokens: number) => void
}

const GAIN = 0.05
const MIN_RATIO = 0.05
const MAX_RATIO = 1

/**
 * Creates an estimator that expects answers of the allowed length.
 *
 * @example
 * ```ts
 * const answers = createAnswerLength()
 * answers.expect('listings', 400) // 400
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
