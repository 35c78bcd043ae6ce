/**
 * HTTP server on loopback whose listener can refuse connections for a while. The control address
 * serves the same paths and never refuses.
 *
 * @module
 */
import * as nodeServer from '@hono/node-server'
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as hono from 'hono'

const HOST = '127.0.0.1'
const RELISTEN_INTERVAL_MS = 20

/** Type of the `env` of a handler's context. */
export interface Env {
  readonly Bindings: nodeServer.HttpBindings
}

/** Handlers and port of a server. */
export interface Options {
  readonly app: hono.Hono<Env>
  /** Port of the service; defaults to any free one. */
  readonly port?: number | undefined
  readonly onConnection?: (socket: net.Socket) => void
}

/** A running server. */
export interface LoopbackServer {
  /** IP address and port of the service. */
  readonly address: string
  /** IP address and port for `/standin/` paths; available also while the service refuses connections. */
  readonly controlAddress: string
  /** Resets every connection and refuses new ones. */
  readonly refuse: () => void
  /** Accepts connections again. */
  readonly accept: () => void
  /** Resets every connection. */
  readonly resetConnections: () => void
  readonly close: () => Promise<void>
}

async function listen (server: http.Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, HOST, () => {
      server.off('error', reject)
      resolve()
    })
  })
  return (server.address() as net.AddressInfo).port
}

function trackSockets (server: http.Server): ReadonlySet<net.Socket> {
  const sockets = new Set<net.Socket>()
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
  })
  return sockets
}

/**
 * Starts a server.
 *
 * @example
 * ```ts
 * const server = await startLoopbackServer({ app })
 * await fetch(`http://${server.address}/load`)
 * ```
 */
export async function startLoopbackServer (options: Options): Promise<LoopbackServer> {
  const listener = nodeServer.getRequestListener(options.app.fetch)
  const service = http.createServer(handle)
  const control = http.createServer(handle)
  // By default, Node.js drops the header lines behind the thousandth.
  service.maxHeadersCount = 0
  const sockets = trackSockets(service)
  const controlSockets = trackSockets(control)
  if (options.onConnection !== undefined) service.on('connection', options.onConnection)
  const port = await listen(service, options.port ?? 0)
  const controlPort = await listen(control, 0)
  let shouldListen = true
  let isClosed = false

  function handle (incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    listener(incoming, outgoing).catch(() => incoming.socket.destroy())
  }

  function listenAgain (): void {
    if (shouldListen && !isClosed && !service.listening) service.listen(port, HOST)
  }
  // An outgoing connection may briefly occupy the port.
  service.on('error', () => { setTimeout(listenAgain, RELISTEN_INTERVAL_MS) })

  function resetConnections (): void {
    for (const socket of sockets) socket.resetAndDestroy()
  }

  function refuse (): void {
    shouldListen = false
    if (service.listening) service.close()
    resetConnections()
  }

  return {
    address: `${HOST}:${port}`,
    controlAddress: `${HOST}:${controlPort}`,
    refuse,
    accept: () => {
      shouldListen = true
      listenAgain()
    },
    resetConnections,
    close: async () => {
      isClosed = true
      refuse()
      control.close()
      for (const socket of controlSockets) socket.destroy()
    }
  }
}
