/**
 * Reads the bodies of responses.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as errors from './errors.js'

const STREAM_END_MARKER = '[DONE]'

/** Type of the event with which a daemon aborts a stream. */
const ERROR_EVENT_TYPE = 'error'

/**
 * Reads a body to its end. The error is the reason why it could not be read.
 *
 * @example
 * ```ts
 * const text = await readText(response.body)
 * ```
 */
export async function readText (body: AsyncIterable<Uint8Array>): Promise<neverthrow.Result<string, string>> {
  const decoder = new TextDecoder()
  let text = ''
  try {
    for await (const chunk of body) text += decoder.decode(chunk, { stream: true })
  } catch (error) {
    return neverthrow.err(error instanceof Error ? error.message : String(error))
  }
  return neverthrow.ok(text + decoder.decode())
}

/**
 * Parses JSON. Returns undefined if the text is not valid JSON.
 *
 * @example
 * ```ts
 * parseJson('{"a":1}')
 * ```
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

async function * readLines (body: AsyncIterable<Uint8Array>): AsyncGenerator<string, void> {
  const decoder = new TextDecoder()
  let partialLine = ''
  for await (const chunk of body) {
    const lines = (partialLine + decoder.decode(chunk, { stream: true })).split(/\r?\n/)
    partialLine = lines.pop() ?? ''
    yield * lines
  }
}

function parseErrorMessage (data: string): string | undefined {
  const parsed = parseJson(data) as { readonly error?: { readonly message?: string } } | undefined
  return parsed?.error?.message
}

/**
 * Yields the data of the events of a server-sent event stream. The last item is an error if the stream broke or
 * ended without `[DONE]`.
 *
 * @example
 * ```ts
 * for await (const event of readEvents(response.body, identity)) event.match(print, discard)
 * ```
 */
export async function * readEvents (body: AsyncIterable<Uint8Array>, identity: string): AsyncGenerator<neverthrow.Result<string, errors.IncompleteAnswer>, void> {
  let detail = 'The stream ended without [DONE].'
  let eventType = ''
  try {
    for await (const line of readLines(body)) {
      if (line === '') eventType = ''
      if (line.startsWith('event:')) eventType = line.slice('event:'.length).trim()
      if (!line.startsWith('data:')) continue
      const data = line.slice('data:'.length).trimStart()
      if (data === STREAM_END_MARKER) return
      if (eventType === ERROR_EVENT_TYPE) detail = parseErrorMessage(data) ?? detail
      else yield neverthrow.ok(data)
    }
  } catch (error) {
    if (eventType !== ERROR_EVENT_TYPE) detail = `The stream broke: ${error instanceof Error ? error.message : String(error)}.`
  }
  yield neverthrow.err(new errors.IncompleteAnswer(identity, detail))
}
