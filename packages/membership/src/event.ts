/**
 * Inputs and outputs of the membership core.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Messages that membership receives. */
export type ReceivedMessage = protocol.Probe | protocol.Ack | protocol.IndirectProbe | protocol.IndirectAck

/** Inputs of membership. */
export type Event =
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: ReceivedMessage }
  /** Daemons discovered in the platform's key-value service or on a new connection. */
  | { readonly kind: 'members-discovered', readonly members: readonly protocol.MemberUpdate[] }
  /** An update that originates at this daemon: a leaving target, a suspect, a revision in force. */
  | { readonly kind: 'update', readonly update: protocol.Update }
  /** Requests in progress, as a share of the daemon's limit. */
  | { readonly kind: 'load', readonly load: number }
  /** Planned stop of this daemon. */
  | { readonly kind: 'drain' }
  /** This daemon is about to exit. */
  | { readonly kind: 'exit' }
  /** The process was suspended: declare no member dead until a majority of the probed members has sent acks. */
  | { readonly kind: 'resumed' }
  /** Sent every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** Outputs of membership, to be carried out by the caller. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  /** An update was applied; an older or equal one gives no output. */
  | { readonly kind: 'update-applied', readonly update: protocol.Update }
  /** The set of live members, or the address of one, changed. */
  | { readonly kind: 'members', readonly members: readonly protocol.MemberUpdate[] }
  /** Other daemons consider this one dead: it must take a new incarnation, and must not dispatch anything under the old one. */
  | { readonly kind: 'evicted' }
  | { readonly kind: 'heartbeat', readonly heartbeat: number }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }

/** Interval of ticks, milliseconds. */
export const TICK_INTERVAL_MS = 100
