/**
 * One request in the model engine: its sequence in the batch, its generated text so far, and its log entry.
 *
 * @module
 */
import * as answerToken from './answer-token.js'
import * as batch from './batch.js'
import * as completionFormat from './completion-format.js'
import type * as engineRequest from './engine-request.js'

/** How a request ended, or `running`. */
export type Outcome = 'running' | 'finished' | 'cancelled' | 'closed-early' | 'crashed'

/** One request in the engine's log. Times are in milliseconds; undefined for moments that were not reached. */
export interface LogEntry {
  readonly id: string
  readonly marker: string
  readonly user: string | undefined
  readonly identity: string | undefined
  readonly arrivedAtMs: number
  readonly arrivedWhileLeaving: boolean
  readonly startedAtMs: number | undefined
  readonly firstByteAtMs: number | undefined
  readonly endedAtMs: number | undefined
  readonly outcome: Outcome
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Prompt tokens that were prefilled. */
  readonly prefilledTokens: number
  /** Prefilled prompt tokens of a request that ended without finishing. */
  readonly wastedPrefillTokens: number
  readonly answerTokens: number
  readonly decodedTokens: number
}

/** Receives the events of a streamed response. */
export interface EventSubscriber {
  readonly onEvent: (event: string) => void
  readonly onEnd: () => void
}

/** One request in the engine. */
export class Job {
  events: readonly string[] = []
  readonly subscribers = new Set<EventSubscriber>()
  readonly sequence: batch.Sequence
  outcome: Outcome = 'running'
  startedAtMs: number | undefined
  firstByteAtMs: number | undefined
  endedAtMs: number | undefined
  #publishedTokens = 0
  #publishedAtMs = -Infinity

  constructor (
    readonly id: string,
    readonly request: engineRequest.EngineRequest,
    readonly arrivedAtMs: number,
    readonly arrivedWhileLeaving: boolean
  ) {
    this.sequence = new batch.Sequence(id, request.promptTokens, request.answerTokens)
  }

  get answerText (): string {
    return answerToken.answerText(this.request.marker, 0, this.sequence.completeTokens)
  }

  toContent (text: string, finished: boolean): completionFormat.Content {
    const usage = { promptTokens: this.request.promptTokens, completionTokens: this.sequence.completeTokens, cachedTokens: this.sequence.cachedTokens }
    const includesUsage = finished && (this.request.includeUsage || !this.request.stream)
    return { form: this.request.form, id: this.id, model: this.request.model, text, finished, ...(includesUsage ? { usage } : {}) }
  }

  /** Publishes new tokens as one event: the last tokens immediately, others at an interval. */
  publish (nowMs: number, intervalMs: number): void {
    if (!this.sequence.isDone && nowMs - this.#publishedAtMs < intervalMs) return
    this.#publishedAtMs = nowMs
    const text = answerToken.answerText(this.request.marker, this.#publishedTokens, this.sequence.completeTokens)
    this.#publishedTokens = this.sequence.completeTokens
    const event = completionFormat.chunkEvent(this.toContent(text, this.sequence.isDone))
    this.events = [...this.events, event]
    for (const subscriber of this.subscribers) subscriber.onEvent(event)
  }

  /** Drops the events of a stream that can no longer be resumed. */
  dropEvents (): void {
    this.events = []
  }

  end (outcome: Outcome, atMs: number): void {
    this.outcome = outcome
    this.endedAtMs = atMs
    for (const subscriber of this.subscribers) subscriber.onEnd()
  }

  /** Passes past and future events from an index on to a subscriber; returns a function that unsubscribes it. */
  subscribe (after: number, subscriber: EventSubscriber): () => void {
    for (const event of this.events.slice(after)) subscriber.onEvent(event)
    if (this.outcome !== 'running') {
      subscriber.onEnd()
      return () => undefined
    }
    this.subscribers.add(subscriber)
    return () => { this.subscribers.delete(subscriber) }
  }

  get logEntry (): LogEntry {
    const { sequence, request } = this
    const isWasted = this.outcome !== 'finished' && this.outcome !== 'running'
    const prefilledTokens = Math.round(sequence.prefilledTokens)
    return {
      id: this.id,
      marker: request.marker,
      user: request.user,
      identity: request.identity,
      arrivedAtMs: this.arrivedAtMs,
      arrivedWhileLeaving: this.arrivedWhileLeaving,
      startedAtMs: this.startedAtMs,
      firstByteAtMs: this.firstByteAtMs,
      endedAtMs: this.endedAtMs,
      outcome: this.outcome,
      promptTokens: request.promptTokens,
      cachedTokens: sequence.cachedTokens,
      prefilledTokens,
      wastedPrefillTokens: isWasted ? prefilledTokens : 0,
      answerTokens: request.answerTokens,
      decodedTokens: sequence.completeTokens
    }
  }
}
