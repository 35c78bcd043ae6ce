/**
 * What membership is told, and what it asks its surroundings to do.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Messages that membership receives. */
export type Received = protocol.Probe | protocol.Ack | protocol.IndirectProbe | protocol.IndirectAck

/** Everything membership reacts to. */
export type Event =
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: Received }
  /** Daemons found in the platform's service, or met on a new connection. */
  | { readonly kind: 'introduced', readonly members: readonly protocol.MemberUpdate[] }
  /** News that this daemon learned itself: a leaving target, a suspect, a revision in force. */
  | { readonly kind: 'news', readonly news: protocol.Update }
  /** Requests in progress, as a share of the daemon's limit. */
  | { readonly kind: 'load', readonly load: number }
  /** Planned stop of this daemon. */
  | { readonly kind: 'drain' }
  /** This daemon is about to exit. */
  | { readonly kind: 'gone' }
  /** The process was suspended; believe nobody's death, and find out first what the others think of this daemon. */
  | { readonly kind: 'resumed' }
  /** Comes every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** Everything membership asks for. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  /** News accepted for the first time, from anywhere; older or equal news gives no output. */
  | { readonly kind: 'learned', readonly news: protocol.Update }
  /** The set of live members, or the address of one, changed. */
  | { readonly kind: 'members', readonly members: readonly protocol.MemberUpdate[] }
  /** Others hold this daemon for gone: its incarnation is over, it must take a new one (and may dispatch nothing more under the old). */
  | { readonly kind: 'evicted' }
  | { readonly kind: 'beat', readonly beat: number }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }

/** Interval of ticks, milliseconds. */
export const TICK_INTERVAL_MS = 100
