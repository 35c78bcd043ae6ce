/**
 * Port for the platform's key-value service.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as neverthrow from 'neverthrow'

/** Stored value. `modRevision` increases with every write to the key. */
export interface Entry {
  readonly key: string
  readonly value: string
  readonly modRevision: number
}

/** Point in the history of the service. */
export type Position = protocol.StorePosition

/** All entries under a prefix. A watch from its position delivers the changes that are not in them. */
export interface Listing extends Position {
  readonly entries: readonly Entry[]
}

/** Result of a compare-and-swap. `current` is the existing entry when it did not succeed. */
export interface SwapResult {
  readonly succeeded: boolean
  readonly revision: number
  readonly current: Entry | undefined
}

/** Conditional write to a key. */
export interface Write {
  readonly key: string
  /** Expected `modRevision` of the key. 0 when the key must not exist. */
  readonly expectedRevision: number
  /** New value. Undefined deletes the key. */
  readonly value: string | undefined
  /** Lease to which the key is attached, if any. */
  readonly lease?: string
}

/** Change that a watch delivers. `value` is undefined for a deletion. */
export interface Change {
  readonly key: string
  readonly value: string | undefined
  readonly modRevision: number
}

/**
 * Why a call to the platform failed. `unavailable`: it certainly had no effect. `unanswered`: a write
 * may have taken effect. `over-limit`: refused because a call limit is spent. `compacted`: the watch
 * can't continue from its revision, so the caller must list again. `restored`: the service was restored from a
 * copy since, so the caller must list again, and a write may be lost. `malformed`: the response was invalid or
 * rejected the call.
 */
export type FailureKind = 'unavailable' | 'unanswered' | 'over-limit' | 'compacted' | 'restored' | 'malformed'

/** Error for a failed call. The message names the remedy. */
export class PlatformFailure extends Error {
  constructor (readonly failure: FailureKind, message: string) {
    super(message)
    this.name = 'PlatformFailure'
  }
}

/** Asynchronous result of a call to the platform. */
export type PlatformResult<Value> = neverthrow.ResultAsync<Value, PlatformFailure>

/** Key-value service. Every call counts against the platform's limits. An open watch counts as one call. */
export interface KeyValue {
  readonly get: (key: string) => PlatformResult<Entry | undefined>
  readonly list: (prefix: string) => PlatformResult<Listing>
  readonly compareAndSwap: (write: Write) => PlatformResult<SwapResult>
  /** Grants a lease and returns its identity, which also serves as a fencing number: later leases of an era have greater identities. */
  readonly grantLease: (timeToLiveS: number) => PlatformResult<string>
  /** Renews a lease and returns its time to live in seconds, or 0 when it has expired. */
  readonly keepLeaseAlive: (lease: string) => PlatformResult<number>
  readonly revokeLease: (lease: string) => PlatformResult<void>
  /** Yields the changes under a prefix after a position. Ends by throwing a `PlatformFailure`, or when `signal` aborts. */
  readonly watch: (prefix: string, after: Position, signal: AbortSignal) => AsyncGenerator<readonly Change[]>
}
