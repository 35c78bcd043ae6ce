/**
 * Estimates the response times of an engine with continuous batching from its responses.
 *
 * @module
 */

/** Initial estimates before the first response, from the deployments' data sheets. */
const INITIAL_FIRST_EVENT_MS = 62
const INITIAL_PREFILL_MS_PER_TOKEN = 0.008
const INITIAL_DECODE_MS_PER_TOKEN = 4.3

/** Weight of a new sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.15

/** Samples of the latency factor are clamped to this range to limit outliers. */
const MIN_LATENCY_FACTOR = 0.1
const MAX_LATENCY_FACTOR = 10

/** Speed estimate of one engine. */
export interface EngineEstimate {
  /** Generation time relative to the data sheet: 2 means twice as long. */
  readonly latencyFactor: () => number
  /** Records the time from dispatch to the first event, and the prompt tokens that were pending prefill before it. */
  readonly recordFirstEvent: (elapsedMs: number, promptTokens: number) => void
  /** Records the time between two events. */
  readonly recordEventInterval: (intervalMs: number, tokensPerEvent: number) => void
  readonly firstEventMs: (promptTokens: number) => number
  readonly generationMs: (tokens: number) => number
}

function clamp (value: number): number {
  return Math.min(MAX_LATENCY_FACTOR, Math.max(MIN_LATENCY_FACTOR, value))
}

/**
 * Creates the speed estimate of one engine.
 *
 * @example
 * ```ts
 * const estimate = createEngineEstimate()
 * estimate.recordEventInterval(26, 6)
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
