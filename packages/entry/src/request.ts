/**
 * A request that the entry has accepted and that is not yet final.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as terms from './terms.js'

/** An ask that an authority has been sent. Its number is not used again once the ask was withdrawn or a grant for it released. */
export interface Slot {
  readonly ask: number
  readonly pool: string
  readonly authority: protocol.Incarnation
  /** When the ask was last sent. */
  readonly askedMs: number
}

interface Accepted {
  readonly arrival: event.Arrival
  readonly identity: string
  /** Whether the caller brought the identity and so can resend the request. */
  readonly resendable: boolean
  readonly terms: terms.Terms
  readonly acceptedMs: number
  readonly deadlineAtMs: number
  /** Connected callers, by the number of their arrival. */
  readonly callers: ReadonlySet<number>
  /** When the last caller left; undefined while there are callers. */
  readonly abandonedMs: number | undefined
  /** Targets that refused the connection so far. */
  readonly unreachableCount: number
  /** Pools that said that they have no target for the request. */
  readonly exhaustedPools: readonly string[]
}

/** A request without a slot on a target. Nothing of it has been sent to any target. */
export interface Waiting extends Accepted {
  readonly state: 'waiting'
  /** Undefined while there is nobody to ask. */
  readonly slot: Slot | undefined
  /** When a request without an outstanding ask asks again. */
  readonly askAgainAtMs: number
}

/** A request that was dispatched. */
export interface Running extends Accepted {
  readonly state: 'running'
  readonly slot: Slot
  readonly target: string
  readonly dispatchedMs: number
  /** Daemons that count the slot: the one that granted it and those that collected it. */
  readonly holders: ReadonlySet<protocol.Incarnation>
  /** Why its cancellation was asked for. */
  readonly cancelCause: 'preempted' | 'caller-gone' | undefined
}

/** A request that is not yet final. */
export type Request = Waiting | Running
