/**
 * The owner of the requests of one daemon: their identities, their single dispatch and their outcomes.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Settings of an entry. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  /** Finds the daemon that owns an identity; undefined when it is gone or unknown. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberNews | undefined
  /** Most requests waiting or running at one time. */
  readonly requestLimit: number
}

/** Counts for status pages. */
export interface Status {
  readonly waiting: number
  readonly running: number
  readonly remembered: number
  readonly draining: boolean
}

/** An entry: state owned by one task, driven by events. */
export interface Entry {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  readonly status: () => Status
  /** The receipt of a remembered request, for `explain`. */
  readonly receipt: (identity: string) => event.Receipt | undefined
}
