/**
 * The limit in flight of one target, in tokens, learned so that the target's own queue stays short.
 *
 * Per finished request of cost c: with gradient g = min(1, allowed / measured first-token time) the
 * limit falls by (1 - g) x c when g < 1, and otherwise, while it is in use, grows by c in slow start
 * (RFC 5681) and by c x max(GROWTH_SHARE, mean cost / limit) afterwards: by at least one mean request for
 * each limit's worth finished.
 * Source of the gradient: the Gradient limit of Netflix's concurrency-limits library.
 *
 * @module
 */
import * as rateEstimator from './rate-estimator.js'

/** A limit that moves. */
export interface Limit {
  readonly tokens: () => number
  /** A request of this cost is about to be added. */
  readonly observeCost: (costTokens: number) => void
  readonly meanCost: () => number
  /** A request finished; `usedTokens` were in flight with it. */
  readonly learn: (gradient: number, costTokens: number, usedTokens: number) => void
  readonly isInUse: (usedTokens: number) => boolean
  /** Starts again from a small limit. */
  readonly restart: () => void
}

const INITIAL_TOKENS = 16_384
const INITIAL_REQUESTS = 8
const MAX_TOKENS = 4_000_000
const COST_GAIN = 0.1
/** Delay of a first token, or of a plain call, that is not counted as late, milliseconds. */
const ALLOWANCE_MS = { model: 400, plain: 50 } as const
const FIRST_TOKEN_TOLERANCE = 2
const DECODE_TOLERANCE = 6
const MIN_GRADIENT = 0.5
const MIN_DECODE_MS = 1e-3
/** Share by which the limit grows for each limit's worth of requests finished in time. */
const GROWTH_SHARE = 0.2
/** The limit is never smaller than this number of mean requests. */
const MIN_REQUESTS = 2
/** Share of the limit that must be in use before the limit grows. */
const IN_USE_SHARE = 0.5

/**
 * How far a finished request was within what its target's best would give: 1 when it was, less when it
 * was late. Late first tokens count only for a target that does not report its queue.
 *
 * @example
 * ```ts
 * gradientOf('model', sample, 120, rates, true) // 0.8
 * ```
 */
export function gradientOf (kind: 'model' | 'plain', sample: rateEstimator.Sample, expectedFirstTokenMs: number, rates: rateEstimator.Rates, isUnreported: boolean): number {
  const allowedMs = FIRST_TOKEN_TOLERANCE * expectedFirstTokenMs + ALLOWANCE_MS[kind]
  const first = isUnreported ? allowedMs / Math.max(1, sample.firstTokenMs) : 1
  const decodeMs = rateEstimator.decodeTime(sample) ?? 0
  const allowedDecodeMs = sample.betweenTokensMs ?? Math.max(1, DECODE_TOLERANCE * rates.bestDecodeMs)
  return Math.max(MIN_GRADIENT, Math.min(1, first, allowedDecodeMs / Math.max(MIN_DECODE_MS, decodeMs)))
}

/**
 * Creates a limit. For plain services, whose costs have no common scale, it starts at a number of requests.
 *
 * @example
 * ```ts
 * const limit = createLimit('model')
 * limit.tokens() // 16384
 * ```
 */
export function createLimit (kind: 'model' | 'plain'): Limit {
  let mean = 0
  let tokens = kind === 'model' ? INITIAL_TOKENS : 0
  let isSlowStart = true

  function initial (): number {
    return kind === 'model' ? INITIAL_TOKENS : INITIAL_REQUESTS * mean
  }

  function isInUse (usedTokens: number): boolean {
    return usedTokens > tokens * IN_USE_SHARE
  }

  return {
    tokens: () => tokens,
    meanCost: () => mean,
    observeCost (costTokens) {
      mean = mean === 0 ? costTokens : mean + COST_GAIN * (costTokens - mean)
      if (tokens === 0) tokens = initial()
    },
    learn (gradient, costTokens, usedTokens) {
      if (gradient < 1) {
        isSlowStart = false
        tokens -= (1 - gradient) * costTokens
      } else if (isInUse(usedTokens)) {
        tokens += costTokens * (isSlowStart ? 1 : Math.max(GROWTH_SHARE, mean / tokens))
      }
      tokens = Math.min(MAX_TOKENS, Math.max(1, MIN_REQUESTS * mean, tokens))
    },
    isInUse,
    restart () {
      tokens = initial()
      isSlowStart = true
    }
  }
}
