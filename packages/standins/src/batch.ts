/**
 * Simulates continuous batching: running sequences share a prefill rate and a decode rate; the others
 * wait in order of arrival.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Rates of an engine. */
export interface Options {
  readonly prefillTokensPerS: number
  readonly decodeTokensPerS: number
  /** Decode rate of a sequence that runs alone. */
  readonly maxDecodeTokensPerSequencePerS: number
  readonly maxBatch: number
}

/** The progress of one request. */
export class Sequence {
  prefilledTokens = 0
  decodedTokens = 0
  cachedTokens = 0
  hasStarted = false
  isStalled = false

  constructor (readonly id: string, readonly promptTokens: number, readonly answerTokens: number) {}

  get remainingPrefillTokens (): number {
    return Math.max(0, this.promptTokens - this.cachedTokens - this.prefilledTokens)
  }

  get completeTokens (): number {
    return Math.min(this.answerTokens, Math.floor(this.decodedTokens))
  }

  get isDone (): boolean {
    return this.remainingPrefillTokens === 0 && this.completeTokens >= this.answerTokens
  }
}

/** Receives the events of sequences. */
export interface Observer {
  /** Called when a sequence enters the batch; sets its `cachedTokens`. */
  readonly onStart: (sequence: Sequence) => void
  readonly onPrefilled: (sequence: Sequence) => void
  /** Called when a sequence has new tokens. */
  readonly onTokens: (sequence: Sequence) => void
  readonly onDone: (sequence: Sequence) => void
}

/** The batch and its queue. */
export class Batch {
  readonly running = new Set<Sequence>()
  readonly waiting = new Set<Sequence>()

  constructor (readonly options: Options, readonly observer: Observer) {}

  add (sequence: Sequence): void {
    this.waiting.add(sequence)
    this.#admitWaiting()
  }

  remove (sequence: Sequence): void {
    this.waiting.delete(sequence)
    this.running.delete(sequence)
    this.#admitWaiting()
  }

  clear (): void {
    this.waiting.clear()
    this.running.clear()
  }

  get tokensInProgress (): number {
    let tokens = 0
    for (const sequence of this.running) tokens += sequence.remainingPrefillTokens + sequence.answerTokens - sequence.completeTokens
    return tokens
  }

  /** Advances the batch by a duration; a `speed` below 1 makes the engine a straggler. */
  advance (durationMs: number, speed: number): void {
    const seconds = durationMs * speed / MS_PER_S
    this.#prefill(this.options.prefillTokensPerS * seconds)
    this.#decode(seconds)
    this.#admitWaiting()
  }

  #admitWaiting (): void {
    for (const sequence of this.waiting) {
      if (this.running.size >= this.options.maxBatch) return
      this.waiting.delete(sequence)
      this.running.add(sequence)
      sequence.hasStarted = true
      this.observer.onStart(sequence)
      if (sequence.remainingPrefillTokens === 0) this.observer.onPrefilled(sequence)
    }
  }

  // Prefills in order of arrival, as most engines do.
  #prefill (budget: number): void {
    let remainingBudget = budget
    for (const sequence of this.running) {
      if (remainingBudget <= 0) return
      const prefillTokens = Math.min(remainingBudget, sequence.remainingPrefillTokens)
      if (prefillTokens === 0) continue
      sequence.prefilledTokens += prefillTokens
      remainingBudget -= prefillTokens
      if (sequence.remainingPrefillTokens === 0) this.observer.onPrefilled(sequence)
    }
  }

  #decode (seconds: number): void {
    const decoding = [...this.running].filter((sequence) => sequence.remainingPrefillTokens === 0 && !sequence.isStalled)
    const tokensPerSequence = Math.min(this.options.maxDecodeTokensPerSequencePerS, this.options.decodeTokensPerS / Math.max(1, decoding.length)) * seconds
    for (const sequence of decoding) {
      const previousTokens = sequence.completeTokens
      sequence.decodedTokens += tokensPerSequence
      if (sequence.completeTokens > previousTokens) this.observer.onTokens(sequence)
      if (sequence.isDone) {
        this.running.delete(sequence)
        this.observer.onDone(sequence)
      }
    }
  }
}
