/**
 * Outcomes of requests that were sent without an identity. Callers cannot resend these, so their outcomes
 * are retained only to look up receipts, apart from the identities that a resend may name.
 *
 * @module
 */
import type * as event from './event.js'

/** The outcome of one request that was sent without an identity. */
export interface ReceiptOnlyOutcome {
  readonly request: number
  readonly epoch: number
  readonly receipt: event.Receipt
}

/** Stores a bounded number of outcomes by issued identity, oldest first. */
export class ReceiptOnlyOutcomes {
  readonly #byIdentity = new Map<string, ReceiptOnlyOutcome>()

  constructor (private readonly limit: number) {}

  get size (): number {
    return this.#byIdentity.size
  }

  find (identity: string): event.Receipt | undefined {
    return this.#byIdentity.get(identity)?.receipt
  }

  /** Adds an outcome, and removes the oldest ones above the limit. */
  * add (outcome: ReceiptOnlyOutcome): Generator<event.Output, void> {
    this.#byIdentity.set(outcome.receipt.identity, outcome)
    yield * this.#forgetOldest((_, size) => size > this.limit)
  }

  /** Removes outcomes of epochs below the low-water mark. */
  * expire (lowWaterEpoch: number): Generator<event.Output, void> {
    yield * this.#forgetOldest((oldest) => oldest.epoch < lowWaterEpoch)
  }

  * #forgetOldest (isDue: (oldest: ReceiptOnlyOutcome, size: number) => boolean): Generator<event.Output, void> {
    for (const [identity, oldest] of this.#byIdentity) {
      if (!isDue(oldest, this.#byIdentity.size)) return
      this.#byIdentity.delete(identity)
      yield { kind: 'forget', request: oldest.request }
    }
  }
}
