/**
 * Performs single HTTP exchanges with a daemon, without retries, redirects or pipelining.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as undici from 'undici'

/** HTTP request to one daemon. */
export interface HttpRequest {
  readonly address: protocol.Address
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | undefined
  readonly timeoutMs: number
}

/** Head of a response, and its unread body. */
export interface HttpResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: AsyncIterable<Uint8Array>
}

/** Failure of an exchange without a response. `sent` is true if a byte of the request may have been written. */
export interface ExchangeFailure {
  readonly sent: boolean
  readonly detail: string
}

/** Performs one exchange. */
export type Exchange = (request: HttpRequest) => neverthrow.ResultAsync<HttpResponse, ExchangeFailure>

/** Codes of errors that occur before a connection is established, so that nothing was written. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

const CONNECT_TIMEOUT_MS = 2_000

function toExchangeFailure (error: unknown): ExchangeFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  const message = error instanceof Error ? error.message : String(error)
  return { sent: !CONNECT_ERROR_CODES.has(code), detail: code === '' ? message : `${code}: ${message}` }
}

function joinHeaderValues (headers: Readonly<Record<string, string | string[] | undefined>>): Readonly<Record<string, string>> {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, [value].flat().join(', ')]))
}

/**
 * Creates an exchange with its own connection pool.
 *
 * @example
 * ```ts
 * const { exchange, close } = createExchange()
 * const response = await exchange({ address: '127.0.0.1:7400', method: 'GET', path: '/healthz', headers: {}, body: undefined, timeoutMs: 1_000 })
 * ```
 */
export function createExchange (): { readonly exchange: Exchange, readonly close: () => Promise<void> } {
  const agent = new undici.Agent({ pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })

  function exchange (request: HttpRequest): neverthrow.ResultAsync<HttpResponse, ExchangeFailure> {
    const pendingResponse = undici.request(`http://${request.address}${request.path}`, {
      dispatcher: agent,
      method: request.method as undici.Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body ?? null,
      signal: AbortSignal.timeout(Math.max(1, Math.round(request.timeoutMs)))
    })
    return neverthrow.ResultAsync.fromPromise(pendingResponse, toExchangeFailure).map(({ statusCode, headers, body }) => (
      { status: statusCode, headers: joinHeaderValues(headers), body }
    ))
  }

  return { exchange, close: () => agent.close() }
}
