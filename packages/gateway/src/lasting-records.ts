/**
 * Names and contents of the records that outlive all daemons.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'

/** What one daemon stores for its cell. */
export interface CellRecord {
  /** Format of the record; fields that are not known are ignored. */
  readonly format: number
  readonly storedMs: number
  readonly streams?: routing.streamVersions.StreamReport
  readonly levels?: Readonly<Record<string, number>>
}

/** Format of the records that this build writes. */
export const RECORD_FORMAT = 1

/** Record of the versions in service, which all daemons share. */
export const HISTORY_RECORD = 'versions'

/** Interval of the records of caps, ms. */
export const LEVELS_INTERVAL_MS = 2_000

/**
 * Returns the name of a record of streams.
 *
 * @example
 * ```ts
 * streamsRecord('9f2c', 0) // 'streams/9f2c/0'
 * ```
 */
export function streamsRecord (incarnation: string, number: number): string {
  return `streams/${incarnation}/${number}`
}

/**
 * Returns the name of the record of a daemon's view of the caps.
 *
 * @example
 * ```ts
 * levelsRecord('9f2c') // 'levels/9f2c'
 * ```
 */
export function levelsRecord (incarnation: string): string {
  return `levels/${incarnation}`
}

function parse (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return undefined
  }
}

function isNumberRecord (value: unknown): value is Readonly<Record<string, number>> {
  return typeof value === 'object' && value !== null && Object.values(value).every(Number.isFinite)
}

function isStreamReport (value: unknown): value is routing.streamVersions.StreamReport {
  if (typeof value !== 'object' || value === null) return false
  return Object.values(value).every((versions: unknown) => typeof versions === 'object' && versions !== null &&
    Object.values(versions).every((ids: unknown) => Array.isArray(ids) && ids.every((id) => typeof id === 'string')))
}

/**
 * Returns what a daemon has stored for its cell; undefined if it is malformed.
 *
 * @example
 * ```ts
 * parseCellRecord('{"storedMs":1764841234567,"streams":{"support":{"v1":["r-1"]}}}')
 * ```
 */
export function parseCellRecord (text: string): CellRecord | undefined {
  const value = parse(text)
  if (typeof value !== 'object' || value === null) return undefined
  const { storedMs, streams = {}, levels = {} } = value as Partial<CellRecord>
  const isComplete = Number.isFinite(storedMs) && isStreamReport(streams) && isNumberRecord(levels)
  return isComplete ? value as CellRecord : undefined
}

/**
 * Returns the history in a record; undefined if there is none or it is malformed.
 *
 * @example
 * ```ts
 * parseHistoryRecord('{"sinceMs":0,"services":{}}')
 * ```
 */
export function parseHistoryRecord (text: string | undefined): routing.versionHistory.HistoryRecord | undefined {
  return text === undefined ? undefined : routing.versionHistory.parseHistory(parse(text))
}
