/**
 * Sends requests to targets: each at most once, with one request in flight per connection.
 *
 * @module
 */
import * as net from 'node:net'
import * as undici from 'undici'
import * as endpoint from './endpoint.js'
import type * as rawHeaders from './raw-headers.js'
import * as receivedBytes from './received-bytes.js'

/** Timeout for a new connection to a target, ms; a reachable target accepts within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 300

/** Idle time after which a connection is closed if the target states no timeout, ms. */
const KEEP_ALIVE_MS = 4_000

/** Margin before the target's own idle timeout in which the connection is no longer used, ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000

const MAX_KEEP_ALIVE_MS = 30_000

/** One request to a target. */
export interface TargetRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: rawHeaders.RawHeaders
  readonly body: Buffer | undefined
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  readonly headers: rawHeaders.RawHeaders
}

/** `unreachable`: nothing was sent. `broken`: the request may have run. */
export type FailureKind = 'unreachable' | 'broken'

/** Callbacks of an exchange; none is called after `end`, `failed` or `abort`. */
export interface Listener {
  /** Called immediately before the first byte may be written. */
  readonly sent: () => void
  readonly head: (head: ResponseHead) => void
  readonly data: (chunk: Buffer) => void
  readonly end: () => void
  readonly failed: (kind: FailureKind, message: string) => void
}

/** A request in progress. */
export interface Exchange {
  /** Closes the connection, at which the target stops. */
  readonly abort: () => void
  readonly pause: () => void
  readonly resume: () => void
}

/** Connections to all targets. */
export interface TargetClients {
  readonly send: (request: TargetRequest, listener: Listener) => Exchange
  /** Closes the pools of addresses that are not in the set. */
  readonly retain: (addresses: ReadonlySet<string>) => void
  readonly close: () => Promise<void>
}

/** Connection limit and counter. */
export interface Options {
  readonly connectionLimit: (address: string) => number
  readonly countConnection: (address: string) => void
}

/** Connecting failed; nothing was sent. */
class ConnectFailure extends Error {
  constructor (address: string, cause: string) {
    super(`Could not connect to ${address}: ${cause}. Check that the target is running there.`)
    this.name = 'ConnectFailure'
  }
}

/**
 * Changes the code of a reset. undici treats ECONNRESET as the regular end of a response without a length, so
 * that a truncated response would appear complete.
 */
function markReset (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'ERR_TARGET_RESET'
}

/** Detects whether the connection whose end is being reported was reset. */
interface ResetDetector {
  readonly watch: (socket: net.Socket) => void
  readonly isReset: () => boolean
}

/**
 * Distinguishes a reset from a regular end. When data and a reset arrive together, Node reports the end of the
 * stream and no error; a connection that was reset has no remote address any more.
 */
function createResetDetector (): ResetDetector {
  let reset = false
  return {
    watch: (socket) => {
      socket.prependListener('end', () => {
        reset = socket.remoteAddress === undefined
        // The end of the response is reported while this event is being handled.
        process.nextTick(() => { reset = false })
      })
    },
    isReset: () => reset
  }
}

/** Called with each new connection. */
type Watchers = readonly ((socket: net.Socket) => void)[]

function connectTo (address: string, watchers: Watchers): undici.buildConnector.connector {
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
      socket.on('error', markReset)
      for (const watch of watchers) watch(socket)
      callback(null, socket)
    })
  }
}

function createPool (address: string, connections: number, watchers: Watchers): undici.Pool {
  return new undici.Pool(`http://${address}`, {
    connect: connectTo(address, watchers),
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS
  })
}

/** Closes the pools of addresses that are not in the set. */
function closeOthers (pools: Map<string, undici.Pool>, addresses: ReadonlySet<string>): void {
  for (const [address, pool] of pools) {
    if (addresses.has(address)) continue
    pools.delete(address)
    pool.close().catch(() => { /* The pool is already closed. */ })
  }
}

/**
 * Opens the clients of all targets. The caller must close them.
 *
 * @example
 * ```ts
 * const clients = openTargetClients({ connectionLimit: () => 8, countConnection: () => {} })
 * const exchange = clients.send({ address: '10.0.0.7:8080', method: 'GET', path: '/', headers: [], body: undefined }, listener)
 * ```
 */
export function openTargetClients (options: Options): TargetClients {
  const pools = new Map<string, undici.Pool>()
  const resetDetector = createResetDetector()
  const monitor = receivedBytes.openMonitor()

  function poolOf (address: string): undici.Pool {
    const existing = pools.get(address)
    if (existing !== undefined) return existing
    const pool = createPool(address, options.connectionLimit(address), [resetDetector.watch, monitor.watch])
    pool.on('connect', () => { options.countConnection(address) })
    pools.set(address, pool)
    return pool
  }

  function send (request: TargetRequest, listener: Listener): Exchange {
    let controller: undici.Dispatcher.DispatchController | undefined
    let received: receivedBytes.ReceivedBytes | undefined
    let isFinished = false

    function finish (): void {
      isFinished = true
      received?.end()
    }

    function fail (kind: FailureKind, message: string): void {
      if (isFinished) return
      finish()
      listener.failed(kind, message)
    }

    poolOf(request.address).dispatch({
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body ?? null
    }, {
      onRequestStart: (responseController) => {
        controller = responseController
        if (isFinished) {
          responseController.abort(new Error('The caller has left.'))
          return
        }
        received = monitor.begin((message) => {
          fail('broken', message)
          responseController.abort(new Error(message))
        })
        listener.sent()
      },
      onResponseStart: (responseController, status) => {
        if (isFinished || status < 200) return
        listener.head({ status, headers: toRawHeaders(responseController.rawHeaders) })
      },
      onResponseData: (_, chunk) => {
        received?.deliver(chunk.length)
        if (!isFinished) listener.data(chunk)
      },
      onResponseEnd: () => {
        if (isFinished) return
        finish()
        if (resetDetector.isReset()) listener.failed('broken', 'the connection was reset within the response')
        else listener.end()
      },
      onResponseError: (_, error) => {
        fail(controller === undefined ? 'unreachable' : 'broken', error.message)
      }
    })
    return {
      abort: () => {
        finish()
        controller?.abort(new Error('The gateway ended the exchange.'))
      },
      pause: () => { controller?.pause() },
      resume: () => { controller?.resume() }
    }
  }

  return {
    send,
    retain: (addresses) => { closeOthers(pools, addresses) },
    close: async () => {
      monitor.close()
      await Promise.all([...pools.values()].map((pool) => pool.destroy()))
    }
  }
}

function toRawHeaders (headers: unknown): rawHeaders.RawHeaders {
  if (!Array.isArray(headers)) return []
  return headers.map((header: Buffer | string) => typeof header === 'string' ? header : header.toString('latin1'))
}
