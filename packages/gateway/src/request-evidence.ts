/**
 * What one request shows about whether its traits crash targets, whether they allow it to be sent, and how a target serves it.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import * as rolloutSamples from './rollout-samples.js'

/** Dependencies of the evidence. */
export type Dependencies = Pick<contextModule.Context, 'now' | 'suspects' | 'isArbiterOf'>

interface Attempt {
  readonly target: string
  readonly sentMs: number
  /** Time of the first event. */
  readonly begunMs: number | undefined
  /** Whether the target has gone on after its first event, so that the request does not crash it. */
  readonly isProven: boolean
}

/**
 * The evidence of one request.
 *
 * @example
 * ```ts
 * const evidence = new RequestEvidence(context, traits, route)
 * if (evidence.admit().kind === 'admitted') send()
 * ```
 */
export class RequestEvidence {
  /** What the dispatch in progress has experienced. */
  readonly measures: rolloutSamples.AttemptMeasures
  private attempt: Attempt | undefined
  private isOnTrial = false

  constructor (private readonly dependencies: Dependencies, private readonly traits: routing.crash.Traits, route: Pick<routing.document.Route, 'name' | 'kind'>) {
    this.measures = new rolloutSamples.AttemptMeasures(route)
  }

  /** Decides whether the request may be placed. */
  admit (): routing.suspects.Verdict {
    const { now, suspects, isArbiterOf } = this.dependencies
    const verdict = suspects.admit(this.traits, now(), isArbiterOf)
    this.isOnTrial = verdict.kind === 'admitted' && verdict.isOnTrial
    return verdict
  }

  /** Returns the trait that was refused since the request was admitted, if there is one. */
  refusedTrait (): string | undefined {
    return this.isOnTrial ? undefined : this.dependencies.suspects.refusedTrait(this.traits, this.dependencies.now())
  }

  /** Records that the request is being sent to a target. */
  begin (target: string): void {
    const nowMs = this.dependencies.now()
    this.measures.begin(nowMs)
    this.attempt = { target, sentMs: nowMs, begunMs: undefined, isProven: false }
  }

  /** Records events of the response; those after the first prove that the request does not crash its target. */
  recordEvent (): void {
    const { attempt } = this
    if (attempt === undefined) return
    this.measures.recordEvent(this.dependencies.now())
    if (attempt.begunMs === undefined) this.attempt = { ...attempt, begunMs: this.dependencies.now() }
    else this.prove(attempt, attempt.begunMs)
  }

  /** Records that the response is complete. */
  recordResponse (): void {
    if (this.attempt !== undefined) this.prove(this.attempt, this.attempt.begunMs ?? this.dependencies.now())
  }

  /** Records that the target broke off; returns whether the request may be repeated. */
  recordBreak (): boolean {
    const { attempt, traits } = this
    if (attempt === undefined || attempt.isProven) return true
    const { now, suspects } = this.dependencies
    const nowMs = now()
    suspects.recordCrash({ ...traits, target: attempt.target, sentMs: attempt.sentMs, atMs: nowMs }, 'own', nowMs)
    return !suspects.isDoubtful(traits)
  }

  private prove (attempt: Attempt, begunMs: number): void {
    if (attempt.isProven) return
    this.attempt = { ...attempt, isProven: true }
    this.dependencies.suspects.recordAnswer(this.traits, begunMs, this.dependencies.now())
  }
}
