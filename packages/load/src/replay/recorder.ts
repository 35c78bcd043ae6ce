/**
 * Records the outcomes, runs and history of a replay.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as history from '@persimmonhatch/history'
import type * as engine from './engine.js'
import type * as scheduler from './scheduler.js'

/** How a request ended for its caller. `late` means that the caller closed the connection at its deadline. */
export interface Outcome {
  readonly request: scheduler.Request
  readonly state: 'finished' | 'refused' | 'failed' | 'late' | 'unfinished'
  readonly reason: string
  readonly sentAtMs: number
  readonly firstTokenAtMs: number | undefined
  readonly endedAtMs: number | undefined
  readonly target: string | undefined
}

/** One run of a request on a target. */
export interface Run {
  readonly number: number
  readonly request: scheduler.Request
  readonly target: string
  readonly job: engine.Job | undefined
}

interface Recording {
  readonly outcomes: readonly Outcome[]
  readonly jobs: readonly Run[]
  readonly history: history.history.History
  readonly counters: ReadonlyMap<string, number>
}

const FAILURE_REASONS: ReadonlySet<string> = new Set(['target-failed'])

function toRunOutcome (job: engine.Job): history.history.RunEnded['outcome'] {
  if (job.outcome === 'finished') return 'finished'
  return job.outcome === 'cancelled' ? 'cancelled' : 'broken'
}

/** Records one replay. */
export class Recorder {
  readonly #outcomes = new Map<number, Outcome>()
  readonly #runs: Run[] = []
  readonly #facts: history.history.Fact[] = []
  readonly #counters = new Map<string, number>()

  constructor (readonly now: () => number) {}

  arrive (request: scheduler.Request): void {
    const { index, kind } = request
    this.#outcomes.set(index, { request, state: 'unfinished', reason: 'unfinished', sentAtMs: this.now(), firstTokenAtMs: undefined, endedAtMs: undefined, target: undefined })
    this.#facts.push({ kind: 'sent', atMs: this.now(), call: index, request: `r${index}`, service: kind.service, rank: kind.rank, nonIdempotent: kind.nonIdempotent, daemon: 'replay', deadlineMs: kind.deadlineMs })
  }

  start (request: scheduler.Request, target: string): Run {
    const run: Run = { number: this.#runs.length, request, target, job: undefined }
    this.#runs.push(run)
    return run
  }

  recordSubmission (run: Run, job: engine.Job): void {
    this.#runs[run.number] = { ...run, job }
    const { service, rank, nonIdempotent } = run.request.kind
    this.#facts.push({ kind: 'run-started', atMs: this.now(), run: run.number, target: run.target, request: `r${run.request.index}`, service, rank, nonIdempotent })
  }

  end (run: Run, job: engine.Job): void {
    this.#facts.push({ kind: 'run-ended', atMs: this.now(), run: run.number, outcome: toRunOutcome(job), answer: '' })
    if (job.outcome !== 'finished') return
    this.#updateOutcome(run.request, { state: 'finished', reason: 'finished', firstTokenAtMs: job.firstTokenAtMs, endedAtMs: this.now(), target: run.target })
    this.#facts.push({ kind: 'answered', atMs: this.now(), call: run.request.index })
  }

  fail (request: scheduler.Request, failure: scheduler.Failure): void {
    const state = FAILURE_REASONS.has(failure.reason) ? 'failed' : 'refused'
    if (!this.#updateOutcome(request, { state, reason: failure.reason, endedAtMs: this.now() })) return
    this.#facts.push({ kind: 'refused', atMs: this.now(), call: request.index, ...failure })
  }

  /** Handles the caller's deadline. Returns whether the request was unfinished, so that the caller disconnects. */
  expire (request: scheduler.Request): boolean {
    if (!this.#updateOutcome(request, { state: 'late', reason: 'late', endedAtMs: this.now() })) return false
    this.#facts.push({ kind: 'disconnected', atMs: this.now(), call: request.index, by: 'caller' })
    return true
  }

  count (counter: string, value: number): void {
    this.#counters.set(counter, (this.#counters.get(counter) ?? 0) + value)
  }

  result (documents: readonly document.serviceDocument.ServiceDocument[]): Recording {
    return {
      outcomes: [...this.#outcomes.values()],
      jobs: this.#runs,
      history: { facts: this.#facts, targets: new Map(documents.map((serviceDocument) => [serviceDocument.service, serviceDocument.targets.map(({ name }) => name)])) },
      counters: this.#counters
    }
  }

  #updateOutcome (request: scheduler.Request, update: Partial<Outcome>): boolean {
    const previous = this.#outcomes.get(request.index)
    if (previous === undefined || previous.state !== 'unfinished') return false
    this.#outcomes.set(request.index, { ...previous, ...update })
    return true
  }
}
