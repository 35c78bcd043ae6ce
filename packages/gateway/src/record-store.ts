/**
 * Port for the few records that outlive all daemons. Each call counts against the limits of the store, and the store
 * may be away at any time, so no request waits for a record.
 *
 * @module
 */
import type * as neverthrow from 'neverthrow'

/** Records by name. */
export type Records = ReadonlyMap<string, string>

/** Called once with the result of a call. */
export type Done<Value> = (result: neverthrow.Result<Value, Error>) => void

/** Stores records. */
export interface RecordStore {
  /** Reads all records. */
  readonly load: (done: Done<Records>) => void
  /** Replaces a record that all daemons share by what `next` returns for it; `next` is called again if another daemon has replaced it meanwhile. */
  readonly replace: (name: string, next: (current: string | undefined) => string, done: Done<void>) => void
  /** Writes a record of this daemon, which lapses about a minute later. */
  readonly keep: (name: string, value: string, done: Done<void>) => void
}
