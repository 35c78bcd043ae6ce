/**
 * Events that an entry handles, and outputs that the daemon carries out for it. The entry owns its callers' requests.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** A request that was received completely. `request` is a number that the daemon never reuses. */
export interface Arrival {
  readonly request: number
  /** Value of the idempotency-key header; undefined when the caller sent none. */
  readonly identity: string | undefined
  readonly service: string
  readonly organisation: string | undefined
  readonly tier: string | undefined
  readonly method: string
  /** Path within the service. */
  readonly path: string
  /** Hash of service, method, path and body. Equal content has an equal fingerprint. */
  readonly fingerprint: string
  readonly promptTokens: number
  /** Limit from the body, such as max_tokens; undefined when the body has none. */
  readonly answerTokens: number | undefined
  readonly prefixes: readonly string[]
  readonly deadlineMs: number | undefined
}

/** How a dispatch ended, as observed by the adapter. */
export interface DispatchEnd {
  /**
   * `finished`: the complete response was received. `unreachable`: the connection was refused before the first
   * byte could be written. `failed`: the target responded with an error. `crashed`: the connection broke after
   * dispatch. `incomplete`: the response ended without its proper end. `cancelled`: stopped by `cancel`.
   */
  readonly outcome: 'finished' | 'unreachable' | 'failed' | 'crashed' | 'incomplete' | 'cancelled'
  readonly detail: string
  readonly promptTokens: number
  /** Prompt tokens that the engine had cached; undefined when it did not report them. */
  readonly cachedTokens?: number | undefined
  readonly answerTokens: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Whether the target accepted another connection after a crash, so that only this connection was lost. */
  readonly isTargetUp?: boolean
}

/** Messages that an entry receives from an authority. */
export type ReceivedMessage = protocol.Grant | protocol.Refusal | protocol.Revocation | protocol.Collect

/** Events that an entry handles. */
export type Event =
  | { readonly kind: 'arrival', readonly arrival: Arrival }
  /** The connection of the caller of `request` closed before the response was complete. */
  | { readonly kind: 'caller-gone', readonly request: number }
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: ReceivedMessage }
  | { readonly kind: 'documents', readonly documents: readonly document.serviceDocument.ServiceDocument[] }
  /** The authority of each pool. Also sent when a lost connection to an authority was re-established (`reconnected`). */
  | { readonly kind: 'authorities', readonly authorities: ReadonlyMap<string, protocol.Incarnation>, readonly reconnected: readonly protocol.Incarnation[] }
  | { readonly kind: 'target', readonly update: protocol.TargetUpdate }
  | { readonly kind: 'suspect', readonly update: protocol.SuspectUpdate }
  | { readonly kind: 'ended', readonly request: number, readonly end: DispatchEnd }
  /** This daemon's heartbeat counter, which is the epoch of the identities that it issues. */
  | { readonly kind: 'heartbeat', readonly heartbeat: number }
  /** Planned stop: waiting and running requests are served, new ones are refused. */
  | { readonly kind: 'drain' }
  /** The process went on after it was suspended. */
  | { readonly kind: 'resumed' }
  /** Sent every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** The target of a dispatch. */
export interface Placement {
  readonly target: string
  readonly address: protocol.Address
  readonly targetKind: 'model' | 'plain'
}

/** Outputs of an entry, which the daemon carries out. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  /** Dispatch now and only once. The daemon reports the end with `ended`. */
  | { readonly kind: 'dispatch', readonly request: number, readonly placement: Placement, readonly receipt: Receipt }
  /** Stop a running dispatch. The daemon reports `ended` with the outcome `cancelled`, unless the dispatch ended before. */
  | { readonly kind: 'cancel', readonly request: number }
  /** Refuse a caller, also one that joined, that received no response of a target or an incomplete one. A complete response that was already passed on stands. */
  | { readonly kind: 'refuse', readonly request: number, readonly receipt: Receipt, readonly retryAfterMs: number }
  /** Send this caller the response to an earlier request with the same identity, from its first byte. */
  | { readonly kind: 'join', readonly request: number, readonly original: number }
  /** Redirect the caller to another daemon. */
  | { readonly kind: 'redirect', readonly request: number, readonly address: protocol.Address }
  /** The request has its final outcome; the daemon may drop the retained response when memory is short. */
  | { readonly kind: 'settled', readonly receipt: Receipt }
  /** The outcome is no longer remembered; the daemon drops everything that it retains for the request. */
  | { readonly kind: 'forget', readonly request: number }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }
  /** No request waits or runs: a draining daemon may exit. */
  | { readonly kind: 'drained' }

/** Explains why one request waited, ran or was refused, without reference to other records. */
export interface Receipt {
  readonly identity: string
  readonly service: string
  readonly organisation: string
  readonly tier: string
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
  readonly waitedMs: number
  readonly target: string | undefined
  readonly figures: protocol.Figures
  readonly end: DispatchEnd | undefined
}

/** Interval of ticks, milliseconds. */
export const TICK_INTERVAL_MS = 100
