/**
 * Expected times of an engine that batches continuously, learned from its answers.
 *
 * @module
 */

/** First guesses before any answer was seen; origin: the deployments' data sheets. */
const INITIAL_FIRST_EVENT_MS = 62
const INITIAL_PREFILL_MS_PER_TOKEN = 0.008
const INITIAL_DECODE_MS_PER_TOKEN = 4.3

/** Weight of a new sample. */
const SMOOTHING_FACTOR = 0.15

/** Bounds of one sample of slowness, against outliers. */
const MIN_LATENCY_FACTOR = 0.1
const MAX_LATENCY_FACTOR = 10

/** What is known of an engine's speed. */
export interface EngineEstimate {
  /** 1 is an engine of the data sheet; 2 takes twice as long. */
  readonly latencyFactor: () => number
  /** Takes over the time from dispatch to the first event, with the prompt tokens that were to be read before it. */
  readonly recordFirstEvent: (elapsedMs: number, promptTokens: number) => void
  /** Takes over the time between two events. */
  readonly recordEventInterval: (intervalMs: number, tokensPerEvent: number) => void
  readonly firstEventMs: (promptTokens: number) => number
  readonly generationMs: (tokens: number) => number
}

function clamp (value: number): number {
  return Math.min(MAX_LATENCY_FACTOR, Math.max(MIN_LATENCY_FACTOR, value))
}

/**
 * Creates the estimate of one engine.
 *
 * @example
 * ```ts
 * const estimate = createEngineEstimate()
 * estimate.learnPause(26, 6)
 * const expectedMs = estimate.firstEventMs(6_600)
 * ```
 */
export function createEngineEstimate (): EngineEstimate {
  let firstEventFactor = 1
  let generationFactor = 1
  const smooth = (previous: number, sample: number): number => previous + SMOOTHING_FACTOR * (clamp(sample) - previous)
  return {
    latencyFactor: () => generationFactor,
    recordFirstEvent: (elapsedMs, promptTokens) => {
      firstEventFactor = smooth(firstEventFactor, elapsedMs / (INITIAL_FIRST_EVENT_MS + promptTokens * INITIAL_PREFILL_MS_PER_TOKEN))
    },
    recordEventInterval: (intervalMs, tokensPerEvent) => { generationFactor = smooth(generationFactor, intervalMs / (tokensPerEvent * INITIAL_DECODE_MS_PER_TOKEN)) },
    firstEventMs: (promptTokens) => firstEventFactor * (INITIAL_FIRST_EVENT_MS + promptTokens * INITIAL_PREFILL_MS_PER_TOKEN),
    generationMs: (tokens) => generationFactor * tokens * INITIAL_DECODE_MS_PER_TOKEN
  }
}
