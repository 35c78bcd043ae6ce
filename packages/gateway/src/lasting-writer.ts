/**
 * Stores what the fleet must still know after it has lost all of its daemons at once: which software versions served,
 * which streams began while there were several, and what is left of the caps. One daemon of each cell writes.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import * as lastingRecords from './lasting-records.js'
import type * as metricsModule from './metrics.js'
import type * as recordStore from './record-store.js'

/** Dependencies of the writer. */
export interface Options {
  readonly records: recordStore.RecordStore
  /** Unique for each start of the process. */
  readonly incarnation: string
  /** Steady time, ms. */
  readonly now: () => number
  /** Time of day, Unix ms. */
  readonly unixNow: () => number
  readonly history: routing.versionHistory.VersionHistory
  readonly caps: routing.tokenCap.TokenCaps
  /** Whether this daemon writes for the fleet. */
  readonly writesForFleet: () => boolean
  /** Whether this daemon writes for its cell. */
  readonly writesForCell: () => boolean
  readonly log: Pick<eventLog.EventLog, 'change'>
  readonly metrics: metricsModule.Metrics
}

/** Stores the lasting state. */
export interface LastingWriter {
  /** Notes the beginning of a stream of the own cell. */
  readonly note: (beginning: routing.streamVersions.StreamBeginning) => void
  /** Writes what is due; called several times a second once the state is loaded. */
  readonly tick: () => void
}

/** Minimum interval of the records of streams, ms; a stream that began later is lost with the fleet. */
const STREAMS_INTERVAL_MS = 150

/** Interval of the records of caps while nothing uses them, ms. */
const UNCHANGED_LEVELS_INTERVAL_MS = 20_000

/** Interval at which the history is written again if it has changed meanwhile, ms. */
const HISTORY_INTERVAL_MS = 1_000

/** Time for which beginnings are kept in case several versions begin to serve, ms: streams end sooner. */
const NOTED_MS = 16_000

/** Maximum number of noted beginnings, and of beginnings in one record. */
const MAX_NOTED = 4_000
const MAX_STREAMS_PER_RECORD = 200

interface NotedBeginning {
  readonly sequence: number
  readonly beginning: routing.streamVersions.StreamBeginning
  readonly atMs: number
}

/** Beginnings of streams that may have to be stored, numbered in the order in which they were noted. */
interface RecentBeginnings {
  readonly add: (beginning: routing.streamVersions.StreamBeginning, nowMs: number) => void
  readonly from: (sequence: number) => readonly NotedBeginning[]
  readonly forget: (nowMs: number) => void
}

function createRecentBeginnings (): RecentBeginnings {
  let noted: readonly NotedBeginning[] = []
  let nextSequence = 0
  return {
    add: (beginning, nowMs) => {
      noted = [...noted, { sequence: nextSequence, beginning, atMs: nowMs }]
      nextSequence += 1
    },
    from: (first) => noted.filter(({ sequence }) => sequence >= first),
    forget: (nowMs) => {
      if (noted[0] === undefined || (nowMs - noted[0].atMs < NOTED_MS && noted.length <= MAX_NOTED)) return
      noted = noted.slice(-MAX_NOTED).filter(({ atMs }) => nowMs - atMs < NOTED_MS)
    }
  }
}

/**
 * Creates the writer of a daemon that has written nothing yet.
 *
 * @example
 * ```ts
 * const writer = createLastingWriter(options)
 * writer.note({ requestId: 'r-1', service: 'support', version: 'v1.2' })
 * ```
 */
export function createLastingWriter (options: Options): LastingWriter {
  const { records, incarnation, now, unixNow, history, caps, log, metrics } = options
  const recent = createRecentBeginnings()
  /** Sequence number of the next beginning to write, and the record that takes it. */
  let nextWritten = 0
  let openRecord: readonly routing.streamVersions.StreamBeginning[] = []
  let recordNumber = 0
  let hadSeveral = false
  let isWriting = false
  let lastStreamsMs = -Infinity
  let lastLevelsMs = -Infinity
  let lastHistoryMs = -Infinity
  let storedHistory = ''
  let storedLevels = '{}'
  let storedLevelsMs = -Infinity

  /** Returns the function to call at the end of a write, which in turn calls `onWritten` if it has succeeded. */
  function beginWrite (kind: string, onWritten: () => void): recordStore.Done<void> {
    isWriting = true
    return (written) => {
      isWriting = false
      metrics.count('lasting_records_total', { kind, result: written.isOk() ? 'written' : 'failed' })
      if (written.isOk()) onWritten()
      else log.change('lasting state not written', { kind, detail: written.error.message })
    }
  }

  function writeHistory (nowMs: number): boolean {
    if (nowMs - lastHistoryMs < HISTORY_INTERVAL_MS || !options.writesForFleet()) return false
    lastHistoryMs = nowMs
    const own = JSON.stringify(history.merge(undefined, unixNow()).services)
    if (own === storedHistory) return false
    const next = (current: string | undefined): string => JSON.stringify(history.merge(lastingRecords.parseHistoryRecord(current), unixNow()))
    records.replace(lastingRecords.HISTORY_RECORD, next, beginWrite('history', () => { storedHistory = own }))
    return true
  }

  function writeStreams (nowMs: number): boolean {
    if (nowMs - lastStreamsMs < STREAMS_INTERVAL_MS) return false
    const unwritten = recent.from(nextWritten)
    if (unwritten.length === 0 || !options.writesForCell()) return false
    lastStreamsMs = nowMs
    if (openRecord.length >= MAX_STREAMS_PER_RECORD) {
      openRecord = []
      recordNumber += 1
    }
    const added = unwritten.slice(0, MAX_STREAMS_PER_RECORD - openRecord.length)
    const next = [...openRecord, ...added.map(({ beginning }) => beginning)]
    const record: lastingRecords.CellRecord = { format: lastingRecords.RECORD_FORMAT, storedMs: unixNow(), streams: routing.streamVersions.toStreamReport(next) }
    records.keep(lastingRecords.streamsRecord(incarnation, recordNumber), JSON.stringify(record), beginWrite('streams', () => {
      openRecord = next
      nextWritten = 1 + (added.at(-1)?.sequence ?? 0)
    }))
    return true
  }

  function writeLevels (nowMs: number): void {
    if (nowMs - lastLevelsMs < lastingRecords.LEVELS_INTERVAL_MS || !options.writesForCell()) return
    lastLevelsMs = nowMs
    const levels = caps.levels(nowMs)
    const serialized = JSON.stringify(levels)
    if (serialized === storedLevels && nowMs - storedLevelsMs < UNCHANGED_LEVELS_INTERVAL_MS) return
    const record: lastingRecords.CellRecord = { format: lastingRecords.RECORD_FORMAT, storedMs: unixNow(), levels }
    records.keep(lastingRecords.levelsRecord(incarnation), JSON.stringify(record), beginWrite('levels', () => {
      storedLevels = serialized
      storedLevelsMs = nowMs
    }))
  }

  function tick (): void {
    const nowMs = now()
    recent.forget(nowMs)
    const hasSeveral = history.hasSeveral(unixNow())
    // Streams that began before the second version are not stored yet.
    if (hasSeveral && !hadSeveral) nextWritten = 0
    hadSeveral = hasSeveral
    if (isWriting || writeHistory(nowMs)) return
    if (hasSeveral && writeStreams(nowMs)) return
    writeLevels(nowMs)
  }

  return { note: (beginning) => { recent.add(beginning, now()) }, tick }
}
