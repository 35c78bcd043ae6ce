/**
 * Keeps the header lines of requests.
 *
 * @module
 */
import type * as http from 'node:http'

/** Value by which Node.js keeps any number of header lines. */
const UNLIMITED = 0

/**
 * Lets a server keep all header lines of a request. By default, Node.js drops those behind the thousandth without an error. The size
 * of a head remains bounded by `maxHeaderSize`, beyond which Node.js refuses the request.
 *
 * @example
 * ```ts
 * const server = keepAllLines(http.createServer(handleRequest))
 * ```
 */
export function keepAllLines<Server extends http.Server> (server: Server): Server {
  server.maxHeadersCount = UNLIMITED
  return server
}
