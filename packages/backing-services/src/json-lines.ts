/**
 * Splits a byte stream into lines.
 *
 * @module
 */

/**
 * Yields each line that is not empty; a character or line may be split over chunks. A last line
 * without its end is left out, as it may be cut.
 *
 * @example
 * ```ts
 * for await (const line of jsonLines(answer.body)) handle(JSON.parse(line))
 * ```
 */
export async function * jsonLines (chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let remainder = ''
  for await (const chunk of chunks) {
    remainder += decoder.decode(chunk, { stream: true })
    const lines = remainder.split('\n')
    remainder = lines.pop() ?? ''
    yield * lines.filter((line) => line.trim() !== '')
  }
}
