/**
 * Estimates the prefill and decode rates of one target from finished requests.
 *
 * @module
 */

/** Rates of a target. For a plain service the time of the whole call counts as first-token time. */
export interface Rates {
  /** Prompt tokens prefilled per millisecond, at the target's best. */
  readonly prefillTokensPerMs: number
  /** Time to the first token without the prefill, milliseconds. */
  readonly baseMs: number
  /** Average time between tokens, milliseconds. */
  readonly decodeMs: number
  /** Shortest recent time between tokens, milliseconds. */
  readonly bestDecodeMs: number
  /** Number of finished requests that the rates are based on. */
  readonly samples: number
}

/** Measurements of a finished request. */
export interface Sample {
  readonly uncachedTokens: number
  readonly answerTokens: number
  readonly costTokens: number
  /** Wait for the prefill of earlier prompts that was expected at the grant, milliseconds. */
  readonly backlogMs: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Objective for the time between tokens, if the tier has one. */
  readonly betweenTokensMs: number | undefined
}

const DEFAULT_RATES: Rates = { prefillTokensPerMs: 4, baseMs: 20, decodeMs: 20, bestDecodeMs: 20, samples: 0 }
const MIN_PREFILL_SAMPLE_TOKENS = 512
const MIN_PREFILL_TOKENS_PER_MS = 1e-6
const BETTER_GAIN = 0.3
const WORSE_GAIN = 0.01
/** Half-life with which the rate of a plain service moves to worse times, milliseconds; long, because a queue soon passes while a slower service stays slow. */
const PLAIN_WORSE_HALF_LIFE_MS = 120_000
const DECODE_GAIN = 0.1
/** Gains with which the shortest time between tokens falls and rises; it rises slowly, so that a full target is not mistaken for a slow one. */
const BEST_DECODE_FALL_GAIN = 0.3
const BEST_DECODE_RISE_GAIN = 0.002
const FULL_WEIGHT_ANSWER_TOKENS = 128
/** Wait for the prefill of earlier prompts above which a first-token time does not lower the prefill rate, milliseconds. */
const MAX_PREFILL_BACKLOG_MS = 20

/** Returns the time between the tokens of a finished request, milliseconds; undefined for responses of a single token. */
export function decodeTime (sample: Sample): number | undefined {
  if (sample.answerTokens <= 1) return undefined
  return Math.max(0, sample.totalMs - sample.firstTokenMs) / (sample.answerTokens - 1)
}

/** Updates the prefill rate. Whatever the base time is, a first-token time is a lower bound on the prefill rate. */
function updatePrefillRate (kind: 'model' | 'plain', rates: Rates, sample: Sample, worseGain: number): number {
  const isShort = kind === 'model' && sample.uncachedTokens < MIN_PREFILL_SAMPLE_TOKENS
  const isDelayed = sample.backlogMs > MAX_PREFILL_BACKLOG_MS
  const measured = sample.uncachedTokens / Math.max(1, sample.firstTokenMs)
  const isBetter = measured > rates.prefillTokensPerMs
  if (!isBetter && (isShort || isDelayed)) return rates.prefillTokensPerMs
  const gain = rates.samples === 0 ? 1 : isBetter ? BETTER_GAIN : worseGain
  return Math.max(MIN_PREFILL_TOKENS_PER_MS, rates.prefillTokensPerMs + gain * (measured - rates.prefillTokensPerMs))
}

function updateBaseTime (rates: Rates, sample: Sample, prefillTokensPerMs: number, worseGain: number): number {
  const measuredBaseMs = Math.max(0, sample.firstTokenMs - sample.backlogMs - sample.uncachedTokens / prefillTokensPerMs)
  return rates.baseMs + (measuredBaseMs < rates.baseMs ? BETTER_GAIN : worseGain) * (measuredBaseMs - rates.baseMs)
}

/** Updates the shortest time between tokens. Short responses have less weight, as the jitter of their events distorts the time. */
function updateBestDecodeTime (bestMs: number, measuredMs: number, answerTokens: number): number {
  const weight = Math.min(1, answerTokens / FULL_WEIGHT_ANSWER_TOKENS) ** 2
  const gain = measuredMs < bestMs ? BEST_DECODE_FALL_GAIN : BEST_DECODE_RISE_GAIN
  return bestMs + weight * gain * (measuredMs - bestMs)
}

/** Returns the rates before the first request; `prior` holds rates measured on the same hardware. */
export function initialRates (kind: 'model' | 'plain', prior: Rates | undefined): Rates {
  const initial = { ...prior ?? DEFAULT_RATES, samples: 0 }
  return kind === 'plain' ? { ...initial, baseMs: 0, decodeMs: 0 } : initial
}

/** Returns the gain for worse measurements. For plain services it depends on the time passed and not on the number of calls, which come by the thousand. */
function worseGainFor (kind: 'model' | 'plain', samples: number, elapsedMs: number): number {
  if (samples === 1) return 1
  if (kind === 'plain') return 1 - 2 ** (-elapsedMs / PLAIN_WORSE_HALF_LIFE_MS)
  return Math.max(WORSE_GAIN, 1 / samples)
}

/**
 * Returns the rates after one more finished request. They follow better measurements fast and worse ones slowly, so
 * that they describe the target without a queue of its own. `elapsedMs` is the time since the previous sample.
 *
 * @example
 * ```ts
 * const rates = updateRates('model', initialRates('model', undefined), sample, 40)
 * ```
 */
export function updateRates (kind: 'model' | 'plain', rates: Rates, sample: Sample, elapsedMs: number): Rates {
  const samples = rates.samples + 1
  const worseGain = worseGainFor(kind, samples, elapsedMs)
  const prefillTokensPerMs = updatePrefillRate(kind, rates, sample, kind === 'model' ? WORSE_GAIN : worseGain)
  const baseMs = kind === 'plain' ? 0 : updateBaseTime(rates, sample, prefillTokensPerMs, worseGain)
  const measured = decodeTime(sample)
  if (measured === undefined) return { ...rates, prefillTokensPerMs, baseMs, samples }
  const isFirst = rates.samples === 0
  const decodeMs = isFirst ? measured : rates.decodeMs + DECODE_GAIN * (measured - rates.decodeMs)
  const bestDecodeMs = isFirst ? measured : updateBestDecodeTime(rates.bestDecodeMs, measured, sample.answerTokens)
  return { prefillTokensPerMs, baseMs, decodeMs, bestDecodeMs, samples }
}

/** Returns the initial rates of a new target: those of the target with the median prefill rate. */
export function pickPrior (measured: readonly Rates[]): Rates | undefined {
  const sorted = measured.filter((rates) => rates.samples > 0)
    .sort((a, b) => a.prefillTokensPerMs - b.prefillTokensPerMs)
  return sorted[sorted.length >> 1]
}
