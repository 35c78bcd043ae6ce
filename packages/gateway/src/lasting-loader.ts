/**
 * Loads what the fleet has stored, at the start of the process and whenever a stream is resumed that no daemon knows.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import * as lastingRecords from './lasting-records.js'
import type * as recordStore from './record-store.js'

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
  /** Loads the streams that peers have stored, and calls `done` afterwards or after a short time. */
  readonly reload: (done: () => void) => void
}

/** Age from which stored levels are ignored, ms: buckets are full again. */
const LEVELS_MAX_AGE_MS = 60_000

const LOADING_INTERVAL_MS = 300

/** Maximum time for which a resumed stream waits for the stored state, ms. */
const MAX_LOADING_MS = 800

interface Waiting {
  readonly done: () => void
  readonly sinceMs: number
}

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
  let waiting: readonly Waiting[] = []
  let isLoading = false
  let nextLoadMs = startMs

  /** Ends the waiting of those for whom the function returns true. */
  function release (isReleased: (each: Waiting) => boolean): void {
    const released = waiting.filter(isReleased)
    waiting = waiting.filter((each) => !released.includes(each))
    for (const { done } of released) done()
  }

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

  function load (): void {
    const begunMs = now()
    isLoading = true
    nextLoadMs = begunMs + LOADING_INTERVAL_MS
    records.load((loaded) => {
      isLoading = false
      if (loaded.isErr()) {
        log.change('lasting state not loaded', { detail: loaded.error.message })
        return
      }
      restore(loaded.value)
      release(({ sinceMs }) => sinceMs <= begunMs)
    })
  }

  function loadWhenDue (): void {
    const isNeeded = waiting.length > 0 || !history.isRestored()
    if (isNeeded && !isLoading && now() >= nextLoadMs) load()
  }

  function reload (done: () => void): void {
    waiting = [...waiting, { done, sinceMs: now() }]
    loadWhenDue()
  }

  function tick (): void {
    const nowMs = now()
    release(({ sinceMs }) => nowMs - sinceMs > MAX_LOADING_MS)
    loadWhenDue()
  }

  return {
    tick,
    afterLoading: (done) => {
      if (history.isRestored() || now() - startMs > MAX_LOADING_MS) done()
      else reload(done)
    },
    reload
  }
}
