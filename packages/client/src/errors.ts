/**
 * What a caller is told when a request gave no answer.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** What persimmonhatch answered instead of the target. */
export interface Refusal {
  readonly reason: string
  readonly message: string
  readonly remedy: string
  readonly execution: protocol.Execution
  /** Identity that the daemon looked up before it refused; undefined when it refused without a look. */
  readonly identity: string | undefined
  /** Undefined when the refusal names no time. */
  readonly retryAfterMs: number | undefined
}

/** The request was refused: `execution` says whether it was run. */
export class RefusedRequest extends Error {
  override readonly name = 'RefusedRequest'

  constructor (readonly identity: string, readonly refusal: Refusal) {
    super(`${refusal.message} ${refusal.remedy}`)
  }

  get execution (): protocol.Execution {
    return this.refusal.execution
  }
}

/** The request may have been run, and nobody can say. */
export class UnknownOutcome extends Error {
  override readonly name = 'UnknownOutcome'

  constructor (readonly identity: string, detail: string) {
    super(`${detail} Check whether the request took effect before sending it under a new identity.`)
  }
}

/** The answer ended without its proper end; what was received of it is not the answer. */
export class IncompleteResponse extends Error {
  override readonly name = 'IncompleteResponse'

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

/** Everything that a request can fail with. */
export type Failure = RefusedRequest | UnknownOutcome | IncompleteResponse | UnreachableDaemons
