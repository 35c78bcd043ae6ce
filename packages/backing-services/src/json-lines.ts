/**
 * Splits a byte stream into lines.
 *
 * @module
 */

/**
 * Yields each non-empty line. Characters and lines may be split across chunks. Drops a last line
 * without a line break, which may be truncated.
 *
 * @example
 * ```ts
 * for await (const line of jsonLines(response.body)) handle(JSON.parse(line))
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
