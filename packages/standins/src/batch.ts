/**
 * Continuous batching: running sequences share a prefill rate and a decode rate; the rest wait in
 * order of arrival.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Rates of an engine. */
export interface Options {
  readonly prefillTokensPerS: number
  readonly decodeTokensPerS: number
  /** Decode rate of one sequence alone. */
  readonly maxDecodeTokensPerSequencePerS: number
  readonly maxBatch: number
}

/** One request in the engine. */
export class Sequence {
  prefilled = 0
  decoded = 0
  cachedTokens = 0
  started = false
  stalled = false

  constructor (readonly id: string, readonly promptTokens: number, readonly answerTokens: number) {}

  get prefillLeft (): number {
    return Math.max(0, this.promptTokens - this.cachedTokens - this.prefilled)
  }

  get wholeTokens (): number {
    return Math.min(this.answerTokens, Math.floor(this.decoded))
  }

  get done (): boolean {
    return this.prefillLeft === 0 && this.wholeTokens >= this.answerTokens
  }
}

/** Gets what happens to sequences. */
export interface Observer {
  /** The sequence enters the batch; sets `cachedTokens`. */
  readonly onStart: (sequence: Sequence) => void
  readonly onPrefilled: (sequence: Sequence) => void
  /** The sequence has new tokens. */
  readonly onTokens: (sequence: Sequence) => void
  readonly onDone: (sequence: Sequence) => void
}

/** The batch and the queue before it. */
export class Batch {
  readonly running = new Set<Sequence>()
  readonly waiting = new Set<Sequence>()

  constructor (readonly options: Options, readonly observer: Observer) {}

  add (sequence: Sequence): void {
    this.waiting.add(sequence)
    this.#fill()
  }

  remove (sequence: Sequence): void {
    this.waiting.delete(sequence)
    this.running.delete(sequence)
    this.#fill()
  }

  clear (): void {
    this.waiting.clear()
    this.running.clear()
  }

  get tokensInProgress (): number {
    let tokens = 0
    for (const sequence of this.running) tokens += sequence.prefillLeft + sequence.answerTokens - sequence.wholeTokens
    return tokens
  }

  /** Runs the batch for a time; `speed` below 1 makes the engine a straggler. */
  advance (durationMs: number, speed: number): void {
    const seconds = durationMs * speed / MS_PER_S
    this.#prefill(this.options.prefillTokensPerS * seconds)
    this.#decode(seconds)
    this.#fill()
  }

  #fill (): void {
    for (const sequence of this.waiting) {
      if (this.running.size >= this.options.maxBatch) return
      this.waiting.delete(sequence)
      this.running.add(sequence)
      sequence.started = true
      this.observer.onStart(sequence)
      if (sequence.prefillLeft === 0) this.observer.onPrefilled(sequence)
    }
  }

  // Prefill runs in order of arrival, as most engines do it.
  #prefill (budget: number): void {
    let left = budget
    for (const sequence of this.running) {
      if (left <= 0) return
      const work = Math.min(left, sequence.prefillLeft)
      if (work === 0) continue
      sequence.prefilled += work
      left -= work
      if (sequence.prefillLeft === 0) this.observer.onPrefilled(sequence)
    }
  }

  #decode (seconds: number): void {
    const decoding = [...this.running].filter((sequence) => sequence.prefillLeft === 0 && !sequence.stalled)
    const share = Math.min(this.options.maxDecodeTokensPerSequencePerS, this.options.decodeTokensPerS / Math.max(1, decoding.length)) * seconds
    for (const sequence of decoding) {
      const before = sequence.wholeTokens
      sequence.decoded += share
      if (sequence.wholeTokens > before) this.observer.onTokens(sequence)
      if (sequence.done) {
        this.running.delete(sequence)
        this.observer.onDone(sequence)
      }
    }
  }
}
