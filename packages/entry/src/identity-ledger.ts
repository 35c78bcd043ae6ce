/**
 * Remembers the identities that an entry owns, from their first arrival until their epoch falls below the
 * low-water mark. Identities below the mark are refused, so that a forgotten identity is never dispatched again.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Number of heartbeats by which the epoch of an identity may be ahead of the owner's heartbeat counter. */
export const FUTURE_TOLERANCE_HEARTBEATS = 5

/** The final outcome of a request, which is replayed to resends. */
export interface Settlement {
  readonly receipt: event.Receipt
  readonly retryAfterMs: number
}

/** An identity with its request and outcome. */
export interface RememberedIdentity {
  readonly identity: string
  readonly epoch: number
  readonly request: number
  readonly fingerprint: string
  readonly organisation: string | undefined
  /** Undefined while the request waits or runs. */
  readonly settlement: Settlement | undefined
}

/** Status of an epoch. Only new identities of a `current` epoch may be accepted. */
export type EpochStatus = 'current' | 'expired' | 'future'

/** Stores a bounded number of identities by their text. */
export class IdentityLedger {
  readonly #byIdentity = new Map<string, RememberedIdentity>()
  readonly #byEpoch = new Map<number, Set<string>>()
  #heartbeat = 0
  #lowWaterEpoch = 0

  constructor (private readonly limit: number) {}

  /** Number of remembered identities. */
  get size (): number {
    return this.#byIdentity.size
  }

  /** Lowest accepted epoch; identities of lower epochs are refused as expired. */
  get lowWaterEpoch (): number {
    return this.#lowWaterEpoch
  }

  /** The owner's latest heartbeat counter. */
  get heartbeat (): number {
    return this.#heartbeat
  }

  find (identity: string): RememberedIdentity | undefined {
    return this.#byIdentity.get(identity)
  }

  checkEpoch (epoch: number): EpochStatus {
    if (epoch < this.#lowWaterEpoch) return 'expired'
    return epoch > this.#heartbeat + FUTURE_TOLERANCE_HEARTBEATS ? 'future' : 'current'
  }

  /** Remembers an identity for the first time. */
  add (remembered: RememberedIdentity): void {
    this.#byIdentity.set(remembered.identity, remembered)
    const epoch = this.#byEpoch.get(remembered.epoch) ?? new Set()
    this.#byEpoch.set(remembered.epoch, epoch.add(remembered.identity))
  }

  settle (identity: string, settlement: Settlement): void {
    const remembered = this.#byIdentity.get(identity)
    if (remembered !== undefined) this.#byIdentity.set(identity, { ...remembered, settlement })
  }

  /** Sets the owner's heartbeat counter, and removes and returns the identities that are past their retention. */
  advance (heartbeat: number): readonly RememberedIdentity[] {
    this.#heartbeat = Math.max(this.#heartbeat, heartbeat)
    this.#raiseLowWater(this.#heartbeat - protocol.IDENTITY_RETENTION_HEARTBEATS)
    return this.#forgetBelowLowWater()
  }

  /**
   * Makes room for one more identity, and returns the removed ones. A full ledger shortens the retention: it
   * raises the low-water mark above the oldest epochs, whose identities are then refused as expired and never run.
   */
  forgetOldest (): readonly RememberedIdentity[] {
    const forgotten: RememberedIdentity[] = []
    while (this.#byIdentity.size >= this.limit) {
      const oldest = this.#oldestSettledEpoch()
      if (oldest === undefined) break
      this.#raiseLowWater(oldest + 1)
      forgotten.push(...this.#forgetBelowLowWater())
    }
    return forgotten
  }

  #raiseLowWater (epoch: number): void {
    this.#lowWaterEpoch = Math.max(this.#lowWaterEpoch, epoch)
  }

  #hasSettled (epoch: number): boolean {
    for (const identity of this.#byEpoch.get(epoch) ?? []) {
      if (this.#byIdentity.get(identity)?.settlement !== undefined) return true
    }
    return false
  }

  #oldestSettledEpoch (): number | undefined {
    const epochs = [...this.#byEpoch.keys()].sort((left, right) => left - right)
    return epochs.find((epoch) => this.#hasSettled(epoch))
  }

  #forgetBelowLowWater (): readonly RememberedIdentity[] {
    const expired = [...this.#byEpoch.keys()].filter((epoch) => epoch < this.#lowWaterEpoch)
    return expired.flatMap((epoch) => this.#forgetSettled(epoch))
  }

  /** Removes the settled identities of an epoch. Those of waiting and running requests stay until they are settled. */
  #forgetSettled (epoch: number): readonly RememberedIdentity[] {
    const forgotten: RememberedIdentity[] = []
    const identities = this.#byEpoch.get(epoch) ?? new Set()
    for (const identity of identities) {
      const remembered = this.#byIdentity.get(identity)
      if (remembered?.settlement === undefined) continue
      forgotten.push(remembered)
      this.#byIdentity.delete(identity)
      identities.delete(identity)
    }
    if (identities.size === 0) this.#byEpoch.delete(epoch)
    return forgotten
  }
}
