/**
 * The limit in flight of one target, in requests, learned so that the target's own queue stays short.
 *
 * Per finished request with gradient g = min(1, allowed / measured time), the limit falls by 1 - g when
 * g < 1, and otherwise, while it is in use, grows by 1 in slow start (RFC 5681), by 1 / limit
 * afterwards, and by a quarter while the batch has no effect on the time between tokens. Source of the gradient: the Gradient limit of Netflix's concurrency-limits library.
 *
 * @module
 */
import * as rateEstimator from './rate-estimator.js'

/** A limit that moves. */
export interface Limit {
  readonly requests: () => number
  /** A request finished; `inFlight` requests were in flight with it. */
  readonly observe: (gradient: number, isUncontended: boolean, inFlight: number) => void
  /** The target's batch was full with `running` requests. */
  readonly cap: (running: number) => void
  /** Starts again from a small limit. */
  readonly restart: () => void
}

const INITIAL_REQUESTS = 16
const MIN_REQUESTS = 1
const MAX_REQUESTS = 4_096
const FIRST_TOKEN_NOISE_MS = 400
const FIRST_TOKEN_TOLERANCE = 2
/** Time between tokens that is allowed, as a multiple of the shortest; above 1 so that the batch stays full. */
const DECODE_TOLERANCE = 1.25
const MIN_GRADIENT = 0.5
/** Time by which a stream's end may be seen later than its begin without any effect, milliseconds. */
const DELIVERY_NOISE_MS = 100
/** Time between tokens up to which the batch counts as uncrowded, as a multiple of the shortest. */
const UNCONTENDED_TOLERANCE = 1.05
const UNCONTENDED_GROWTH_REQUESTS = 0.25
/** Share of the limit that must be in use, with one request more, before the limit grows. */
const IN_USE_SHARE = 0.8

/**
 * How far a finished request was within what its target's best would give: 1 when it was, less when it was late.
 *
 * @example
 * ```ts
 * gradientOf(sample, 120, rates) // 0.8
 * ```
 */
export function gradientOf (sample: rateEstimator.Sample, expectedFirstTokenMs: number, rates: rateEstimator.Rates): number {
  const allowedFirstTokenMs = FIRST_TOKEN_TOLERANCE * expectedFirstTokenMs + FIRST_TOKEN_NOISE_MS
  const timePerTokenMs = rateEstimator.decodeTime(sample) ?? 0
  const noiseMs = DELIVERY_NOISE_MS / Math.max(1, sample.answerTokens - 1)
  const allowedDecodeMs = Math.min(sample.betweenTokensMs ?? Infinity, Math.max(1, DECODE_TOLERANCE * rates.bestDecodeMs)) + noiseMs
  const gradient = Math.min(1, allowedFirstTokenMs / Math.max(1, sample.firstTokenMs), allowedDecodeMs / Math.max(1e-3, timePerTokenMs))
  return Math.max(MIN_GRADIENT, gradient)
}

/** Whether a finished request was as fast between tokens as on an almost empty target. */
export function isUncontended (sample: rateEstimator.Sample, rates: rateEstimator.Rates): boolean {
  return (rateEstimator.decodeTime(sample) ?? Infinity) <= UNCONTENDED_TOLERANCE * rates.bestDecodeMs
}

/**
 * Creates a limit.
 *
 * @example
 * ```ts
 * const limit = createLimit()
 * limit.requests() // 16
 * ```
 */
export function createLimit (): Limit {
  let requests = INITIAL_REQUESTS
  let isSlowStart = true

  return {
    requests: () => requests,
    observe (gradient, isUncontended, inFlight) {
      if (gradient < 1) {
        isSlowStart = false
        requests -= 1 - gradient
      } else if (inFlight + 1 > requests * IN_USE_SHARE) {
        requests += isSlowStart ? 1 : Math.max(1 / requests, isUncontended ? UNCONTENDED_GROWTH_REQUESTS : 0)
      }
      requests = Math.min(MAX_REQUESTS, Math.max(MIN_REQUESTS, requests))
    },
    cap (running) {
      if (running >= requests) return
      isSlowStart = false
      requests = Math.max(MIN_REQUESTS, running)
    },
    restart () {
      requests = INITIAL_REQUESTS
      isSlowStart = true
    }
  }
}
