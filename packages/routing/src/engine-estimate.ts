/**
 * Expected times of an engine that batches continuously, learned from its answers.
 *
 * @module
 */

/** First guesses before any answer was seen; origin: the deployments' data sheets. */
const FIRST_EVENT_MS = 62
const PROMPT_MS_PER_TOKEN = 0.008
const TOKEN_MS = 4.3

/** Weight of a new sample. */
const LEARNING_RATE = 0.15

/** Bounds of one sample of slowness, against outliers. */
const MIN_SLOWNESS = 0.1
const MAX_SLOWNESS = 10

/** What is known of an engine's speed. */
export interface EngineEstimate {
  /** 1 is an engine of the data sheet; 2 takes twice as long. */
  readonly slowness: () => number
  /** Takes over the time from dispatch to the first event, with the prompt tokens that were to be read before it. */
  readonly learnFirstEvent: (elapsedMs: number, promptTokens: number) => void
  /** Takes over the time between two events. */
  readonly learnPause: (pauseMs: number, tokensPerEvent: number) => void
  readonly firstEventMs: (promptTokens: number) => number
  readonly generationMs: (tokens: number) => number
}

function clamp (value: number): number {
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, value))
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
  let first = 1
  let pause = 1
  const blend = (old: number, sample: number): number => old + LEARNING_RATE * (clamp(sample) - old)
  return {
    slowness: () => pause,
    learnFirstEvent: (elapsedMs, promptTokens) => {
      first = blend(first, elapsedMs / (FIRST_EVENT_MS + promptTokens * PROMPT_MS_PER_TOKEN))
    },
    learnPause: (pauseMs, tokensPerEvent) => { pause = blend(pause, pauseMs / (tokensPerEvent * TOKEN_MS)) },
    firstEventMs: (promptTokens) => first * (FIRST_EVENT_MS + promptTokens * PROMPT_MS_PER_TOKEN),
    generationMs: (tokens) => pause * tokens * TOKEN_MS
  }
}
