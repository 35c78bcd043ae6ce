/**
 * Sends one request to one target, once, and records the response.
 *
 * @module
 */
import * as net from 'node:net'
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as backing from '@persimmonhatch/backing-services'
import * as undici from 'undici'
import type * as responseRecord from './response-record.js'
import * as splitAddress from '../util/split-address.js'
import * as responseStream from './response-stream.js'

/** Request headers that are not forwarded to a target: hop-by-hop headers, and those that the HTTP client sets or handles itself. */
const DROPPED_REQUEST_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect'])

/** Response headers that belong to one connection and are not forwarded to the caller. */
const HOP_BY_HOP_RESPONSE_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Maximum time from the use of a grant to the first byte sent, milliseconds; after it nothing is sent. */
export const DISPATCH_VALIDITY_MS = 1_000

/** Timeout for checking whether a target accepts connections after one was lost, milliseconds. */
const REACHABILITY_TIMEOUT_MS = 500

/** The connection became ready so late that the grant may be stale. */
export class StaleDispatch extends Error {
  readonly code = 'STALE_DISPATCH'

  constructor (delayMs: number) {
    super(`The connection became ready ${Math.round(delayMs)} ms after the dispatch was decided: request a slot again.`)
    this.name = 'StaleDispatch'
  }
}

/** A request as it is sent to a target. */
export interface TargetRequest {
  readonly method: string
  /** Path and query at the target. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  readonly body: Uint8Array
  readonly promptTokens: number
}

/** Dependencies and input of a dispatch. */
export interface Options {
  readonly httpClient: undici.Dispatcher
  readonly clock: protocol.Clock
  readonly placement: entry.event.Placement
  readonly receipt: entry.event.Receipt
  readonly targetRequest: TargetRequest
  readonly record: responseRecord.ResponseRecord
  readonly signal: AbortSignal
}

function requestHeaders (targetRequest: TargetRequest): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(targetRequest.headers)) {
    if (value === undefined || DROPPED_REQUEST_HEADERS.has(name)) continue
    headers[name] = typeof value === 'string' ? value : [...value]
  }
  return headers
}

function * responseHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Generator<responseRecord.Header> {
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_RESPONSE_HEADERS.has(name)) continue
    for (const singleValue of [value].flat()) yield { name, value: singleValue }
  }
}

function errorCode (error: unknown): string {
  const code = (error as { readonly code?: unknown } | undefined)?.code
  return typeof code === 'string' ? code : String((error as Error | undefined)?.message ?? error)
}

/** Returns whether a target accepts connections. */
function isReachable (address: protocol.Address): Promise<boolean> {
  const { host, port } = splitAddress.splitAddress(address)
  return new Promise((resolve) => {
    const socket = net.connect({ host, port, timeout: REACHABILITY_TIMEOUT_MS })
    function settle (isUp: boolean): void {
      socket.destroy()
      resolve(isUp)
    }
    socket.once('connect', () => settle(true))
    socket.once('error', () => settle(false))
    socket.once('timeout', () => settle(false))
  })
}

/** Checks after a lost connection whether the target is still up: only if not, the request is suspected of the crash. */
async function checkIfTargetUp (end: entry.event.DispatchEnd, address: protocol.Address): Promise<entry.event.DispatchEnd> {
  return end.outcome === 'crashed' ? { ...end, isTargetUp: await isReachable(address) } : end
}

/**
 * Dispatches once. The outcome is `unreachable` only when no byte can have been written.
 *
 * @example
 * ```ts
 * const end = await dispatch({ httpClient, clock, placement, receipt, targetRequest, record, signal })
 * if (end.outcome === 'unreachable') requestSlotAgain()
 * ```
 */
export async function dispatch (options: Options): Promise<entry.event.DispatchEnd> {
  return await checkIfTargetUp(await dispatchOnce(options), options.placement.address)
}

async function dispatchOnce (options: Options): Promise<entry.event.DispatchEnd> {
  const startMs = options.clock()
  const meter = responseStream.createDispatchMeter(options.clock, startMs, options.targetRequest.promptTokens)
  let sent = false
  // Since the grant was checked, the process may have been suspended or connecting may have taken long.
  const client = backing.httpClient.withDispatchHook(options.httpClient, () => {
    const elapsedMs = options.clock() - startMs
    if (elapsedMs > DISPATCH_VALIDITY_MS) throw new StaleDispatch(elapsedMs)
    sent = true
  })
  try {
    const response = await undici.request(`http://${options.placement.address}${options.targetRequest.path}`, {
      dispatcher: client,
      method: options.targetRequest.method as undici.Dispatcher.HttpMethod,
      headers: requestHeaders(options.targetRequest),
      body: options.targetRequest.body.length === 0 ? null : options.targetRequest.body,
      signal: options.signal
    })
    const contentType = String(response.headers['content-type'] ?? '')
    const isEventStream = options.placement.targetKind === 'model' && contentType.startsWith('text/event-stream')
    const head: responseRecord.ResponseHead = {
      status: response.statusCode,
      headers: [...responseHeaders(response.headers)],
      receipt: options.receipt,
      isEventStream
    }
    const outcome = isEventStream
      ? await responseStream.forwardEventStream({ ...options, head, meter, body: response.body })
      : await responseStream.forwardResponse({ ...options, head, meter, body: response.body })
    if (options.signal.aborted && outcome !== 'finished') return meter.end('cancelled', 'cancelled')
    return meter.end(response.statusCode >= 500 ? 'failed' : outcome, `status ${response.statusCode}`)
  } catch (error) {
    const code = errorCode(error)
    if (options.signal.aborted && sent) return meter.end('cancelled', 'cancelled')
    return meter.end(sent ? 'crashed' : 'unreachable', code)
  }
}
