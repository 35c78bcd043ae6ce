/**
 * Listens for WebSocket connections of other daemons.
 *
 * @module
 */
import * as http from 'node:http'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import * as ws from 'ws'
import * as splitAddress from '../util/split-address.js'

/** Options of a listener. */
export interface Options {
  readonly listen: protocol.Address
  readonly maxMessageBytes: number
  readonly onSocket: (socket: ws.WebSocket) => void
}

/** A running listener. */
export interface Listener {
  readonly close: () => Promise<void>
}

/**
 * Starts listening.
 *
 * @example
 * ```ts
 * const listener = await openListener({ listen, maxMessageBytes: 4_194_304, onSocket })
 * ```
 */
export async function openListener (options: Options): Promise<Listener> {
  const endpoint = splitAddress.splitAddress(options.listen)
  const httpServer = backing.headerLines.keepAllLines(http.createServer((_, response) => {
    response.writeHead(426, { 'content-type': 'text/plain' })
    response.end('This port is for other daemons; callers and operators use the callers address.\n')
  }))
  const server = new ws.WebSocketServer({ server: httpServer, perMessageDeflate: false, maxPayload: options.maxMessageBytes })
  server.on('connection', options.onSocket)
  server.on('error', () => {})
  await backing.listen.listen(httpServer, endpoint)

  async function close (): Promise<void> {
    server.close()
    await new Promise<void>((resolve) => httpServer.close(() => resolve()))
  }

  return { close }
}
