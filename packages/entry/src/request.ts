/**
 * A request that the entry has accepted and that is not yet final.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as requestPolicy from './request-policy.js'

/** An ask that an authority has been sent. Its number is not used again once the ask was withdrawn or a grant for it released. */
export interface SentSlotRequest {
  readonly id: number
  readonly pool: string
  readonly authority: protocol.Incarnation
  /** When the ask was last sent. */
  readonly sentAtMs: number
}

interface Accepted {
  readonly arrival: event.Arrival
  readonly identity: string
  /** Whether the caller brought the identity and so can resend the request. */
  readonly isResendable: boolean
  readonly policy: requestPolicy.RequestPolicy
  readonly acceptedAtMs: number
  readonly deadlineAtMs: number
  /** Connected callers, by the number of their arrival. */
  readonly callers: ReadonlySet<number>
  /** When the last caller left; undefined while there are callers. */
  readonly abandonedAtMs: number | undefined
  /** Targets that refused the connection so far. */
  readonly unreachableCount: number
  /** Pools that said that they have no target for the request. */
  readonly exhaustedPools: readonly string[]
}

/** A request without a slot on a target. Nothing of it has been sent to any target. */
export interface Waiting extends Accepted {
  readonly state: 'waiting'
  /** Undefined while there is nobody to ask. */
  readonly slotRequest: SentSlotRequest | undefined
  /** When a request without an outstanding ask asks again. */
  readonly nextSlotRequestAtMs: number
}

/** A request that was dispatched. */
export interface Running extends Accepted {
  readonly state: 'running'
  readonly slotRequest: SentSlotRequest
  readonly target: string
  readonly dispatchedAtMs: number
  /** Daemons that count the slot: the one that granted it and those that collected it. */
  readonly informedAuthorities: ReadonlySet<protocol.Incarnation>
  /** Why its cancellation was asked for. */
  readonly cancelCause: 'preempted' | 'caller-gone' | undefined
}

/** A request that is not yet final. */
export type Request = Waiting | Running
