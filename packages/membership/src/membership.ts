/**
 * Who is alive: sampled probes between daemons, with news carried on them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Settings of membership. */
export interface Options {
  readonly self: protocol.MemberNews
  readonly random: protocol.Random
}

/** Membership: state owned by one task, driven by events. */
export interface Membership {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  /** Live and leaving members, this daemon included. */
  readonly members: () => readonly protocol.MemberNews[]
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberNews | undefined
  /** Newest known news about targets, suspects and revisions. */
  readonly news: () => readonly protocol.News[]
}
