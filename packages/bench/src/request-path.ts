/**
 * Measures throughput and latency of requests through a daemon and directly to a target.
 *
 * @module
 */
import * as hdr from 'hdr-histogram-js'
import * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import * as benchSystem from './processes/bench-system.js'
import * as workload from './workload.js'

const MICROS_PER_MS = 1_000
const MS_PER_S = 1_000
const STREAMED_EVENTS = 16

/** One kind of request, sent the same way to the target and through a daemon. */
export interface Kind {
  readonly name: string
  readonly service: string
  readonly path: string
  readonly body: string
}

/** Destination of requests. */
export interface Route {
  readonly name: string
  readonly origin: string
  readonly prefix: (kind: Kind) => string
}

/** Latencies of one run, in milliseconds. */
export interface Latencies {
  readonly median: number
  readonly p99: number
  readonly count: number
}

/** Kinds of request that are measured. */
export const KINDS: readonly Kind[] = [
  { name: 'plain', service: benchSystem.PLAIN_SERVICE, path: '/check', body: JSON.stringify({ item: 'A7' }) },
  { name: 'whole completion', service: benchSystem.MODEL_SERVICE, path: '/v1/completions', body: JSON.stringify({ prompt: 'Tag this laptop. '.repeat(120), max_tokens: 16 }) },
  { name: 'streamed completion', service: benchSystem.MODEL_SERVICE, path: '/v1/completions', body: JSON.stringify({ prompt: 'Tag this laptop. '.repeat(120), max_tokens: 16, stream: true, events: STREAMED_EVENTS, intervalMs: 0 }) }
]

/**
 * Returns a route directly to a target.
 *
 * @example
 * ```ts
 * directRoute('127.0.0.1:8000').prefix(KINDS[0]) // ''
 * ```
 */
export function directRoute (address: string): Route {
  return { name: 'direct', origin: `http://${address}`, prefix: () => '' }
}

/**
 * Returns a route through a daemon.
 *
 * @example
 * ```ts
 * daemonRoute('placed by another daemon', '127.0.0.1:7400')
 * ```
 */
export function daemonRoute (name: string, address: string): Route {
  return { name, origin: `http://${address}`, prefix: (kind) => `/s/${kind.service}` }
}

/**
 * Sends one request and reads the complete response.
 *
 * @example
 * ```ts
 * await send(pool, route, kind)
 * ```
 */
export async function send (client: undici.Dispatcher, route: Route, kind: Kind): Promise<void> {
  const response = await undici.request(`${route.origin}${route.prefix(kind)}${kind.path}`, {
    dispatcher: client,
    method: 'POST',
    headers: { 'content-type': 'application/json', [protocol.HEADERS.organisation]: benchSystem.ORGANISATION },
    body: kind.body
  })
  const text = await response.body.text()
  if (response.statusCode !== 200) throw new Error(`${route.name}, ${kind.name}: response status ${response.statusCode}: ${text}`)
}

/**
 * Measures the throughput of a route, in requests per second, with a fixed number of callers that each send one
 * request at a time.
 *
 * @example
 * ```ts
 * const perSecond = await runClosedLoop(client, route, kind, 32, 2_000)
 * ```
 */
export async function runClosedLoop (client: undici.Dispatcher, route: Route, kind: Kind, callers: number, durationMs: number): Promise<number> {
  const endMs = performance.now() + durationMs
  let count = 0

  async function sendRepeatedly (): Promise<void> {
    while (performance.now() < endMs) {
      await send(client, route, kind)
      count += 1
    }
  }

  await Promise.all(Array.from({ length: callers }, sendRepeatedly))
  return count / durationMs * MS_PER_S
}

function summariseLatencies (histogram: hdr.Histogram): Latencies {
  return { median: histogram.getValueAtPercentile(50) / MICROS_PER_MS, p99: histogram.getValueAtPercentile(99) / MICROS_PER_MS, count: histogram.totalCount }
}

/**
 * Measures latencies of requests sent as a Poisson process with a mean rate, counted from the time of sending.
 *
 * @example
 * ```ts
 * const { median } = await runOpenLoop(client, route, kind, 500, 3_000)
 * ```
 */
export async function runOpenLoop (client: undici.Dispatcher, route: Route, kind: Kind, ratePerS: number, durationMs: number): Promise<Latencies> {
  const random = workload.seededRandom(23)
  const histogram = hdr.build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  const pending: Promise<void>[] = []

  async function sendAndRecord (sentAtMs: number): Promise<void> {
    await send(client, route, kind)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAtMs) * MICROS_PER_MS)))
  }

  for (let dueMs = startMs; dueMs < startMs + durationMs; dueMs += -Math.log(1 - random()) * MS_PER_S / ratePerS) {
    while (performance.now() < dueMs) await new Promise((resolve) => { setImmediate(resolve) })
    pending.push(sendAndRecord(performance.now()))
  }
  await Promise.all(pending)
  return summariseLatencies(histogram)
}
