/**
 * One request in the model engine: its place in the batch, its answer so far, and its log entry.
 *
 * @module
 */
import * as answerToken from './answer-token.js'
import * as batch from './batch.js'
import * as completionFormat from './completion-format.js'
import type * as engineRequest from './engine-request.js'

/** How a request ended, or that it runs. */
export type Outcome = 'running' | 'finished' | 'cancelled' | 'closed-early' | 'crashed'

/** One request in the engine's log. Times are milliseconds; undefined when they did not come. */
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
  /** Prompt tokens computed. */
  readonly prefilledTokens: number
  /** Prompt tokens computed for a request that did not finish. */
  readonly wastedPrefillTokens: number
  readonly answerTokens: number
  readonly decodedTokens: number
}

/** Gets the events of a streamed answer. */
export interface Reader {
  readonly onEvent: (event: string) => void
  readonly onEnd: () => void
}

/** One request in the engine. */
export class Job {
  events: readonly string[] = []
  readonly readers = new Set<Reader>()
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

  get answer (): string {
    return answerToken.answerText(this.request.marker, 0, this.sequence.wholeTokens)
  }

  content (text: string, finished: boolean): completionFormat.Content {
    const usage = { promptTokens: this.request.promptTokens, completionTokens: this.sequence.wholeTokens, cachedTokens: this.sequence.cachedTokens }
    const wantsUsage = finished && (this.request.includeUsage || !this.request.stream)
    return { form: this.request.form, id: this.id, model: this.request.model, text, finished, ...(wantsUsage ? { usage } : {}) }
  }

  /** Publishes the tokens that are new as one event; the last tokens at once, others at an interval. */
  publish (nowMs: number, intervalMs: number): void {
    if (!this.sequence.done && nowMs - this.#publishedAtMs < intervalMs) return
    this.#publishedAtMs = nowMs
    const text = answerToken.answerText(this.request.marker, this.#publishedTokens, this.sequence.wholeTokens)
    this.#publishedTokens = this.sequence.wholeTokens
    const event = completionFormat.chunkEvent(this.content(text, this.sequence.done))
    this.events = [...this.events, event]
    for (const reader of this.readers) reader.onEvent(event)
  }

  /** Frees the events of a stream that can no longer be resumed. */
  dropEvents (): void {
    this.events = []
  }

  end (outcome: Outcome, atMs: number): void {
    this.outcome = outcome
    this.endedAtMs = atMs
    for (const reader of this.readers) reader.onEnd()
  }

  /** Gives the events from an index on, now and later; returns a function that stops it. */
  read (after: number, reader: Reader): () => void {
    for (const event of this.events.slice(after)) reader.onEvent(event)
    if (this.outcome !== 'running') {
      reader.onEnd()
      return () => undefined
    }
    this.readers.add(reader)
    return () => { this.readers.delete(reader) }
  }

  get logEntry (): LogEntry {
    const { sequence, request } = this
    const isWasted = this.outcome !== 'finished' && this.outcome !== 'running'
    const prefilledTokens = Math.round(sequence.prefilled)
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
      decodedTokens: sequence.wholeTokens
    }
  }
}
