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

/** Bindings that handlers find in their context's `env`. */
export interface Env {
  readonly Bindings: nodeServer.HttpBindings
}

/** Handlers and ports of a server. */
export interface Options {
  readonly app: hono.Hono<Env>
  /** Port of the service; any free one when left out. */
  readonly port?: number | undefined
  readonly onConnection?: (socket: net.Socket) => void
}

/** A running server. */
export interface LoopbackServer {
  /** IP number and port of the service. */
  readonly address: string
  /** IP number and port for `/standin/` paths; it serves also while the service refuses connections. */
  readonly controlAddress: string
  /** Cuts every connection and refuses new ones. */
  readonly refuse: () => void
  /** Ends `refuse`. */
  readonly accept: () => void
  /** Cuts every connection. */
  readonly cutAll: () => void
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
  const sockets = trackSockets(service)
  const controlSockets = trackSockets(control)
  if (options.onConnection !== undefined) service.on('connection', options.onConnection)
  const port = await listen(service, options.port ?? 0)
  const controlPort = await listen(control, 0)
  let wantsListening = true
  let isClosed = false

  function handle (incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    listener(incoming, outgoing).catch(() => incoming.socket.destroy())
  }

  function relisten (): void {
    if (wantsListening && !isClosed && !service.listening) service.listen(port, HOST)
  }
  // The port may be taken for a moment by an outgoing connection.
  service.on('error', () => { setTimeout(relisten, RELISTEN_INTERVAL_MS) })

  function cutAll (): void {
    for (const socket of sockets) socket.resetAndDestroy()
  }

  function refuse (): void {
    wantsListening = false
    if (service.listening) service.close()
    cutAll()
  }

  return {
    address: `${HOST}:${port}`,
    controlAddress: `${HOST}:${controlPort}`,
    refuse,
    accept: () => {
      wantsListening = true
      relisten()
    },
    cutAll,
    close: async () => {
      isClosed = true
      refuse()
      control.close()
      for (const socket of controlSockets) socket.destroy()
    }
  }
}
