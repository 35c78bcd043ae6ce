/**
 * Measured prefill and decode rates of one target.
 *
 * @module
 */

/** Rates of a target. For a plain service the whole call counts as its first token. */
export interface Rates {
  /** Prompt tokens read in a millisecond, at the target's best. */
  readonly prefillTokensPerMs: number
  /** Time to the first token apart from reading the prompt, milliseconds. */
  readonly baseMs: number
  /** Usual time between tokens, milliseconds. */
  readonly decodeMs: number
  /** Shortest recent time between tokens, milliseconds. */
  readonly bestDecodeMs: number
  /** Finished requests behind these figures. */
  readonly samples: number
}

/** What a finished request showed. */
export interface Sample {
  readonly uncachedTokens: number
  readonly answerTokens: number
  readonly costTokens: number
  /** Wait for earlier prompts that was expected at the grant. */
  readonly backlogMs: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Objective for the time between tokens, if the service states one. */
  readonly betweenTokensMs: number | undefined
}

const DEFAULT_RATES: Rates = { prefillTokensPerMs: 4, baseMs: 20, decodeMs: 20, bestDecodeMs: 20, samples: 0 }
const MIN_PREFILL_SAMPLE_TOKENS = 512
const MIN_PREFILL_TOKENS_PER_MS = 1e-6
const GAIN_BETTER = 0.3
const GAIN_WORSE = 0.01
/** Half-life with which worse times of a plain service are taken over, milliseconds: a queue soon passes, a slower service does not. */
const PLAIN_WORSE_HALF_LIFE_MS = 120_000
const DECODE_GAIN = 0.1
/** Gains by which the shortest time between tokens changes; it rises slowly, so that a full target is not taken for a slow one. */
const BEST_DECODE_FALL_GAIN = 0.3
const BEST_DECODE_RISE_GAIN = 0.002
const FULL_WEIGHT_ANSWER_TOKENS = 128
/** Wait for earlier prompts above which a first token shows no prefill rate, milliseconds. */
const MAX_PREFILL_BACKLOG_MS = 20

/** Time between the tokens of a finished request, milliseconds; undefined for answers of a single token. */
export function decodeTime (sample: Sample): number | undefined {
  if (sample.answerTokens <= 1) return undefined
  return Math.max(0, sample.totalMs - sample.firstTokenMs) / (sample.answerTokens - 1)
}

/** The first token of a long prompt bounds the prefill rate from below, whatever the base time is. */
function updatePrefillRate (kind: 'model' | 'plain', rates: Rates, sample: Sample, gainWorse: number): number {
  const isShort = kind === 'model' && sample.uncachedTokens < MIN_PREFILL_SAMPLE_TOKENS
  const isDelayed = sample.backlogMs > MAX_PREFILL_BACKLOG_MS
  const measured = sample.uncachedTokens / Math.max(1, sample.firstTokenMs)
  const isBetter = measured > rates.prefillTokensPerMs
  if (!isBetter && (isShort || isDelayed)) return rates.prefillTokensPerMs
  const gain = rates.samples === 0 ? 1 : isBetter ? GAIN_BETTER : gainWorse
  return Math.max(MIN_PREFILL_TOKENS_PER_MS, rates.prefillTokensPerMs + gain * (measured - rates.prefillTokensPerMs))
}

function updateBaseTime (rates: Rates, sample: Sample, prefillTokensPerMs: number, gainWorse: number): number {
  const measuredBaseMs = Math.max(0, sample.firstTokenMs - sample.backlogMs - sample.uncachedTokens / prefillTokensPerMs)
  return rates.baseMs + (measuredBaseMs < rates.baseMs ? GAIN_BETTER : gainWorse) * (measuredBaseMs - rates.baseMs)
}

/** Short answers say little of the time between tokens, as their events are seen early or late. */
function updateBestDecodeTime (bestMs: number, measuredMs: number, answerTokens: number): number {
  const weight = Math.min(1, answerTokens / FULL_WEIGHT_ANSWER_TOKENS) ** 2
  const gain = measuredMs < bestMs ? BEST_DECODE_FALL_GAIN : BEST_DECODE_RISE_GAIN
  return bestMs + weight * gain * (measuredMs - bestMs)
}

/** Rates before the first request; `prior` is what targets on the same hardware measured. */
export function initialRates (kind: 'model' | 'plain', prior: Rates | undefined): Rates {
  const initial = { ...prior ?? DEFAULT_RATES, samples: 0 }
  return kind === 'plain' ? { ...initial, baseMs: 0, decodeMs: 0 } : initial
}

/** Gain for worse figures. Calls of a plain service come by the thousand, so it goes by time there and not by their number. */
function gainWorseFor (kind: 'model' | 'plain', samples: number, elapsedMs: number): number {
  if (samples === 1) return 1
  if (kind === 'plain') return 1 - 2 ** (-elapsedMs / PLAIN_WORSE_HALF_LIFE_MS)
  return Math.max(GAIN_WORSE, 1 / samples)
}

/**
 * Rates after one more finished request. Better figures are taken over fast and worse ones slowly, so
 * that the rates show the target without a queue of its own. `elapsedMs` is the time since the sample before.
 *
 * @example
 * ```ts
 * const rates = learnRates('model', startRates('model', undefined), sample, 40)
 * ```
 */
export function updateRates (kind: 'model' | 'plain', rates: Rates, sample: Sample, elapsedMs: number): Rates {
  const samples = rates.samples + 1
  const gainWorse = gainWorseFor(kind, samples, elapsedMs)
  const prefillTokensPerMs = updatePrefillRate(kind, rates, sample, kind === 'model' ? GAIN_WORSE : gainWorse)
  const baseMs = kind === 'plain' ? 0 : updateBaseTime(rates, sample, prefillTokensPerMs, gainWorse)
  const measured = decodeTime(sample)
  if (measured === undefined) return { ...rates, prefillTokensPerMs, baseMs, samples }
  const isFirst = rates.samples === 0
  const decodeMs = isFirst ? measured : rates.decodeMs + DECODE_GAIN * (measured - rates.decodeMs)
  const bestDecodeMs = isFirst ? measured : updateBestDecodeTime(rates.bestDecodeMs, measured, sample.answerTokens)
  return { prefillTokensPerMs, baseMs, decodeMs, bestDecodeMs, samples }
}

/** Rates that a new target starts from: the median of its like. */
export function pickPrior (measured: readonly Rates[]): Rates | undefined {
  const sorted = measured.filter((rates) => rates.samples > 0)
    .sort((a, b) => a.prefillTokensPerMs - b.prefillTokensPerMs)
  return sorted[sorted.length >> 1]
}
