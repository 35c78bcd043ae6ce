/**
 * Estimates how fast a target works from responses, here and at peers.
 *
 * The time to the first event is a fixed part plus a part for each prompt token that waits for prefill; the generation takes
 * a time for each token. Both are fitted to sums over samples. Sums of several daemons and targets add up, so that a new
 * daemon starts with what its peers measured, and a new target with the mean of its service. Samples are divided by the work
 * factor of their moment, so that a response from a disturbed host does not count as the usual speed.
 *
 * @module
 */

/** Weighted sums over samples: prompts in thousands of tokens, times in ms. */
export interface SpeedSums {
  readonly firsts: number
  readonly prompts: number
  readonly firstMs: number
  readonly promptSquares: number
  readonly promptFirstMs: number
  readonly intervals: number
  readonly tokenMs: number
}

/** Sums as peers report them, in the order of `SpeedSums`. */
export type SpeedRow = readonly [firsts: number, prompts: number, firstMs: number, promptSquares: number, promptFirstMs: number, intervals: number, tokenMs: number]

/** Usual times of a target. */
export interface Speed {
  /** Time to the first event without prefill, or of a plain response, ms. */
  readonly baseMs: number
  readonly prefillMsPerToken: number
  readonly decodeMsPerToken: number
}

/** The size of a request. */
export interface RequestSize {
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Speed of one target as measured here and reported by peers. */
export interface TargetSpeed {
  /** Records the time from dispatch to the first event, or of a plain response, and the prompt tokens that were pending prefill. */
  readonly recordFirst: (elapsedMs: number, pendingTokens: number, factor: SampledFactor) => void
  /** Records the time between two events. */
  readonly recordInterval: (intervalMs: number, tokens: number, factor: SampledFactor) => void
  readonly applyPeer: (peer: string, row: SpeedRow) => void
  /** Returns what this daemon has measured, for peers; undefined if that is nothing. */
  readonly report: () => SpeedRow | undefined
  /** Returns the sums of this daemon and its peers. */
  readonly sums: () => SpeedSums
}

/** Work factor at the time of a sample, and whether the target reported it recently. */
export interface SampledFactor {
  readonly factor: number
  readonly isRecent: boolean
}

/** Share that the earlier samples of a target keep with each new one: the estimate follows some twenty responses. */
const FIRST_RETENTION = 0.95

/** The same for times between events, of which each response has dozens. */
const INTERVAL_RETENTION = 0.995

/** Weight of a sample from a time for which the work factor is unknown: it may have been disturbed. */
const UNKNOWN_FACTOR_WEIGHT = 0.2

/** Weight of the service's mean in the estimate of one target, in samples. */
const PRIOR_WEIGHT = 2

/** Maximum weight of the sums that one peer reports, as its own retention allows. */
const MAX_FIRSTS = 1 / (1 - FIRST_RETENTION)
const MAX_INTERVALS = 1 / (1 - INTERVAL_RETENTION)

/** Samples are limited to this multiple of the estimate, as a request that waited at the target does not show its speed. */
const MAX_SAMPLE_FACTOR = 6

const TOKENS_PER_UNIT = 1_000
const DECIMALS = 100

/** Sums over no samples. */
export const NO_SAMPLES: SpeedSums = { firsts: 0, prompts: 0, firstMs: 0, promptSquares: 0, promptFirstMs: 0, intervals: 0, tokenMs: 0 }

function scaled (sums: SpeedSums, firstFactor: number, intervalFactor: number): SpeedSums {
  return {
    firsts: sums.firsts * firstFactor,
    prompts: sums.prompts * firstFactor,
    firstMs: sums.firstMs * firstFactor,
    promptSquares: sums.promptSquares * firstFactor,
    promptFirstMs: sums.promptFirstMs * firstFactor,
    intervals: sums.intervals * intervalFactor,
    tokenMs: sums.tokenMs * intervalFactor
  }
}

/**
 * Returns the sums over the samples of both.
 *
 * @example
 * ```ts
 * const all = records.reduce((sums, record) => addSums(sums, record.speed.sums()), NO_SAMPLES)
 * ```
 */
export function addSums (a: SpeedSums, b: SpeedSums): SpeedSums {
  return {
    firsts: a.firsts + b.firsts,
    prompts: a.prompts + b.prompts,
    firstMs: a.firstMs + b.firstMs,
    promptSquares: a.promptSquares + b.promptSquares,
    promptFirstMs: a.promptFirstMs + b.promptFirstMs,
    intervals: a.intervals + b.intervals,
    tokenMs: a.tokenMs + b.tokenMs
  }
}

/** Limits the weight of sums, so that a service's mean or a peer does not outweigh what is measured at a target. */
function limitWeight (sums: SpeedSums, maxFirsts: number, maxIntervals: number): SpeedSums {
  return scaled(sums, Math.min(1, maxFirsts / Math.max(sums.firsts, Number.EPSILON)), Math.min(1, maxIntervals / Math.max(sums.intervals, Number.EPSILON)))
}

/** Fits the times to the sums; times of which there is no sample are 0, so that nothing is refused for them. */
function fit ({ firsts, prompts, firstMs, promptSquares, promptFirstMs, intervals, tokenMs }: SpeedSums): Speed {
  const decodeMsPerToken = intervals > 0 ? tokenMs / intervals : 0
  if (firsts <= 0) return { baseMs: 0, prefillMsPerToken: 0, decodeMsPerToken }
  const spread = firsts * promptSquares - prompts * prompts
  // Prompts of one size only don't show which part of the time depends on it.
  const slope = spread > firsts * promptSquares * 0.001 ? Math.max(0, (firsts * promptFirstMs - prompts * firstMs) / spread) : 0
  const base = (firstMs - slope * prompts) / firsts
  if (base >= 0) return { baseMs: base, prefillMsPerToken: slope / TOKENS_PER_UNIT, decodeMsPerToken }
  return { baseMs: 0, prefillMsPerToken: promptFirstMs / promptSquares / TOKENS_PER_UNIT, decodeMsPerToken }
}

/**
 * Returns the usual times of a target whose service has the sums `service`.
 *
 * @example
 * ```ts
 * const speed = speedOf(record.speed.sums(), serviceSums)
 * ```
 */
export function speedOf (target: SpeedSums, service: SpeedSums): Speed {
  return fit(addSums(target, limitWeight(service, PRIOR_WEIGHT, PRIOR_WEIGHT)))
}

/** Returns the time to the first event when these tokens are pending prefill, ms. */
export function firstEventMs ({ baseMs, prefillMsPerToken }: Speed, pendingTokens: number): number {
  return baseMs + pendingTokens * prefillMsPerToken
}

/** Returns the time that a request occupies a slot at an otherwise idle target, ms. */
export function slotMs (speed: Speed, { promptTokens, outputTokens }: RequestSize): number {
  return firstEventMs(speed, promptTokens) + outputTokens * speed.decodeMsPerToken
}

function toRow ({ firsts, prompts, firstMs, promptSquares, promptFirstMs, intervals, tokenMs }: SpeedSums): SpeedRow {
  const round = (value: number): number => Math.round(value * DECIMALS) / DECIMALS
  return [round(firsts), round(prompts), round(firstMs), round(promptSquares), round(promptFirstMs), round(intervals), round(tokenMs)]
}

/**
 * Creates the speed of a target of which nothing is known.
 *
 * @example
 * ```ts
 * const speed = createTargetSpeed()
 * speed.recordFirst(160, 6_600, { factor: 1, isRecent: true })
 * ```
 */
export function createTargetSpeed (): TargetSpeed {
  const peers = new Map<string, SpeedSums>()
  let own = NO_SAMPLES

  const sums = (): SpeedSums => [...peers.values()].reduce(addSums, own)

  /** Returns a sample at the usual speed. */
  function usualMs (elapsedMs: number, expectedMs: number, { factor }: SampledFactor): number {
    const sampleMs = elapsedMs / Math.max(factor, 1 / MAX_SAMPLE_FACTOR)
    return expectedMs > 0 ? Math.min(sampleMs, MAX_SAMPLE_FACTOR * expectedMs) : sampleMs
  }

  return {
    recordFirst: (elapsedMs, pendingTokens, factor) => {
      const prompt = pendingTokens / TOKENS_PER_UNIT
      const ms = usualMs(elapsedMs, firstEventMs(fit(sums()), pendingTokens), factor)
      const weight = factor.isRecent ? 1 : UNKNOWN_FACTOR_WEIGHT
      const sample = scaled({ ...NO_SAMPLES, firsts: 1, prompts: prompt, firstMs: ms, promptSquares: prompt * prompt, promptFirstMs: prompt * ms }, weight, 0)
      own = addSums(scaled(own, FIRST_RETENTION ** weight, 1), sample)
    },
    recordInterval: (intervalMs, tokens, factor) => {
      const ms = usualMs(intervalMs / tokens, fit(sums()).decodeMsPerToken, factor)
      const weight = factor.isRecent ? 1 : UNKNOWN_FACTOR_WEIGHT
      own = addSums(scaled(own, 1, INTERVAL_RETENTION ** weight), { ...NO_SAMPLES, intervals: weight, tokenMs: weight * ms })
    },
    applyPeer: (peer, [firsts, prompts, firstMs, promptSquares, promptFirstMs, intervals, tokenMs]) => {
      peers.set(peer, limitWeight({ firsts, prompts, firstMs, promptSquares, promptFirstMs, intervals, tokenMs }, MAX_FIRSTS, MAX_INTERVALS))
    },
    report: () => own.firsts > 0 || own.intervals > 0 ? toRow(own) : undefined,
    sums
  }
}
