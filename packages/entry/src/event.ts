/**
 * What an entry, the owner of its callers' requests, is told, and what it asks its surroundings to do.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** A request as it arrived, read whole. `request` is a number that the daemon never reuses. */
export interface Arrival {
  readonly request: number
  /** From the idempotency-key header; undefined when the caller sent none. */
  readonly identity: string | undefined
  readonly service: string
  readonly organisation: string | undefined
  readonly tier: string | undefined
  readonly method: string
  /** Path within the service. */
  readonly path: string
  /** Hash of service, method, path and body: same content, same fingerprint. */
  readonly fingerprint: string
  readonly promptTokens: number
  /** From the body, such as max_tokens; undefined when it does not say. */
  readonly answerTokens: number | undefined
  readonly prefixes: readonly string[]
  readonly deadlineMs: number | undefined
}

/** How a dispatch ended, as the adapter saw it. */
export interface DispatchEnd {
  /**
   * `finished`: the whole answer was received. `unreachable`: refused before the first byte could be written.
   * `failed`: the target answered with an error. `crashed`: the connection broke after dispatch.
   * `incomplete`: the answer ended without its proper end. `cancelled`: stopped by `cancel`.
   */
  readonly outcome: 'finished' | 'unreachable' | 'failed' | 'crashed' | 'incomplete' | 'cancelled'
  readonly detail: string
  readonly promptTokens: number
  /** Prompt tokens that the engine had cached; undefined when it did not say. */
  readonly cachedTokens?: number | undefined
  readonly answerTokens: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Whether the target took another connection after a crash: then only this connection was lost. */
  readonly isTargetUp?: boolean
}

/** Messages that an entry receives from an authority. */
export type Received = protocol.Grant | protocol.Refusal | protocol.Revocation | protocol.Collect

/** Everything an entry reacts to. */
export type Event =
  | { readonly kind: 'arrival', readonly arrival: Arrival }
  /** The connection of the caller of `request` closed before its answer was complete. */
  | { readonly kind: 'caller-gone', readonly request: number }
  | { readonly kind: 'message', readonly from: protocol.Incarnation, readonly message: Received }
  | { readonly kind: 'documents', readonly documents: readonly document.serviceDocument.ServiceDocument[] }
  /** Who is authority of which pool now; also sent again when the connection to an authority was lost and made anew (`reconnected`). */
  | { readonly kind: 'authorities', readonly authorities: ReadonlyMap<string, protocol.Incarnation>, readonly reconnected: readonly protocol.Incarnation[] }
  | { readonly kind: 'target', readonly news: protocol.TargetUpdate }
  | { readonly kind: 'suspect', readonly news: protocol.SuspectUpdate }
  | { readonly kind: 'ended', readonly request: number, readonly end: DispatchEnd }
  /** This daemon's own beat, the epoch of the identities it owns. */
  | { readonly kind: 'beat', readonly beat: number }
  /** Planned stop: serve what waits and runs, refuse what is new. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'resumed' }
  /** Comes every `TICK_INTERVAL_MS`. */
  | { readonly kind: 'tick' }

/** Where a dispatch goes. */
export interface Placement {
  readonly target: string
  readonly address: protocol.Address
  readonly targetKind: 'model' | 'plain'
}

/** Everything an entry asks for. */
export type Output =
  | { readonly kind: 'send', readonly outbound: protocol.Outbound }
  /** Dispatch now, once; the daemon answers with `ended`. */
  | { readonly kind: 'dispatch', readonly request: number, readonly placement: Placement, readonly receipt: Receipt }
  /** Stop a running dispatch; the daemon answers with `ended` and outcome `cancelled` unless it ended before. */
  | { readonly kind: 'cancel', readonly request: number }
  /** Final answer without a target's whole answer, or after a cut one; also given to callers that joined. A target's answer that was already passed on whole stands. */
  | { readonly kind: 'refuse', readonly request: number, readonly receipt: Receipt, readonly retryAfterMs: number }
  /** Attach this caller to the answer of an earlier request with the same identity, from its first byte. */
  | { readonly kind: 'join', readonly request: number, readonly original: number }
  /** Tell the caller to send to another daemon. */
  | { readonly kind: 'redirect', readonly request: number, readonly address: protocol.Address }
  /** The request is final; the daemon may drop its answer when memory is short. */
  | { readonly kind: 'settled', readonly receipt: Receipt }
  /** The identity's outcome is forgotten; the daemon drops all it holds for the request. */
  | { readonly kind: 'forget', readonly request: number }
  | { readonly kind: 'count', readonly counter: string, readonly value: number }
  /** Nothing waits and nothing runs: a draining daemon may exit. */
  | { readonly kind: 'drained' }

/** Why one request waited, ran or was refused; complete in itself. */
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
