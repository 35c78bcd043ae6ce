/**
 * Ends responses that can't be completed.
 *
 * @module
 */
import type * as http from 'node:http'

/**
 * Closes the connection of a response, so that one that has begun looks incomplete. Without chunks, as in HTTP/1.0, a regular
 * end of the connection would be the end of the response, so the connection is reset.
 *
 * @example
 * ```ts
 * if (outgoing.headersSent) cut(outgoing)
 * ```
 */
export function cut (outgoing: http.ServerResponse): void {
  if (outgoing.headersSent && !outgoing.chunkedEncoding) outgoing.socket?.resetAndDestroy()
  // What was written in this tick is still corked, and would be lost.
  outgoing.socket?.uncork()
  outgoing.destroy()
}
