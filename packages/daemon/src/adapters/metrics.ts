/**
 * Sends counters, timings and gauges as StatsD datagrams.
 *
 * @module
 */
import * as hotShots from 'hot-shots'
import type * as settings from '../settings/settings.js'
import * as splitAddress from '../util/split-address.js'

/** Records metrics of this daemon. */
export interface Metrics {
  readonly count: (counter: string, value: number) => void
  readonly timing: (name: string, milliseconds: number) => void
  readonly gauge: (name: string, value: number) => void
  readonly close: () => void
}

const BUFFER_FLUSH_MS = 1_000
const MAX_BUFFER_BYTES = 1_400

const NO_METRICS: Metrics = { count: () => {}, timing: () => {}, gauge: () => {}, close: () => {} }

/**
 * Opens the StatsD client of one daemon. Without settings, nothing is sent.
 *
 * @example
 * ```ts
 * const metrics = openMetrics({ address: '127.0.0.1:8125', prefix: 'persimmonhatch.' }, 'entry-1')
 * metrics.count('requests.arrived', 1)
 * ```
 */
export function openMetrics (options: settings.Settings['metrics'], name: string): Metrics {
  if (options === undefined) return NO_METRICS
  const endpoint = splitAddress.splitAddress(options.address)
  const client = new hotShots.StatsD({
    host: endpoint.host,
    port: endpoint.port,
    prefix: options.prefix,
    globalTags: { daemon: name },
    bufferFlushInterval: BUFFER_FLUSH_MS,
    maxBufferSize: MAX_BUFFER_BYTES,
    errorHandler: () => {}
  })
  return {
    count: (counter, value) => client.increment(counter, value),
    timing: (timing, milliseconds) => client.timing(timing, milliseconds),
    gauge: (gauge, value) => client.gauge(gauge, value),
    close: () => client.close(() => {})
  }
}
