/**
 * One HTTP exchange with one daemon: nothing is repeated, redirected or pipelined here.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as undici from 'undici'

/** A request to one daemon. */
export interface Call {
  readonly address: protocol.Address
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | undefined
  readonly timeoutMs: number
}

/** The head of an answer, and its body yet unread. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: AsyncIterable<Uint8Array>
}

/** A call without an answer. `sent` is true if a byte of the request may have been written. */
export interface Breakage {
  readonly sent: boolean
  readonly detail: string
}

/** Performs calls. */
export type Exchange = (call: Call) => neverthrow.ResultAsync<Reply, Breakage>

/** Errors that come before a connection stands, so that nothing was written. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

const CONNECT_TIMEOUT_MS = 2_000

function toBreakage (error: unknown): Breakage {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  const message = error instanceof Error ? error.message : String(error)
  return { sent: !UNSENT_CODES.has(code), detail: code === '' ? message : `${code}: ${message}` }
}

function plainHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Readonly<Record<string, string>> {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, [value].flat().join(', ')]))
}

/**
 * Creates an exchange with a connection pool of its own.
 *
 * @example
 * ```ts
 * const { exchange, close } = createExchange()
 * const reply = await exchange({ address: '127.0.0.1:7400', method: 'GET', path: '/healthz', headers: {}, body: undefined, timeoutMs: 1_000 })
 * ```
 */
export function createExchange (): { readonly exchange: Exchange, readonly close: () => Promise<void> } {
  const agent = new undici.Agent({ pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })

  function exchange (call: Call): neverthrow.ResultAsync<Reply, Breakage> {
    const requested = undici.request(`http://${call.address}${call.path}`, {
      dispatcher: agent,
      method: call.method as undici.Dispatcher.HttpMethod,
      headers: call.headers,
      body: call.body ?? null,
      signal: AbortSignal.timeout(Math.max(1, Math.round(call.timeoutMs)))
    })
    return neverthrow.ResultAsync.fromPromise(requested, toBreakage).map(({ statusCode, headers, body }) => (
      { status: statusCode, headers: plainHeaders(headers), body }
    ))
  }

  return { exchange, close: () => agent.close() }
}
