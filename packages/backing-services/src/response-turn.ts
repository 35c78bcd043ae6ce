/**
 * Holds requests until their responses can be written.
 *
 * @module
 */
import type * as http from 'node:http'

/** What becomes of a request; one of the callbacks is called, or none if the connection ends before. */
export interface Handlers {
  readonly serve: () => void
  /** Called if this side of the connection has ended, although Node.js still reads requests. */
  readonly drop: () => void
}

/**
 * Calls a handler once it is the turn of the response: of pipelined requests, after the responses before have been sent. One of them
 * may close the connection, so a request that is dispatched earlier may run without an answer.
 *
 * @example
 * ```ts
 * awaitTurn(incoming, outgoing, { serve: () => { serve(incoming, outgoing) }, drop: () => { log('request dropped') } })
 * ```
 */
export function awaitTurn ({ socket }: Pick<http.IncomingMessage, 'socket'>, outgoing: http.ServerResponse, { serve, drop }: Handlers): void {
  const take = (): void => { if (socket.writable) serve(); else drop() }
  // Node.js assigns the connection to one response at a time.
  if (outgoing.socket === null) outgoing.once('socket', take)
  else take()
}
