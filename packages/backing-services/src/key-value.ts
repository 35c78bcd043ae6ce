/**
 * Port to the platform's key-value service.
 *
 * @module
 */
import type * as neverthrow from 'neverthrow'

/** A stored value. `modRevision` rises with every write to the key. */
export interface Entry {
  readonly key: string
  readonly value: string
  readonly modRevision: number
}

/** All entries under a prefix, as of one revision of the whole store. */
export interface Listing {
  readonly entries: readonly Entry[]
  readonly revision: number
}

/** What a compare-and-swap did. `current` is the entry found when it did not succeed. */
export interface Swap {
  readonly succeeded: boolean
  readonly revision: number
  readonly current: Entry | undefined
}

/** One write to one key. */
export interface Write {
  readonly key: string
  /** The key's expected `modRevision`; 0 when the key must not exist. */
  readonly expectedRevision: number
  /** The new value; undefined deletes the key. */
  readonly value: string | undefined
  /** Lease that the key lives under, if any. */
  readonly lease?: string
}

/** A change seen by a watch; `value` is undefined for a deletion. */
export interface Change {
  readonly key: string
  readonly value: string | undefined
  readonly modRevision: number
}

/**
 * Why a call to the platform did not give an answer. `unavailable`: certainly not carried out.
 * `unanswered`: a write may have taken effect. `over-limit`: refused by the call limit.
 * `compacted`: the watch's revision is too old, list again.
 */
export type FailureKind = 'unavailable' | 'unanswered' | 'over-limit' | 'compacted' | 'malformed'

/** A failed call; its message names the remedy. */
export class PlatformFailure extends Error {
  constructor (readonly failure: FailureKind, message: string) {
    super(message)
    this.name = 'PlatformFailure'
  }
}

/** A call's answer, later. */
export type Answer<Value> = neverthrow.ResultAsync<Value, PlatformFailure>

/** The key-value service. Every call counts against the platform's limits, an open watch as one. */
export interface KeyValue {
  readonly get: (key: string) => Answer<Entry | undefined>
  readonly list: (prefix: string) => Answer<Listing>
  readonly compareAndSwap: (write: Write) => Answer<Swap>
  /** Grants a lease; gives its identity, which also serves as a fencing number: later leases compare greater. */
  readonly grantLease: (timeToLiveS: number) => Answer<string>
  /** Gives the seconds left; 0 when the lease has lapsed. */
  readonly keepLeaseAlive: (lease: string) => Answer<number>
  readonly revokeLease: (lease: string) => Answer<void>
  /** Changes under a prefix after a revision. Ends with a thrown `PlatformFailure`, or when `signal` aborts. */
  readonly watch: (prefix: string, afterRevision: number, signal: AbortSignal) => AsyncGenerator<readonly Change[]>
}
