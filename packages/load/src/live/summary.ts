/**
 * Summarises calls as counts and latencies by kind of request.
 *
 * @module
 */
import * as hdr from 'hdr-histogram-js'
import * as reportTable from '../replay/report-table.js'
import type * as drive from './drive.js'

const MAX_TRACKED_MS = 3_600_000
const PERCENTILES = [50, 95, 99]

function formatPercentiles (values: readonly (number | undefined)[]): string {
  const histogram = hdr.build({ highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
  for (const value of values) if (value !== undefined) histogram.recordValue(Math.max(0, Math.round(value)))
  return histogram.totalCount === 0 ? '-' : PERCENTILES.map((percentile) => histogram.getValueAtPercentile(percentile)).join('/')
}

function latencyMs ({ intendedAtMs }: drive.Call, atMs: number | undefined): number | undefined {
  return atMs === undefined ? undefined : atMs - intendedAtMs
}

/** Formats the reasons for unsuccessful calls, most frequent first. */
function formatReasons (calls: readonly drive.Call[]): string {
  const counts = new Map<string, number>()
  for (const { result } of calls) if (result.outcome !== 'answered') counts.set(result.reason, (counts.get(result.reason) ?? 0) + 1)
  const sorted = [...counts].sort(([, left], [, right]) => right - left)
  return sorted.map(([reason, count]) => `${reason} ${count}`).join(', ') || '-'
}

function formatLine (daemonSet: string, kind: string, calls: readonly drive.Call[]): readonly string[] {
  const count = (outcome: drive.CallResult['outcome']): string => String(calls.filter(({ result }) => result.outcome === outcome).length)
  const answered = calls.filter(({ result }) => result.outcome === 'answered')
  return [
    daemonSet, kind, String(calls.length), count('answered'), count('refused'), count('broken'), count('unanswered'),
    formatPercentiles(answered.map((call) => latencyMs(call, call.result.firstByteAtMs))),
    formatPercentiles(answered.map((call) => latencyMs(call, call.result.endedAtMs))),
    formatReasons(calls)
  ]
}

/**
 * Formats a table of the calls to each set of daemons.
 *
 * @example
 * ```ts
 * formatSummary(new Map([['now', calls]]))
 * ```
 */
export function formatSummary (daemonSets: ReadonlyMap<string, readonly drive.Call[]>): string {
  const header = ['daemons', 'kind', 'sent', 'answered', 'refused', 'broken', 'unanswered', 'first byte p50/p95/p99 ms', 'whole p50/p95/p99 ms', 'reasons']
  const lines = [...daemonSets].flatMap(([daemonSet, calls]) => {
    const kinds = [...new Set(calls.map(({ request }) => request.kind.name))].sort()
    return kinds.map((kind) => formatLine(daemonSet, kind, calls.filter(({ request }) => request.kind.name === kind)))
  })
  return reportTable.formatTable([header, ...lines])
}
