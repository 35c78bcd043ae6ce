/**
 * Requests on a target that a load report showed and the authority did not place. The report ages, so
 * its surplus counts less and less.
 *
 * @module
 */
import * as inFlightHistory from './in-flight-history.js'
import type * as event from './event.js'

/** Unknown requests of one target. */
export interface ExternalLoad {
  /** The authority's own count changed. */
  readonly record: (nowMs: number, requests: number) => void
  /** Compares a report with the authority's own count at the report's time. */
  readonly report: (report: event.LoadReport, nowMs: number) => void
  readonly requests: (nowMs: number) => number
}

const REPORT_HALF_LIFE_MS = 2_000

/**
 * Starts with nothing unknown.
 *
 * @example
 * ```ts
 * const unknown = createUnknownLoad()
 * unknown.requests(nowMs) // 0
 * ```
 */
export function createExternalLoad (): ExternalLoad {
  const history = inFlightHistory.createInFlightHistory()
  let surplus = 0
  let sampledAtMs = 0
  return {
    record: history.record,
    report (report, nowMs) {
      sampledAtMs = nowMs - report.ageMs
      surplus = Math.max(0, report.runningRequests + report.queuedRequests - history.at(sampledAtMs))
    },
    requests: (nowMs) => surplus === 0 ? 0 : surplus * 2 ** (-Math.max(0, nowMs - sampledAtMs) / REPORT_HALF_LIFE_MS)
  }
}
