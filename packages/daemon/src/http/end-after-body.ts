/**
 * Ends responses that were written before the body of their request was read.
 *
 * @module
 */
import type * as http from 'node:http'

/** Time for the rest of a body after its response, milliseconds. */
const MAX_BODY_TIME_MS = 2_000

/**
 * Sends the content of a response whose length is in its head, and ends it once the rest of the request's body has been
 * read and discarded. Closing a connection with unread data resets it, and the caller may lose the response.
 *
 * @example
 * ```ts
 * outgoing.writeHead(413, { 'content-length': content.length, connection: 'close' })
 * endAfterBody(incoming, outgoing, content)
 * ```
 */
export function endAfterBody (incoming: http.IncomingMessage, outgoing: http.ServerResponse, content: string | Uint8Array): void {
  outgoing.write(content)
  const end = (): void => {
    clearTimeout(timer)
    outgoing.end()
  }
  const timer = setTimeout(end, MAX_BODY_TIME_MS)
  if (incoming.readableEnded) end()
  else incoming.once('end', end).once('close', end).resume()
}
