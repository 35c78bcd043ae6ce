/**
 * Messages between daemons. Each travels as the parameters of a JSON-RPC 2.0 notification whose
 * method is the message's kind. The sender's incarnation and the receiver's are agreed once per
 * connection and are not repeated in the messages.
 *
 * Units: times are milliseconds, costs are tokens.
 *
 * @module
 */
import type * as reason from './reason.js'
import type * as commonTypes from './common-types.js'

/** An entry asks the authority of a pool for a slot. `ask` is unique within the entry's incarnation. */
export interface Ask {
  readonly kind: 'ask'
  readonly ask: number
  readonly pool: string
  readonly service: string
  readonly organisation: string
  readonly tier: commonTypes.Rank
  readonly promptTokens: number
  readonly answerTokens: number
  /** Hashes of ever longer prefixes of the prompt, shortest first; the i-th covers `PREFIX_TOKENS * 2 ** i` tokens. */
  readonly prefixes: readonly string[]
  /** Time left until the caller's deadline when the message was sent. */
  readonly deadlineMs: number
  readonly nonIdempotent: boolean
  /** Hash of service and content, the same for every resend of the same content. */
  readonly fingerprint: string
  /** Time that the request had already waited when the message was sent. */
  readonly waitedMs: number
  /** The entry's latest freshness round. */
  readonly round: number
}

/** The entry no longer wants a slot that it has not been granted. */
export interface Withdraw {
  readonly kind: 'withdraw'
  readonly ask: number
}

/** Sent by an entry with waiting asks every `ROUND_INTERVAL_MS`: a grant that echoes a round is at most as old as the round. */
export interface Round {
  readonly kind: 'round'
  readonly round: number
}

/** The authority gives a slot on a target. Valid for the entry while its round is fresh. */
export interface Grant {
  readonly kind: 'grant'
  readonly ask: number
  readonly target: string
  readonly round: number
  readonly figures: reason.Figures
}

/** The authority gives up on an ask; nothing of it was run. */
export interface Refusal {
  readonly kind: 'refusal'
  readonly ask: number
  readonly reason: reason.Reason
  readonly retryAfterMs: number
  readonly figures: reason.Figures
}

/** How a slot ended. `unused`: the entry never dispatched on it. `crashed`: the target's connection broke mid-request. */
export type SlotOutcome = 'finished' | 'failed' | 'crashed' | 'cancelled' | 'unused' | 'unreachable'

/** The entry gives a slot back, with what the authority learns from it. */
export interface Release {
  readonly kind: 'release'
  readonly ask: number
  readonly outcome: SlotOutcome
  readonly promptTokens: number
  /** Prompt tokens that the engine had cached; left out when it did not say. */
  readonly cachedTokens?: number | undefined
  readonly answerTokens: number
  /** Milliseconds from dispatch to the first token; 0 when there was none. */
  readonly firstTokenMs: number
  /** Milliseconds from dispatch to the end. */
  readonly totalMs: number
}

/** The authority takes a slot back: the entry cancels the request if it was dispatched, and releases the slot in any case. */
export interface Revocation {
  readonly kind: 'revocation'
  readonly ask: number
  /** `preempted`: stop a running request. `withdrawn`: the grant must not be used any more, a dispatched request runs on. */
  readonly cause: 'preempted' | 'withdrawn'
}

/** A new authority asks an entry what it holds in a pool. */
export interface Collect {
  readonly kind: 'collect'
  readonly pool: string
}

/** One slot that an entry holds. */
export interface Holding {
  readonly ask: number
  readonly target: string
  readonly service: string
  readonly organisation: string
  readonly tier: commonTypes.Rank
  readonly promptTokens: number
  readonly answerTokens: number
  readonly nonIdempotent: boolean
  readonly fingerprint: string
  readonly runningMs: number
}

/** An entry's answer to `Collect`. Waiting asks follow as asks of their own. */
export interface Holdings {
  readonly kind: 'holdings'
  readonly pool: string
  readonly holdings: readonly Holding[]
}

/** Before a shed: no tier less important than `tier` may start or go on in the pool for `holdMs`. */
export interface Floor {
  readonly kind: 'floor'
  readonly pool: string
  readonly tier: commonTypes.Rank
  readonly holdMs: number
}

/** No revocable request below the floor runs in the pool any more; `running` counts those that may not be revoked. */
export interface FloorReached {
  readonly kind: 'floor-reached'
  readonly pool: string
  readonly tier: commonTypes.Rank
  readonly running: number
}

/** A piece of news that is passed on until every daemon has it. */
export type News =
  | MemberNews
  | TargetNews
  | SuspectNews
  | RevisionNews

/** What is known of a daemon. Of two, the one with the higher `beat` is newer; at the same beat, `gone` beats `leaving` beats `alive`. */
export interface MemberNews {
  readonly kind: 'member'
  readonly incarnation: commonTypes.Incarnation
  readonly address: commonTypes.Address
  readonly peerAddress: commonTypes.Address
  readonly availabilityZone: string
  readonly region: string
  /** Counts the member's own `BEAT_INTERVAL_MS`; also the epoch of the identities it owns. */
  readonly beat: number
  readonly state: 'alive' | 'leaving' | 'gone'
  /** Requests in progress, as a share of the daemon's limit: 0 to 1. */
  readonly load: number
}

/** A target is leaving, or has returned with a higher version. */
export interface TargetNews {
  readonly kind: 'target'
  readonly target: string
  readonly version: number
  readonly state: 'leaving' | 'serving'
}

/** Content that was in flight when targets crashed. Of two, the higher `version` is newer. */
export interface SuspectNews {
  readonly kind: 'suspect'
  readonly fingerprint: string
  readonly version: number
  readonly state: 'suspect' | 'refused' | 'cleared'
  readonly crashes: number
  readonly remainingMs: number
}

/** A service document's revision that the sender has in force. */
export interface RevisionNews {
  readonly kind: 'revision'
  readonly service: string
  readonly revision: number
}

/** Probe of a peer, with news. The receiver answers with `Ack` and the same sequence. */
export interface Probe {
  readonly kind: 'probe'
  readonly sequence: number
  readonly news: readonly News[]
}

/** Answer to a probe, with news. */
export interface Ack {
  readonly kind: 'ack'
  readonly sequence: number
  readonly news: readonly News[]
}

/** Asks a peer to probe another on the sender's behalf. */
export interface IndirectProbe {
  readonly kind: 'indirect-probe'
  readonly sequence: number
  readonly incarnation: commonTypes.Incarnation
}

/** Answer to an indirect probe that succeeded. */
export interface IndirectAck {
  readonly kind: 'indirect-ack'
  readonly sequence: number
  readonly incarnation: commonTypes.Incarnation
}

/** Asks a peer for a document at or above a revision, when the platform can't be reached. */
export interface DocumentRequest {
  readonly kind: 'document-request'
  readonly service: string
  readonly revision: number
}

/** A document as it stands in the platform's store. */
export interface DocumentCopy {
  readonly kind: 'document-copy'
  readonly service: string
  readonly revision: number
  /** The stored JSON text; empty for a deleted document. */
  readonly content: string
}

/** Everything that one daemon sends to another. */
export type PeerMessage =
  | Ask | Withdraw | Round | Grant | Refusal | Release | Revocation
  | Collect | Holdings | Floor | FloorReached
  | Probe | Ack | IndirectProbe | IndirectAck
  | DocumentRequest | DocumentCopy

/** A message on its way to a peer. */
export interface Outbound {
  readonly to: commonTypes.Incarnation
  readonly message: PeerMessage
}
