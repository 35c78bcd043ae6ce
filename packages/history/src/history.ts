/**
 * Histories: what callers, targets, the platform and operators saw, on one clock of the test. Nothing
 * that a daemon says of itself is part of a history.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/**
 * A caller sent a request. `call` names this one sending; `request` names what the caller regards as
 * one request, so that a resend under the same identity is a new call of the same request. Callers put
 * the request's name into what they send, where targets read it.
 */
export interface Sent {
  readonly kind: 'sent'
  readonly atMs: number
  readonly call: number
  readonly request: string
  readonly service: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  /** The daemon that the caller connected to, by a name that the test gives each process. */
  readonly daemon: string
  readonly deadlineMs: number | undefined
}

/** A caller received a part of an answer. */
export interface Received {
  readonly kind: 'received'
  readonly atMs: number
  readonly call: number
  readonly text: string
}

/** A caller received the proper end of an answer. */
export interface Answered {
  readonly kind: 'answered'
  readonly atMs: number
  readonly call: number
}

/** A caller received a refusal, before or after a part of an answer. */
export interface Refused {
  readonly kind: 'refused'
  readonly atMs: number
  readonly call: number
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
}

/** A call was sent on to another daemon, or the connection was refused before anything was sent. */
export interface Redirected {
  readonly kind: 'redirected'
  readonly atMs: number
  readonly call: number
}

/** A call's connection closed without a final answer. */
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

/** A target stopped working on a request. `answer` is all that it wrote. */
export interface RunEnded {
  readonly kind: 'run-ended'
  readonly atMs: number
  readonly run: number
  /** `cancelled`: its connection was closed from outside. `broken`: the target crashed, closed early or answered with an error. */
  readonly outcome: 'finished' | 'cancelled' | 'broken'
  readonly answer: string
}

/** The first sign that a target is leaving was there for a daemon to see, or the target is back. */
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

/** An operator was told whether a change took effect. */
export interface ChangeReported {
  readonly kind: 'change-reported'
  readonly atMs: number
  readonly service: string
  readonly change: string
  readonly accepted: boolean
}

/** A daemon acted by a revision of a service document. */
export interface DocumentObserved {
  readonly kind: 'document-observed'
  readonly atMs: number
  readonly service: string
  readonly revision: number
  readonly daemon: string
}

/** A daemon was frozen, or cut off from the platform and all peers, or this ended. */
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

/** The process of a daemon ended. Without a stop before it, it was killed. */
export interface ProcessEnded {
  readonly kind: 'process-ended'
  readonly atMs: number
  readonly daemon: string
  /** Exit code; undefined when a signal ended the process. */
  readonly code: number | undefined
}

/** One thing that somebody outside the daemons saw. */
export type Fact =
  | Sent | Received | Answered | Refused | Redirected | Disconnected
  | RunStarted | RunEnded | TargetChanged
  | DocumentAccepted | ChangeReported | DocumentObserved | IsolationChanged
  | StopBegun | ProcessEnded

/** Facts in the order of their times. */
export interface History {
  readonly facts: readonly Fact[]
  /** Targets that serve a service, by the service's name. */
  readonly targets: ReadonlyMap<string, readonly string[]>
}

/** A promise that was not kept. */
export interface Violation {
  readonly promise: string
  readonly atMs: number
  readonly message: string
}

/** A predicate over histories: no violations means that the promise was kept. */
export type Predicate = (history: History) => readonly Violation[]
