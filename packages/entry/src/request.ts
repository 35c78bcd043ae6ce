/**
 * Requests that the entry accepted and that have no final outcome yet.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as requestPolicy from './request-policy.js'

/** A slot request that was sent to an authority. Its id is not used again after a withdrawal or the release of a grant for it. */
export interface SentSlotRequest {
  readonly id: number
  readonly pool: string
  readonly authority: protocol.Incarnation
  /** When the slot request was last sent. */
  readonly sentAtMs: number
}

interface Accepted {
  readonly arrival: event.Arrival
  readonly identity: string
  /** Whether the caller sent the identity and so can resend the request. */
  readonly isResendable: boolean
  readonly policy: requestPolicy.RequestPolicy
  readonly acceptedAtMs: number
  readonly deadlineAtMs: number
  /** Connected callers, by the number of their arrival. */
  readonly callers: ReadonlySet<number>
  /** When the last caller disconnected; undefined while a caller is connected. */
  readonly abandonedAtMs: number | undefined
  /** Number of targets that refused the connection so far. */
  readonly unreachableCount: number
  /** Pools whose authority refused the request with `no-target`. */
  readonly exhaustedPools: readonly string[]
}

/** A request without a slot. Nothing of it was sent to a target. */
export interface Waiting extends Accepted {
  readonly state: 'waiting'
  /** Undefined while no slot request is outstanding, for example without an authority. */
  readonly slotRequest: SentSlotRequest | undefined
  /** When a request without an outstanding slot request sends the next one. */
  readonly nextSlotRequestAtMs: number
}

/** A request that was dispatched. */
export interface Running extends Accepted {
  readonly state: 'running'
  readonly slotRequest: SentSlotRequest
  readonly target: string
  readonly dispatchedAtMs: number
  /** Daemons that count the slot as used: the one that granted it and those to which it was reported. */
  readonly informedAuthorities: ReadonlySet<protocol.Incarnation>
  /** Why the dispatch was cancelled; undefined while it was not. */
  readonly cancelCause: 'preempted' | 'caller-gone' | undefined
}

/** A request without a final outcome. */
export type Request = Waiting | Running
