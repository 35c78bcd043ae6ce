/**
 * Rows of what a daemon reports to its peers about the targets of a service.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'
import type * as targetRecord from './target-record.js'
import type * as workFactor from './work-factor.js'

type Records = ReadonlyMap<string, targetRecord.TargetRecord>

/** What peers need to place requests by the work ahead. */
export type WorkRows = Pick<poolEvent.PeerLoad, 'held' | 'prefixes' | 'speeds'>

/** Returns the entry of a target in a part of a peer's report. */
export function entryOf<Entry> (entries: Readonly<Record<string, Entry>> | undefined, id: string): Entry | undefined {
  return entries !== undefined && Object.hasOwn(entries, id) ? entries[id] : undefined
}

/** Returns a row for each target for which there is one. */
function rowsOf<Row> (records: Records, rowOf: (record: targetRecord.TargetRecord) => Row | undefined): Readonly<Record<string, Row>> {
  return Object.fromEntries([...records].flatMap(([id, record]) => {
    const row = rowOf(record)
    return row === undefined ? [] : [[id, row] as const]
  }))
}

/** Returns the work factors that targets have reported recently. */
export function factorRows (records: Records, nowMs: number): Readonly<Record<string, workFactor.ReportedFactor>> {
  return rowsOf(records, (record) => record.workFactor.report(nowMs))
}

/** Returns the memory that this daemon's requests hold, the prompts sent since the last report, and the measured speeds if asked for. */
export function workRows (records: Records, withSpeeds: boolean): WorkRows {
  const prefixes = rowsOf(records, (record) => {
    const segments = record.takeSegments()
    return segments.length === 0 ? undefined : segments
  })
  return {
    held: rowsOf(records, (record) => record.ownRequestIds.length === 0 ? undefined : record.ownHeldTokens()),
    ...Object.keys(prefixes).length > 0 ? { prefixes } : {},
    ...withSpeeds ? { speeds: rowsOf(records, (record) => record.speed.report()) } : {}
  }
}
