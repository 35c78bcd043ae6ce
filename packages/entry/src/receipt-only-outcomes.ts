/**
 * Outcomes of requests that came without an identity. Nobody can resend these, so their outcomes are
 * kept for questions only, apart from the identities that a resend may name.
 *
 * @module
 */
import type * as event from './event.js'

/** The outcome of one request. */
export interface ReceiptOnlyOutcome {
  readonly request: number
  readonly epoch: number
  readonly receipt: event.Receipt
}

/** The latest outcomes by identity, oldest first. */
export class ReceiptOnlyOutcomes {
  readonly #byIdentity = new Map<string, ReceiptOnlyOutcome>()

  constructor (private readonly limit: number) {}

  get size (): number {
    return this.#byIdentity.size
  }

  find (identity: string): event.Receipt | undefined {
    return this.#byIdentity.get(identity)?.receipt
  }

  /** Keeps an outcome; the oldest ones go when there are too many. */
  * add (outcome: ReceiptOnlyOutcome): Generator<event.Output, void> {
    this.#byIdentity.set(outcome.receipt.identity, outcome)
    yield * this.#forgetOldest((_, size) => size > this.limit)
  }

  /** Forgets outcomes of epochs below the low-water mark. */
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
