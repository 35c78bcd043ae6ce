/**
 * Errors that a caller receives instead of a response.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Refusal of a request by a daemon. */
export interface Refusal {
  readonly reason: string
  readonly message: string
  readonly remedy: string
  readonly execution: protocol.Execution
  /** Identity that the daemon looked up before it refused; undefined if it refused without looking it up. */
  readonly identity: string | undefined
  /** Undefined if the refusal does not include a retry time. */
  readonly retryAfterMs: number | undefined
}

/** The request was refused. `execution` states whether it was run. */
export class RefusedRequest extends Error {
  override readonly name = 'RefusedRequest'

  constructor (readonly identity: string, readonly refusal: Refusal) {
    super(`${refusal.message} ${refusal.remedy}`)
  }

  get execution (): protocol.Execution {
    return this.refusal.execution
  }
}

/** It is unknown whether the request was run. */
export class UnknownOutcome extends Error {
  override readonly name = 'UnknownOutcome'

  constructor (readonly identity: string, detail: string) {
    super(`${detail} Check whether the request took effect before sending it under a new identity.`)
  }
}

/** The response ended early. The part that was received must be discarded. */
export class IncompleteAnswer extends Error {
  override readonly name = 'IncompleteAnswer'

  constructor (readonly identity: string, detail: string) {
    super(`${detail} Discard what was received; send the request again if it is idempotent.`)
  }
}

/** No daemon could be reached, and the request was not sent. */
export class UnreachableDaemons extends Error {
  override readonly name = 'UnreachableDaemons'

  constructor (readonly addresses: readonly protocol.Address[], detail: string) {
    super(`None of the daemons ${addresses.join(', ')} could be reached: ${detail}. Check the addresses given to createCaller and the network.`)
  }
}

/** Every error that a request can fail with. */
export type Failure = RefusedRequest | UnknownOutcome | IncompleteAnswer | UnreachableDaemons
