/**
 * Requests that a target reported as running or queued and that the authority did not place. The estimate decays
 * as the report ages.
 *
 * @module
 */
import * as inFlightHistory from './in-flight-history.js'
import type * as event from './event.js'

/** Estimated number of external requests on one target. */
export interface ExternalLoad {
  /** Records that the number of requests the authority placed there changed. */
  readonly record: (nowMs: number, requests: number) => void
  /** Compares a report with the number of placed requests at the report's time. */
  readonly report: (report: event.LoadReport, nowMs: number) => void
  readonly requests: (nowMs: number) => number
}

const REPORT_HALF_LIFE_MS = 2_000

/**
 * Creates an estimate of 0.
 *
 * @example
 * ```ts
 * const load = createExternalLoad()
 * load.requests(nowMs) // 0
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
