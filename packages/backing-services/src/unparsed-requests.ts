/**
 * Refuses requests that Node.js can't parse.
 *
 * @module
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as cutResponse from './cut-response.js'

/** Time for the caller to read the refusal and to close the connection, ms. */
const LINGER_MS = 2_000

/** Error of a head that takes too long. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'

/** A response to a request that can't be parsed. */
export interface Refusal {
  readonly status: number
  /** Alternating names and values, without those of the connection. */
  readonly headers: readonly string[]
  readonly body: string | Buffer
}

interface Exchange {
  readonly incoming: http.IncomingMessage
  readonly outgoing: http.ServerResponse
}

const CLOSE_HEADER: readonly string[] = ['Connection', 'close']

function encode ({ status, headers, body }: Refusal): Buffer {
  const lines = [...headers, ...CLOSE_HEADER].map((text, index) => `${text}${index % 2 === 0 ? ': ' : '\r\n'}`)
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\n${lines.join('')}\r\n`), Buffer.from(body)])
}

/** Ends this side of a connection. Bytes that follow are discarded for a while: closing a connection with unread bytes resets it. */
function endConnection (socket: net.Socket, lastBytes: Buffer = Buffer.alloc(0)): void {
  socket.end(lastBytes)
  const timer = setTimeout(() => { socket.destroy() }, LINGER_MS)
  socket.once('close', () => { clearTimeout(timer) })
}

/** Ends an exchange whose request has a body that can't be parsed: with the refusal, or, if a response has begun, by its end or a cut. */
function endExchange ({ incoming, outgoing }: Exchange, error: NodeJS.ErrnoException, refusalOf: (error: NodeJS.ErrnoException) => Refusal): void {
  if (outgoing.closed) {
    endConnection(incoming.socket)
  } else if (outgoing.writableEnded) {
    outgoing.once('close', () => { endConnection(incoming.socket) })
  } else if (outgoing.headersSent) {
    cutResponse.cut(outgoing)
  } else {
    const { status, headers, body } = refusalOf(error)
    outgoing.writeHead(status, [...headers, ...CLOSE_HEADER])
    // Otherwise the request would never end for its reader: Node.js aborts none whose response is complete.
    outgoing.once('close', () => { incoming.destroy(error) })
    outgoing.end(body)
  }
}

/**
 * Refuses requests that can't be parsed, and those whose head takes too long, and closes their connections. A refusal comes in its
 * turn, after the responses to earlier requests on the connection. By default, Node.js writes it at once, in the place of the response
 * to a request that may be running.
 *
 * @example
 * ```ts
 * refuseUnparsed(server, (error) => ({ status: 400, headers: ['Content-Length', '0'], body: '' }))
 * ```
 */
export function refuseUnparsed (server: http.Server, refusalOf: (error: NodeJS.ErrnoException) => Refusal): void {
  /** The last exchange of each connection, while its response is open or its request incomplete. */
  const exchanges = new WeakMap<net.Socket, Exchange>()
  const failed = new WeakSet<net.Socket>()

  server.on('request', (incoming, outgoing) => {
    const { socket } = incoming
    const exchange = { incoming, outgoing }
    exchanges.set(socket, exchange)
    outgoing.once('close', () => { if (incoming.complete && exchanges.get(socket) === exchange) exchanges.delete(socket) })
  })

  function refuseNext (socket: net.Socket, error: NodeJS.ErrnoException): void {
    if (!socket.writable) return
    endConnection(socket, encode(refusalOf(error)))
    // The parser has not failed. A request that crosses the refusal stays unread, and its caller may send it again.
    if (error.code === HEAD_TIMEOUT) socket.pause()
  }

  function refuseAfter ({ outgoing }: Exchange, socket: net.Socket, error: NodeJS.ErrnoException): void {
    outgoing.once('close', () => {
      // A head that took too long may have been completed meanwhile.
      if (exchanges.has(socket)) failed.delete(socket)
      else refuseNext(socket, error)
    })
  }

  server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as net.Socket
    // Node.js reports an error again with each piece that arrives.
    if (failed.has(socket)) return
    failed.add(socket)
    if (!socket.writable) {
      socket.destroy()
      return
    }
    const exchange = exchanges.get(socket)
    if (exchange === undefined) refuseNext(socket, error)
    else if (exchange.incoming.complete) refuseAfter(exchange, socket, error)
    else endExchange(exchange, error, refusalOf)
  })
}
