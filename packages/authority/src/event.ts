/**
 * Events that the authority of one pool handles, and outputs that it yields.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** Messages that an authority receives. `floor` and `floor-reached` come from the authorities of other pools. */
export type ReceivedMessage = protocol.SlotRequest | protocol.Withdraw | protocol.Round | protocol.Release | protocol.Holdings | protocol.Floor | protocol.FloorReached

/** Load that a target reported, possibly seconds ago. */
export interface LoadReport {
  readonly target: string
  /** Age of the report when it was read, as stated by the target; 0 when the target does not state it. */
  readonly ageMs: number
  readonly runningRequests: number
  readonly queuedRequests: number
  /** Tokens of the prompts in prefill and of the responses in decode. */
  readonly tokensInProgress: number
}

/** Prefixes that a target reported as cached or evicted. Reports may be late, and some may be lost. */
export interface CacheReport {
  readonly target: string
  /** Sequence number of the target's cache events; a gap means that some were lost. */
  readonly sequence: number
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** An event that an authority handles. */
export type Event =
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: ReceivedMessage }
  /** The documents in force. Targets of other pools are ignored. */
  | { readonly kind: 'documents', readonly documents: readonly document.serviceDocument.ServiceDocument[] }
  /** The live entries and the authority of each pool. Slots of entries that are no longer listed are kept until they expire. */
  | { readonly kind: 'members', readonly entries: readonly protocol.Incarnation[], readonly authorities: ReadonlyMap<string, protocol.Incarnation> }
  | { readonly kind: 'target', readonly update: protocol.TargetUpdate }
  | { readonly kind: 'suspect', readonly update: protocol.SuspectUpdate }
  | { readonly kind: 'load', readonly report: LoadReport }
  | { readonly kind: 'cache', readonly report: CacheReport }
  /** The process was suspended, so its state is stale. */
  | { readonly kind: 'resumed' }
  /** Sent every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** An output that the caller of the authority performs. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  | { readonly kind: 'update', readonly update: protocol.Update }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }

/** Interval of ticks, milliseconds. */
export const TICK_INTERVAL_MS = 100
