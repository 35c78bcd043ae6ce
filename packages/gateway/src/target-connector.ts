/**
 * Opens connections to targets, directly or through a peer.
 *
 * @module
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as backing from '@persimmonhatch/backing-services'
import type * as undici from 'undici'
import * as endpoint from './endpoint.js'
import * as httpStatus from './http-status.js'
import * as relayFrames from './relay-frames.js'
import * as transports from './transports.js'

/** Timeout for a new connection to a target, ms; a reachable target accepts within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 300

/** Time limit for a connection through a peer, which connects to the target in turn, ms. */
const RELAY_TIMEOUT_MS = 600

/** Connecting failed; nothing was sent. */
class ConnectFailure extends Error {
  constructor (address: string, cause: string) {
    super(`Could not connect to ${address}: ${cause}. Check that the target is running there.`)
    this.name = 'ConnectFailure'
  }
}

/** Called with each new connection. */
export type Watchers = readonly ((connection: backing.connection.Connection) => void)[]

/** Returns the connection over a socket, in the form that undici takes it. */
function openConnection (socket: net.Socket, transport: backing.connection.Transport, watchers: Watchers): net.Socket {
  const connection = new backing.connection.Connection(socket, transport)
  for (const watch of watchers) watch(connection)
  return backing.connection.asSocket(connection)
}

/**
 * Returns a function that connects directly.
 *
 * @example
 * ```ts
 * new undici.Pool(origin, { connect: connectTo('10.0.0.7:8080', []) })
 * ```
 */
export function connectTo (address: string, watchers: Watchers): undici.buildConnector.connector {
  const { host, port } = endpoint.parseEndpoint(address)
  return (_, callback) => {
    const socket = net.connect({ host, port, noDelay: true })
    const timer = setTimeout(() => { socket.destroy(new ConnectFailure(address, `timed out after ${CONNECT_TIMEOUT_MS} ms`)) }, CONNECT_TIMEOUT_MS)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      callback(error instanceof ConnectFailure ? error : new ConnectFailure(address, error.message), null)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', fail)
      callback(null, openConnection(socket, backing.connection.DIRECT, watchers))
    })
  }
}

/**
 * Returns a function that connects through a peer, which passes on the bytes in both directions.
 *
 * @example
 * ```ts
 * new undici.Pool(origin, { connect: connectVia('10.1.0.25:7600', '10.0.0.7:8080', []) })
 * ```
 */
export function connectVia (via: string, address: string, watchers: Watchers): undici.buildConnector.connector {
  const { host, port } = endpoint.parseEndpoint(via)
  return (_, callback) => {
    const fail = (cause: string): void => { callback(new ConnectFailure(address, `${cause} through ${via}`), null) }
    const request = http.request({ host, port, method: 'CONNECT', path: address, headers: { [relayFrames.FRAMES_HEADER]: relayFrames.FRAMES_VERSION }, agent: false })
    const timer = setTimeout(() => { request.destroy(new Error(`timed out after ${RELAY_TIMEOUT_MS} ms`)) }, RELAY_TIMEOUT_MS)
    request.once('close', () => { clearTimeout(timer) })
    request.once('error', (error) => { fail(error.message) })
    request.once('connect', (response, socket, head) => {
      clearTimeout(timer)
      if (response.statusCode !== httpStatus.OK) {
        socket.destroy()
        fail(`refused with ${response.statusCode ?? 0}`)
        return
      }
      socket.setNoDelay(true)
      if (head.length > 0) socket.unshift(head)
      const hasFrames = response.headers[relayFrames.FRAMES_HEADER] === relayFrames.FRAMES_VERSION
      callback(null, openConnection(socket, transports.carriedBy({ hasFrames }), watchers))
    })
    request.end()
  }
}

/**
 * Returns whether a direct connection can be opened, which is closed at once.
 *
 * @example
 * ```ts
 * if (!await probeAddress('10.0.0.7:8080')) useRelay()
 * ```
 */
export function probeAddress (address: string): Promise<boolean> {
  const { host, port } = endpoint.parseEndpoint(address)
  return new Promise((resolve) => {
    const socket = net.connect({ host, port })
    const end = (isReached: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isReached)
    }
    const timer = setTimeout(() => { end(false) }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => { end(true) })
    socket.once('error', () => { end(false) })
  })
}
