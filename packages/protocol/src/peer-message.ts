/**
 * Messages between daemons. Each is sent as the parameters of a JSON-RPC 2.0 notification whose
 * method is the message's kind. The handshake of a connection establishes the incarnations of sender
 * and receiver, so messages do not contain them.
 *
 * Units: times are milliseconds, costs are tokens.
 *
 * @module
 */
import type * as reason from './reason.js'
import type * as commonTypes from './common-types.js'

/** Request of an entry to the authority of a pool for a slot. `ask` is unique within the entry's incarnation. */
export interface SlotRequest {
  readonly kind: 'ask'
  readonly ask: number
  readonly pool: string
  readonly service: string
  readonly organisation: string
  readonly tier: commonTypes.Rank
  readonly promptTokens: number
  readonly answerTokens: number
  /** Hashes of prefixes of the prompt, shortest first. The i-th covers `PREFIX_TOKENS * 2 ** i` tokens. */
  readonly prefixes: readonly string[]
  /** Time left until the caller's deadline when the message was sent. */
  readonly deadlineMs: number
  readonly nonIdempotent: boolean
  /** Hash of service and content. Every resend of the same content has the same hash. */
  readonly fingerprint: string
  /** Time that the request had waited when the message was sent. */
  readonly waitedMs: number
  /** The entry's latest freshness round. */
  readonly round: number
}

/** The entry cancels a slot request that has not been granted. */
export interface Withdraw {
  readonly kind: 'withdraw'
  readonly ask: number
}

/** Sent every `ROUND_INTERVAL_MS` by an entry with waiting slot requests. A grant that echoes a round is no older than that round. */
export interface Round {
  readonly kind: 'round'
  readonly round: number
}

/** The authority grants a slot at a target. The grant is valid while the round that it echoes is younger than `GRANT_VALIDITY_MS`. */
export interface Grant {
  readonly kind: 'grant'
  readonly ask: number
  readonly target: string
  readonly round: number
  readonly figures: reason.Figures
}

/** The authority refuses a slot request. No part of the request was run. */
export interface Refusal {
  readonly kind: 'refusal'
  readonly ask: number
  readonly reason: reason.Reason
  readonly retryAfterMs: number
  readonly figures: reason.Figures
}

/** How the use of a slot ended. `unused`: the entry dispatched nothing on it. `crashed`: the connection to the target broke during the request. */
export type SlotOutcome = 'finished' | 'failed' | 'crashed' | 'cancelled' | 'unused' | 'unreachable'

/** The entry releases a slot and reports the usage and latency of the request. */
export interface Release {
  readonly kind: 'release'
  readonly ask: number
  readonly outcome: SlotOutcome
  readonly promptTokens: number
  /** Prompt tokens that the engine had cached. Omitted when the engine did not report them. */
  readonly cachedTokens?: number | undefined
  readonly answerTokens: number
  /** Milliseconds from dispatch to the first token, or 0 when there was none. */
  readonly firstTokenMs: number
  /** Milliseconds from dispatch to the end. */
  readonly totalMs: number
}

/** The authority revokes a slot. The entry releases it in any case; `cause` determines whether it cancels a dispatched request. */
export interface Revocation {
  readonly kind: 'revocation'
  readonly ask: number
  /** `preempted`: cancel the request if it was dispatched. `withdrawn`: the grant must no longer be used, but a dispatched request continues. */
  readonly cause: 'preempted' | 'withdrawn'
}

/** A new authority requests an entry's holdings in a pool. */
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

/** An entry's reply to `Collect`. Waiting slot requests follow as separate messages. */
export interface Holdings {
  readonly kind: 'holdings'
  readonly pool: string
  readonly holdings: readonly Holding[]
}

/** Sent before shedding: no tier less important than `tier` may start or continue requests in the pool for `holdMs`. */
export interface Floor {
  readonly kind: 'floor'
  readonly pool: string
  readonly tier: commonTypes.Rank
  readonly holdMs: number
}

/** No revocable request below the priority floor is running in the pool any more. `running` counts the requests that may not be revoked. */
export interface FloorReached {
  readonly kind: 'floor-reached'
  readonly pool: string
  readonly tier: commonTypes.Rank
  readonly running: number
}

/** Update that is disseminated to all daemons. */
export type Update =
  | MemberUpdate
  | TargetUpdate
  | SuspectUpdate
  | RevisionUpdate

/** State of a member. The update with the higher `beat` is newer; at equal `beat`, `gone` overrides `leaving`, which overrides `alive`. */
export interface MemberUpdate {
  readonly kind: 'member'
  readonly incarnation: commonTypes.Incarnation
  readonly address: commonTypes.Address
  readonly peerAddress: commonTypes.Address
  readonly availabilityZone: string
  readonly region: string
  /** Heartbeat counter, which the member increments every `HEARTBEAT_INTERVAL_MS`. Also the epoch of the identities that it owns. */
  readonly beat: number
  readonly state: 'alive' | 'leaving' | 'gone'
  /** Requests in progress, as a share of the daemon's limit: 0 to 1. */
  readonly load: number
}

/** A target is leaving, or serves again under a higher version. */
export interface TargetUpdate {
  readonly kind: 'target'
  readonly target: string
  readonly version: number
  readonly state: 'leaving' | 'serving'
}

/** Content that was in flight when targets crashed. The update with the higher `version` is newer. */
export interface SuspectUpdate {
  readonly kind: 'suspect'
  readonly fingerprint: string
  readonly version: number
  readonly state: 'suspect' | 'refused' | 'cleared'
  readonly crashes: number
  readonly remainingMs: number
}

/** Revision of a service document that is in force at the sender. */
export interface RevisionUpdate {
  readonly kind: 'revision'
  readonly service: string
  readonly revision: number
}

/** Probes a peer and carries updates. The receiver replies with an `Ack` of the same sequence. */
export interface Probe {
  readonly kind: 'probe'
  readonly sequence: number
  readonly news: readonly Update[]
}

/** Reply to a probe. Carries updates. */
export interface Ack {
  readonly kind: 'ack'
  readonly sequence: number
  readonly news: readonly Update[]
}

/** Requests that a peer probe another member on the sender's behalf. */
export interface IndirectProbe {
  readonly kind: 'indirect-probe'
  readonly sequence: number
  readonly incarnation: commonTypes.Incarnation
}

/** Reply to an indirect probe that succeeded. */
export interface IndirectAck {
  readonly kind: 'indirect-ack'
  readonly sequence: number
  readonly incarnation: commonTypes.Incarnation
}

/** Requests a document at or above a revision from a peer when the platform can't be reached. */
export interface DocumentRequest {
  readonly kind: 'document-request'
  readonly service: string
  readonly revision: number
}

/** Copy of a document in the platform's store. */
export interface DocumentCopy {
  readonly kind: 'document-copy'
  readonly service: string
  readonly revision: number
  /** Stored JSON text. Empty for a deleted document. */
  readonly content: string
}

/** Any message between daemons. */
export type PeerMessage =
  | SlotRequest | Withdraw | Round | Grant | Refusal | Release | Revocation
  | Collect | Holdings | Floor | FloorReached
  | Probe | Ack | IndirectProbe | IndirectAck
  | DocumentRequest | DocumentCopy

/** Message to be sent to a peer. */
export interface Outbound {
  readonly to: commonTypes.Incarnation
  readonly message: PeerMessage
}
