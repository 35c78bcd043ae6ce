/**
 * Text of a model engine's answer, as a function of the request.
 *
 * @module
 */

/**
 * One token of the answer to the request with this marker. A history check that reads a token of
 * another marker, or a wrong index, has found a mixed-up or incomplete answer.
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
 * The tokens of an answer from one index up to, but without, another.
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
 * Count of the tokens of a text that is the start of the answer to this marker, or the whole of it;
 * undefined when any part of the text is something else.
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
