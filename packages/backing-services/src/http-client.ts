/**
 * HTTP client of all adapters. It sends each request at most once: it neither retries nor follows
 * redirects, and has one request in flight per connection.
 *
 * With one request in flight per connection, a lost connection fails that request and undici retries
 * nothing. With several, undici retries the idempotent requests queued behind the failed one, so the
 * number is not configurable.
 *
 * @module
 */
import * as net from 'node:net'
import * as undici from 'undici'
import * as connection from './connection.js'

const DEFAULT_HTTP_PORT = 80
const DEFAULT_KEEP_ALIVE_MS = 4_000
/** Idle time after which the kernel probes a connection, as undici's own connector sets it. */
const KEEP_ALIVE_PROBE_MS = 60_000

const REQUESTS_IN_FLIGHT_PER_CONNECTION = 1

/** Options of the client. Times are milliseconds; 0 disables a timeout. */
export interface Options {
  readonly connectTimeoutMs: number
  /** Maximum wait for the response headers. */
  readonly headersTimeoutMs: number
  /** Maximum idle time within the response body. */
  readonly bodyTimeoutMs: number
  /** Time for which an idle connection is kept open. */
  readonly keepAliveMs?: number
  /** Maximum number of connections to one address. Unlimited by default. */
  readonly connections?: number
}

/** Returns a function that connects; a reset of an unencrypted connection is an error and not the end of a response. */
function connectWithin (timeoutMs: number): undici.buildConnector.connector {
  const connectEncrypted = undici.buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    if (options.protocol === 'https:') {
      connectEncrypted(options, callback)
      return
    }
    const socket = net.connect({ host: options.hostname.replace(/^\[|\]$/g, ''), port: Number(options.port) || DEFAULT_HTTP_PORT, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS })
    const timer = timeoutMs > 0 ? setTimeout(() => { socket.destroy(new undici.errors.ConnectTimeoutError(`no connection to ${options.host ?? options.hostname} within ${timeoutMs} ms`)) }, timeoutMs) : undefined
    const fail = (error: Error): void => {
      clearTimeout(timer)
      callback(error, null)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', fail)
      callback(null, connection.asSocket(new connection.Connection(socket, connection.DIRECT)))
    })
  }
}

/**
 * Creates the client. The caller must close it.
 *
 * @example
 * ```ts
 * const client = createHttpClient({ connectTimeoutMs: 500, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
 * const response = await undici.request('http://10.0.0.7:8000/load', { dispatcher: client })
 * ```
 */
export function createHttpClient (options: Options): undici.Agent {
  return new undici.Agent({
    pipelining: REQUESTS_IN_FLIGHT_PER_CONNECTION,
    connections: options.connections ?? null,
    connect: connectWithin(options.connectTimeoutMs),
    headersTimeout: options.headersTimeoutMs,
    bodyTimeout: options.bodyTimeoutMs,
    keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS
  })
}

/**
 * Wraps a client so that it calls `onDispatch` before the first byte of each request may be written.
 * A request that fails without that call has certainly not been sent. If `onDispatch` throws, nothing
 * is sent and the request fails with that error.
 *
 * @example
 * ```ts
 * let dispatched = false
 * const dispatcher = withDispatchHook(client, () => { dispatched = true })
 * await undici.request(url, { dispatcher, method: 'POST', body })
 * ```
 */
export function withDispatchHook (client: undici.Dispatcher, onDispatch: () => void): undici.Dispatcher {
  return client.compose((dispatch) => (request, handler) => dispatch(request, {
    onRequestStart: (controller, context) => {
      onDispatch()
      handler.onRequestStart?.(controller, context)
    },
    onRequestUpgrade: (...rest) => handler.onRequestUpgrade?.(...rest),
    onResponseStart: (...rest) => handler.onResponseStart?.(...rest),
    onResponseData: (...rest) => handler.onResponseData?.(...rest),
    onResponseEnd: (...rest) => handler.onResponseEnd?.(...rest),
    onResponseError: (...rest) => handler.onResponseError?.(...rest)
  }))
}
