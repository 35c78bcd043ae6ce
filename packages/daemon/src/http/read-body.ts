/**
 * Reads a caller's complete request body, up to a limit.
 *
 * @module
 */
import type * as http from 'node:http'
import * as neverthrow from 'neverthrow'

/** The body exceeds the limit in the settings. */
export class OversizedBody extends Error {
  constructor (readonly limitBytes: number) {
    super(`The body is larger than ${limitBytes} bytes: send a smaller one, or raise limits.bodyBytes.`)
    this.name = 'OversizedBody'
  }
}

/** The caller disconnected, or stopped sending, before the request was complete. */
export class IncompleteBody extends Error {
  constructor () {
    super('The request ended before its body was complete: send it again.')
    this.name = 'IncompleteBody'
  }
}

/**
 * Reads the body of a request.
 *
 * @example
 * ```ts
 * const body = await readBody(incoming, 4_194_304)
 * ```
 */
export async function readBody (incoming: http.IncomingMessage, limitBytes: number): Promise<neverthrow.Result<Uint8Array, OversizedBody | IncompleteBody>> {
  if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) return neverthrow.err(new OversizedBody(limitBytes))
  const chunks: Uint8Array[] = []
  let bytes = 0
  try {
    for await (const chunk of incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Uint8Array>) {
      bytes += chunk.length
      if (bytes > limitBytes) return neverthrow.err(new OversizedBody(limitBytes))
      chunks.push(chunk)
    }
  } catch {
    return neverthrow.err(new IncompleteBody())
  }
  return neverthrow.ok(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks))
}
