/**
 * Generates the text of a model engine's answer from the marker of the request.
 *
 * @module
 */

/**
 * Returns one token of the answer to the request with this marker. A token with another marker or a
 * wrong index shows a history check that answers were mixed up or are incomplete.
 *
 * @example
 * ```ts
 * answerToken('m1', 2) // 'm1.2 '
 * ```
 */
export function answerToken (marker: string, index: number): string {
  return `${marker}.${index} `
}

/**
 * Returns the tokens of an answer from one index up to another, exclusive.
 *
 * @example
 * ```ts
 * answerText('m1', 0, 2) // 'm1.0 m1.1 '
 * ```
 */
export function answerText (marker: string, from: number, to: number): string {
  return Array.from({ length: Math.max(0, to - from) }, (_, offset) => answerToken(marker, from + offset)).join('')
}

/**
 * Returns the number of tokens in a text that is a prefix of the answer for this marker or the complete
 * answer; undefined when any part of the text differs.
 *
 * @example
 * ```ts
 * countAnswerTokens('m1', 'm1.0 m1.1 ') // 2
 * countAnswerTokens('m1', 'm1.0 m2.1 ') // undefined
 * ```
 */
export function countAnswerTokens (marker: string, text: string): number | undefined {
  const count = text.split(' ').length - 1
  return text === answerText(marker, 0, count) ? count : undefined
}
