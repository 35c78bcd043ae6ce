/**
 * Histories: what callers, targets, the platform and operators observed, timed by one clock of the test.
 * Nothing that a daemon reports about itself is part of a history.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/**
 * A caller sent a request. `call` identifies this sending. `request` names what the caller regards as one
 * request, so a resend under the same identity is a new call of the same request. Callers include the
 * request's name in what they send, and targets read it from there.
 */
export interface Sent {
  readonly kind: 'sent'
  readonly atMs: number
  readonly call: number
  readonly request: string
  readonly service: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  /** The daemon that the caller connected to, by the name that the test gave to its process. */
  readonly daemon: string
  readonly deadlineMs: number | undefined
}

/** A caller received part of a response. */
export interface Received {
  readonly kind: 'received'
  readonly atMs: number
  readonly call: number
  readonly text: string
}

/** A caller received the proper end of a response. */
export interface Answered {
  readonly kind: 'answered'
  readonly atMs: number
  readonly call: number
}

/** A caller received a refusal, possibly after part of a response. */
export interface Refused {
  readonly kind: 'refused'
  readonly atMs: number
  readonly call: number
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
}

/** A call was redirected to another daemon, or the connection was refused before anything was sent. */
export interface Redirected {
  readonly kind: 'redirected'
  readonly atMs: number
  readonly call: number
}

/** The connection of a call was closed before the call had a final outcome. */
export interface Disconnected {
  readonly kind: 'disconnected'
  readonly atMs: number
  readonly call: number
  readonly by: 'caller' | 'daemon'
}

/** A target received the first byte of a request. */
export interface RunStarted {
  readonly kind: 'run-started'
  readonly atMs: number
  readonly run: number
  readonly target: string
  readonly request: string
  readonly service: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
}

/** A target stopped working on a request. `answer` is the text that it wrote. */
export interface RunEnded {
  readonly kind: 'run-ended'
  readonly atMs: number
  readonly run: number
  /** `cancelled`: its connection was closed from outside. `broken`: the target crashed, closed the connection early or responded with an error. */
  readonly outcome: 'finished' | 'cancelled' | 'broken'
  readonly answer: string
}

/** A sign that a target is leaving became visible to daemons, or the target returned. */
export interface TargetChanged {
  readonly kind: 'target-leaving' | 'target-returned'
  readonly atMs: number
  readonly target: string
}

/** The platform's compare-and-swap for a service document took effect. */
export interface DocumentAccepted {
  readonly kind: 'document-accepted'
  readonly atMs: number
  readonly service: string
  readonly revision: number
  readonly change: string
}

/** A report to an operator stated whether a change took effect. */
export interface ChangeReported {
  readonly kind: 'change-reported'
  readonly atMs: number
  readonly service: string
  readonly change: string
  readonly accepted: boolean
}

/** A daemon applied a revision of a service document. */
export interface DocumentObserved {
  readonly kind: 'document-observed'
  readonly atMs: number
  readonly service: string
  readonly revision: number
  readonly daemon: string
}

/** A daemon was frozen or disconnected from the platform and all peers, or this ended. */
export interface IsolationChanged {
  readonly kind: 'isolation-begun' | 'isolation-ended'
  readonly atMs: number
  readonly daemon: string
}

/** An operator began a planned stop of a daemon. */
export interface StopBegun {
  readonly kind: 'stop-begun'
  readonly atMs: number
  readonly daemon: string
}

/** The process of a daemon ended. If no planned stop began before, it was killed. */
export interface ProcessEnded {
  readonly kind: 'process-ended'
  readonly atMs: number
  readonly daemon: string
  /** Exit code; undefined when a signal ended the process. */
  readonly code: number | undefined
}

/** One observation made outside the daemons. */
export type Fact =
  | Sent | Received | Answered | Refused | Redirected | Disconnected
  | RunStarted | RunEnded | TargetChanged
  | DocumentAccepted | ChangeReported | DocumentObserved | IsolationChanged
  | StopBegun | ProcessEnded

/** Facts ordered by time. */
export interface History {
  readonly facts: readonly Fact[]
  /** Targets of each service, by the service's name. */
  readonly targets: ReadonlyMap<string, readonly string[]>
}

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: string
  readonly atMs: number
  readonly message: string
}

/** Checks a history for violations of one guarantee. */
export type GuaranteeCheck = (history: History) => readonly Violation[]
