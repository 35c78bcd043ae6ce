/**
 * Queries daemons over HTTP.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as undici from 'undici'
import * as failure from '../failure.js'
import type * as ports from '../ports.js'

async function fetchJson (client: undici.Dispatcher, url: string, timeoutMs: number): Promise<ports.DaemonResponse> {
  const response = await undici.request(url, { dispatcher: client, signal: AbortSignal.timeout(timeoutMs) })
  const text = await response.body.text()
  const body = neverthrow.fromThrowable(() => JSON.parse(text) as unknown)().unwrapOr(undefined)
  return { status: response.statusCode, body }
}

/**
 * Creates a function that sends a GET request once, without retries.
 *
 * @example
 * ```ts
 * const queryDaemon = createDaemonClient(client, 2_000)
 * const response = await queryDaemon('10.0.0.7:7400', '/v1/status')
 * ```
 */
export function createDaemonClient (client: undici.Dispatcher, timeoutMs: number): ports.Ports['queryDaemon'] {
  return (address: protocol.Address, path: string) => neverthrow.ResultAsync.fromPromise(
    fetchJson(client, `http://${address}${path}`, timeoutMs),
    (error) => new failure.Failure('daemonUnreachable', 'daemon-unreachable', { address, detail: (error as Error).message })
  )
}
