/**
 * What an entry remembers of the identities it owns. An identity is remembered from its first arrival
 * until its epoch falls below the low-water mark; below the mark nothing is accepted, so that a
 * forgotten identity can never be dispatched again.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Beats by which an identity may be ahead of the owner's own beat. */
export const FUTURE_TOLERANCE_HEARTBEATS = 5

/** The final outcome of a request, as it is replayed to a resend. */
export interface Settlement {
  readonly receipt: event.Receipt
  readonly retryAfterMs: number
}

/** One remembered identity. */
export interface RememberedIdentity {
  readonly identity: string
  readonly epoch: number
  readonly request: number
  readonly fingerprint: string
  readonly organisation: string | undefined
  /** Undefined while the request waits or runs. */
  readonly settlement: Settlement | undefined
}

/** Whether a new identity of an epoch may be accepted. */
export type EpochStatus = 'current' | 'expired' | 'future'

/** Identities by text, with a bound on how many are kept. */
export class IdentityLedger {
  readonly #byIdentity = new Map<string, RememberedIdentity>()
  readonly #byEpoch = new Map<number, Set<string>>()
  #heartbeat = 0
  #lowWaterEpoch = 0

  constructor (private readonly limit: number) {}

  /** Identities remembered now. */
  get size (): number {
    return this.#byIdentity.size
  }

  /** Epochs below this one are refused as expired. */
  get lowWaterEpoch (): number {
    return this.#lowWaterEpoch
  }

  /** The owner's latest beat. */
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

  /** Takes over the owner's beat and returns the identities that are past their retention. */
  advance (heartbeat: number): readonly RememberedIdentity[] {
    this.#heartbeat = Math.max(this.#heartbeat, heartbeat)
    this.#raiseLowWater(this.#heartbeat - protocol.IDENTITY_RETENTION_BEATS)
    return this.#forgetBelowLowWater()
  }

  /**
   * Makes room for one more identity. A full ledger shortens the retention: it raises the low-water
   * mark over the oldest epochs, which are then refused as expired and never run.
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

  /** Requests that still wait or run are kept until they are settled. */
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
