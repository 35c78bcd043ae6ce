/**
 * What the authority of one pool is told, and what it asks its surroundings to do.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** Messages that an authority receives. `floor` comes from another pool's authority. */
export type Received = protocol.Ask | protocol.Withdraw | protocol.Round | protocol.Release | protocol.Holdings | protocol.Floor | protocol.FloorReached

/** Load that a target published, possibly seconds ago. */
export interface LoadReport {
  readonly target: string
  /** Age of the report when it was read, as far as the target says; 0 when it does not say. */
  readonly ageMs: number
  readonly runningRequests: number
  readonly queuedRequests: number
  /** Tokens in progress: prompts being read and answers being written. */
  readonly tokensInProgress: number
}

/** Prefixes that a target says it now holds or has dropped. Events may be late and have gaps. */
export interface CacheReport {
  readonly target: string
  /** Counts the target's cache events; a jump means that some were lost. */
  readonly sequence: number
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** Everything an authority reacts to. */
export type Event =
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: Received }
  /** The documents in force; targets of other pools are ignored. */
  | { readonly kind: 'documents', readonly documents: readonly document.serviceDocument.ServiceDocument[] }
  /** Live entries, and who is authority of which pool. Slots of entries that are no longer listed are kept until their longest possible run is over. */
  | { readonly kind: 'members', readonly entries: readonly protocol.Incarnation[], readonly authorities: ReadonlyMap<string, protocol.Incarnation> }
  | { readonly kind: 'target', readonly news: protocol.TargetNews }
  | { readonly kind: 'suspect', readonly news: protocol.SuspectNews }
  | { readonly kind: 'load', readonly report: LoadReport }
  | { readonly kind: 'cache', readonly report: CacheReport }
  /** The process was suspended; what it knew is stale. */
  | { readonly kind: 'resumed' }
  /** Comes every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** Everything an authority asks for. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  | { readonly kind: 'news', readonly news: protocol.News }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }

/** Interval of ticks, milliseconds. */
export const TICK_INTERVAL_MS = 100
