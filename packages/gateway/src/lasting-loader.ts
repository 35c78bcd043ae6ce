/**
 * Loads what the fleet has stored, at the start of the process and whenever a stream is resumed that no daemon knows.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import * as lastingRecords from './lasting-records.js'
import type * as recordStore from './record-store.js'
import * as sharedReads from './shared-reads.js'

/** Dependencies of the loader. */
export interface Options {
  readonly records: recordStore.RecordStore
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean
  /** Steady time, ms. */
  readonly now: () => number
  /** Time of day, Unix ms. */
  readonly unixNow: () => number
  readonly history: routing.versionHistory.VersionHistory
  readonly streams: routing.streamVersions.StreamVersions
  readonly caps: routing.tokenCap.TokenCaps
  readonly log: Pick<eventLog.EventLog, 'change'>
}

/** Loads the stored state. */
export interface LastingLoader {
  /** Loads what is due; called several times a second. */
  readonly tick: () => void
  /** Calls `done` when the state has been loaded at least once, or after a short time without it. */
  readonly afterLoading: (done: () => void) => void
  /** Loads the streams that peers have stored, and calls `done` with whether that has succeeded within a short time. */
  readonly reload: (done: (isLoaded: boolean) => void) => void
}

/** Age from which stored levels are ignored, ms: buckets are full again. */
const LEVELS_MAX_AGE_MS = 60_000

/**
 * Creates the loader of a daemon that has just started and has loaded nothing yet.
 *
 * @example
 * ```ts
 * const loader = createLastingLoader(options)
 * loader.reload(() => { streams.find('r-1', nowMs) })
 * ```
 */
export function createLastingLoader (options: Options): LastingLoader {
  const { records, now, unixNow, history, streams, caps, log } = options
  const startMs = now()
  const reads = sharedReads.createSharedReads({ now, read: load, isNeeded: () => !history.isRestored() })

  function restoreCell (record: lastingRecords.CellRecord, isFirst: boolean): void {
    const nowMs = now()
    const ageMs = unixNow() - record.storedMs
    if (record.streams !== undefined) streams.restore(record.streams, nowMs)
    if (isFirst && record.levels !== undefined && ageMs < LEVELS_MAX_AGE_MS) caps.restore({ levels: record.levels, ageMs: ageMs - lastingRecords.LEVELS_INTERVAL_MS }, nowMs)
  }

  function restore (stored: recordStore.Records): void {
    const isFirst = !history.isRestored()
    let malformed = 0
    for (const [name, text] of stored) {
      if (name === lastingRecords.HISTORY_RECORD) continue
      const record = lastingRecords.parseCellRecord(text)
      if (record === undefined) malformed += 1
      else restoreCell(record, isFirst)
    }
    if (!isFirst) return
    const historyText = stored.get(lastingRecords.HISTORY_RECORD)
    const record = lastingRecords.parseHistoryRecord(historyText)
    history.restore(record, options.isFirstStart && historyText === undefined, unixNow())
    log.change('lasting state loaded', { records: stored.size, malformed, hasHistory: record !== undefined, afterMs: Math.round(now() - startMs) })
  }

  function load (done: (isRead: boolean) => void): void {
    records.load((loaded) => {
      if (loaded.isOk()) restore(loaded.value)
      else log.change('lasting state not loaded', { detail: loaded.error.message })
      done(loaded.isOk())
    })
  }

  return {
    tick: reads.tick,
    afterLoading: (done) => {
      if (history.isRestored() || now() - startMs > sharedReads.MAX_WAIT_MS) done()
      else reads.request(() => { done() })
    },
    reload: reads.request
  }
}
