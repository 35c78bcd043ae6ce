/**
 * The connections of callers, and which of them are idle.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** The connections of a listener. */
export interface CallerConnections {
  /** Counts a response until it has been sent, or its connection is closed. */
  readonly begin: (outgoing: http.ServerResponse) => void
  /** Whether a response has been counted since the listener was opened. */
  readonly hasBegun: () => boolean
  /** Closes the idle connections, and the others when they become idle. */
  readonly close: () => void
}

interface Connection {
  readonly open: number
  /** Bytes that had been received when the last response ended; more of them are the beginning of a request. */
  readonly receivedBytes: number
}

const NEW_CONNECTION: Connection = { open: 0, receivedBytes: 0 }

/**
 * Follows the connections of a server. Node.js counts a connection as idle when the response has been handed over, although it may
 * still have to be sent.
 *
 * @example
 * ```ts
 * const connections = followConnections(server)
 * connections.begin(outgoing)
 * ```
 */
export function followConnections (server: http.Server): CallerConnections {
  const connections = new Map<net.Socket, Connection>()
  let isClosing = false
  let hasBegun = false

  function closeIfIdle (socket: net.Socket, { open, receivedBytes }: Connection): void {
    if (!isClosing || open > 0 || socket.bytesRead !== receivedBytes) return
    socket.end()
    // A request that crosses the close can't be answered any more. It stays unread, and its caller may send it again.
    socket.pause()
  }

  server.on('connection', (socket: net.Socket) => {
    connections.set(socket, NEW_CONNECTION)
    socket.once('close', () => { connections.delete(socket) })
  })
  return {
    begin: (outgoing) => {
      hasBegun = true
      const { socket } = outgoing
      const connection = socket === null ? undefined : connections.get(socket)
      if (socket === null || connection === undefined) return
      connections.set(socket, { ...connection, open: connection.open + 1 })
      outgoing.once('close', () => {
        const current = connections.get(socket)
        if (current === undefined) return
        const next = { open: current.open - 1, receivedBytes: socket.bytesRead }
        connections.set(socket, next)
        closeIfIdle(socket, next)
      })
    },
    hasBegun: () => hasBegun,
    close: () => {
      isClosing = true
      for (const [socket, connection] of connections) closeIfIdle(socket, connection)
    }
  }
}
