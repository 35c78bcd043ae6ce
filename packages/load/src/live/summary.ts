/**
 * Counts and latencies of driven calls, by kind of request.
 *
 * @module
 */
import * as hdr from 'hdr-histogram-js'
import * as reportTable from '../replay/report-table.js'
import type * as drive from './drive.js'

const MAX_TRACKED_MS = 3_600_000
const PERCENTILES = [50, 95, 99]

function percentiles (values: readonly (number | undefined)[]): string {
  const histogram = hdr.build({ highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
  for (const value of values) if (value !== undefined) histogram.recordValue(Math.max(0, Math.round(value)))
  return histogram.totalCount === 0 ? '-' : PERCENTILES.map((percentile) => histogram.getValueAtPercentile(percentile)).join('/')
}

function sinceIntended ({ intendedAtMs }: drive.Call, atMs: number | undefined): number | undefined {
  return atMs === undefined ? undefined : atMs - intendedAtMs
}

/** Why calls were not answered, most frequent first. */
function reasonsOf (calls: readonly drive.Call[]): string {
  const counts = new Map<string, number>()
  for (const { ending } of calls) if (ending.outcome !== 'answered') counts.set(ending.reason, (counts.get(ending.reason) ?? 0) + 1)
  const sorted = [...counts].sort(([, left], [, right]) => right - left)
  return sorted.map(([reason, count]) => `${reason} ${count}`).join(', ') || '-'
}

function lineOf (set: string, kind: string, calls: readonly drive.Call[]): readonly string[] {
  const count = (outcome: drive.Ending['outcome']): string => String(calls.filter(({ ending }) => ending.outcome === outcome).length)
  const answered = calls.filter(({ ending }) => ending.outcome === 'answered')
  return [
    set, kind, String(calls.length), count('answered'), count('refused'), count('broken'), count('unanswered'),
    percentiles(answered.map((call) => sinceIntended(call, call.ending.firstByteAtMs))),
    percentiles(answered.map((call) => sinceIntended(call, call.ending.endedAtMs))),
    reasonsOf(calls)
  ]
}

/**
 * A table of the calls to each set of daemons.
 *
 * @example
 * ```ts
 * formatSummary(new Map([['now', calls]]))
 * ```
 */
export function formatSummary (sets: ReadonlyMap<string, readonly drive.Call[]>): string {
  const head = ['daemons', 'kind', 'sent', 'answered', 'refused', 'broken', 'unanswered', 'first byte p50/p95/p99 ms', 'whole p50/p95/p99 ms', 'reasons']
  const lines = [...sets].flatMap(([set, calls]) => {
    const kinds = [...new Set(calls.map(({ request }) => request.kind.name))].sort()
    return kinds.map((kind) => lineOf(set, kind, calls.filter(({ request }) => request.kind.name === kind)))
  })
  return reportTable.formatTable([head, ...lines])
}
