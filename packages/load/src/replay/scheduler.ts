/**
 * What a replay asks of a scheduler, so that the cores and the baselines run under the same conditions.
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

/** Why a request ended without its answer. */
export interface Failure {
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
}

/** What a scheduler works with. */
export interface Surroundings {
  readonly timeline: timeline.Timeline
  readonly header: trace.Header
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  readonly random: protocol.Random
  /** Starts a request on a target. */
  readonly dispatch: (request: Request, target: string, onEnd: (job: engine.Job) => void) => engine.Job
  readonly cancel: (job: engine.Job, target: string) => void
  /** The request gets no answer of a target. */
  readonly fail: (request: Request, failure: Failure) => void
  readonly count: (counter: string, value: number) => void
}

/** Places the requests of a trace. */
export interface Scheduler {
  readonly arrive: (request: Request) => void
  /** The caller closed its connection. */
  readonly abandon: (request: Request) => void
  readonly load: (target: string, engine: engine.Engine) => void
}

/** Creates a scheduler for one replay. */
export type Factory = (surroundings: Surroundings) => Scheduler
