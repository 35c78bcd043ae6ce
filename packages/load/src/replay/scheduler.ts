/**
 * Interface between a replay and a scheduler, so that the cores and the baselines run under the same conditions.
 *
 * `bench:policy -- --before FOLDER` runs the cores of another checkout against it, so the names of its members, and
 * those of jobs and engines that the cores read, must not change.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import type * as trace from '../trace/trace.js'
import type * as engine from './engine.js'
import type * as timeline from './timeline.js'

/** A request of the trace. */
export interface Request {
  readonly index: number
  readonly arrival: trace.Arrival
  readonly kind: trace.Kind
  readonly organisation: string
  readonly prefixes: readonly string[]
}

/** Why a request ended without a response. */
export interface Failure {
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
}

/** Dependencies of a scheduler. */
export interface Environment {
  readonly timeline: timeline.Timeline
  readonly header: trace.Header
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  readonly random: protocol.Random
  /** Starts a request on a target. */
  readonly dispatch: (request: Request, target: string, onEnd: (job: engine.Job) => void) => engine.Job
  readonly cancel: (job: engine.Job, target: string) => void
  /** Ends a request without a response from a target. */
  readonly fail: (request: Request, failure: Failure) => void
  readonly count: (counter: string, value: number) => void
}

/** Places the requests of a trace on targets. */
export interface Scheduler {
  readonly arrive: (request: Request) => void
  /** Handles a caller that closed its connection. */
  readonly abandon: (request: Request) => void
  /** Reads the load and cache reports of a target. */
  readonly load: (target: string, engine: engine.Engine) => void
}

/** Creates a scheduler for one replay. */
export type Factory = (environment: Environment) => Scheduler
