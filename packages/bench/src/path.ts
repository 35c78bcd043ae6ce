/**
 * What the path through a daemon adds to a request, against calling the target directly.
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

/** Where requests go. */
export interface Route {
  readonly name: string
  readonly origin: string
  readonly prefix: (kind: Kind) => string
}

/** Latencies of one run, milliseconds. */
export interface Latencies {
  readonly median: number
  readonly p99: number
  readonly count: number
}

/** The kinds that are measured. */
export const KINDS: readonly Kind[] = [
  { name: 'plain', service: benchSystem.PLAIN_SERVICE, path: '/check', body: JSON.stringify({ item: 'A7' }) },
  { name: 'whole completion', service: benchSystem.MODEL_SERVICE, path: '/v1/completions', body: JSON.stringify({ prompt: 'Tag this laptop. '.repeat(120), max_tokens: 16 }) },
  { name: 'streamed completion', service: benchSystem.MODEL_SERVICE, path: '/v1/completions', body: JSON.stringify({ prompt: 'Tag this laptop. '.repeat(120), max_tokens: 16, stream: true, events: STREAMED_EVENTS, intervalMs: 0 }) }
]

/**
 * Straight to a target.
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
 * Through a daemon.
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
 * Sends one request and reads its whole answer.
 *
 * @example
 * ```ts
 * await send(pool, route, kind)
 * ```
 */
export async function send (client: undici.Dispatcher, route: Route, kind: Kind): Promise<void> {
  const answer = await undici.request(`${route.origin}${route.prefix(kind)}${kind.path}`, {
    dispatcher: client,
    method: 'POST',
    headers: { 'content-type': 'application/json', [protocol.HEADERS.organisation]: benchSystem.ORGANISATION },
    body: kind.body
  })
  const text = await answer.body.text()
  if (answer.statusCode !== 200) throw new Error(`${route.name}, ${kind.name}: answered with ${answer.statusCode}: ${text}`)
}

/**
 * Requests per second that a route carries with a fixed number of callers, each sending one after the other.
 *
 * @example
 * ```ts
 * const perSecond = await closedLoop(client, route, kind, 32, 2_000)
 * ```
 */
export async function closedLoop (client: undici.Dispatcher, route: Route, kind: Kind, callers: number, durationMs: number): Promise<number> {
  const endMs = performance.now() + durationMs
  let count = 0

  async function call (): Promise<void> {
    while (performance.now() < endMs) {
      await send(client, route, kind)
      count += 1
    }
  }

  await Promise.all(Array.from({ length: callers }, call))
  return count / durationMs * MS_PER_S
}

function readLatencies (histogram: hdr.Histogram): Latencies {
  return { median: histogram.getValueAtPercentile(50) / MICROS_PER_MS, p99: histogram.getValueAtPercentile(99) / MICROS_PER_MS, count: histogram.totalCount }
}

/**
 * Latencies of requests that arrive at random times at a mean rate, counted from when each was due.
 *
 * @example
 * ```ts
 * const { median } = await openLoop(client, route, kind, 500, 3_000)
 * ```
 */
export async function openLoop (client: undici.Dispatcher, route: Route, kind: Kind, perSecond: number, durationMs: number): Promise<Latencies> {
  const random = workload.createRandom(23)
  const histogram = hdr.build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  const running: Promise<void>[] = []

  async function one (dueMs: number): Promise<void> {
    await send(client, route, kind)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * MICROS_PER_MS)))
  }

  for (let dueMs = startMs; dueMs < startMs + durationMs; dueMs += -Math.log(1 - random()) * MS_PER_S / perSecond) {
    while (performance.now() < dueMs) await new Promise((resolve) => { setImmediate(resolve) })
    running.push(one(performance.now()))
  }
  await Promise.all(running)
  return readLatencies(histogram)
}
