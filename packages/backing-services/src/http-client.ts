/**
 * The HTTP client that every adapter shares. It sends each request at most once: no retry, no
 * redirect, one request in flight per connection.
 *
 * With one request in flight per connection, a lost connection fails that request and undici sends
 * nothing again. With several, it sends the idempotent ones behind a lost one again, so the number
 * is not a setting.
 *
 * @module
 */
import * as undici from 'undici'

const DEFAULT_KEEP_ALIVE_MS = 4_000
const REQUESTS_IN_FLIGHT_PER_CONNECTION = 1

/** Settings of a client. Times are milliseconds; 0 turns a time limit off. */
export interface Options {
  readonly connectTimeoutMs: number
  /** Longest wait for the answer's headers. */
  readonly headersTimeoutMs: number
  /** Longest silence within an answer's body. */
  readonly bodyTimeoutMs: number
  /** Time for which an idle connection is kept. */
  readonly keepAliveMs?: number
  /** Most connections to one address; unlimited when left out. */
  readonly connections?: number
}

/**
 * Creates the client. The caller closes it.
 *
 * @example
 * ```ts
 * const client = httpClient({ connectTimeoutMs: 500, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
 * const answer = await undici.request('http://10.0.0.7:8000/load', { dispatcher: client })
 * ```
 */
export function httpClient (options: Options): undici.Agent {
  return new undici.Agent({
    pipelining: REQUESTS_IN_FLIGHT_PER_CONNECTION,
    connections: options.connections ?? null,
    connect: { timeout: options.connectTimeoutMs },
    headersTimeout: options.headersTimeoutMs,
    bodyTimeout: options.bodyTimeoutMs,
    keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS
  })
}

/**
 * Wraps a client so that `onDispatch` runs just before the first byte of each request may be
 * written. A request that fails without it has certainly not been sent. When `onDispatch` throws,
 * nothing is sent and the request fails with that error.
 *
 * @example
 * ```ts
 * let dispatched = false
 * const dispatcher = withDispatchNotice(client, () => { dispatched = true })
 * await undici.request(url, { dispatcher, method: 'POST', body })
 * ```
 */
export function withDispatchNotice (client: undici.Dispatcher, onDispatch: () => void): undici.Dispatcher {
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
