/**
 * Adaptive concurrency limit of one target, in requests, which keeps the target's own queue short.
 *
 * Each finished request has a gradient g = min(1, allowed / measured time). When g < 1, the limit falls by 1 - g.
 * Otherwise, while the limit is in use, it grows: by 1 in slow start (RFC 5681), afterwards by 1 / limit, or by a
 * quarter while the batch does not lengthen the time between tokens. The gradient follows the Gradient limit of
 * Netflix's concurrency-limits library.
 *
 * @module
 */
import * as rateEstimator from './rate-estimator.js'

/** An adaptive concurrency limit. */
export interface Limit {
  readonly requests: () => number
  /** Adjusts the limit to a finished request; `inFlight` requests were in flight, including this one. */
  readonly observe: (gradient: number, isUncontended: boolean, inFlight: number) => void
  /** Lowers the limit to `running`, the number of requests that filled the target's batch. */
  readonly cap: (running: number) => void
  /** Resets the limit to its initial value, in slow start. */
  readonly restart: () => void
}

const INITIAL_REQUESTS = 16
const MIN_REQUESTS = 1
const MAX_REQUESTS = 4_096
const FIRST_TOKEN_NOISE_MS = 400
const FIRST_TOKEN_TOLERANCE = 2
/** Allowed time between tokens, as a multiple of the shortest; above 1 so that the batch stays full. */
const DECODE_TOLERANCE = 1.25
const MIN_GRADIENT = 0.5
/** Delay of a stream's end relative to its start that is ignored as delivery noise, milliseconds. */
const DELIVERY_NOISE_MS = 100
/** Time between tokens up to which a request counts as uncontended, as a multiple of the shortest. */
const UNCONTENDED_TOLERANCE = 1.05
const UNCONTENDED_GROWTH_REQUESTS = 0.25
/** Share of the limit that must be in use, counting one more request, before the limit grows. */
const IN_USE_SHARE = 0.8

/**
 * Returns the gradient of a finished request: 1 when it kept within the times allowed at the target's best rates, less
 * when it was late.
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

/** Returns whether a finished request was about as fast between tokens as on an almost empty target. */
export function isUncontended (sample: rateEstimator.Sample, rates: rateEstimator.Rates): boolean {
  return (rateEstimator.decodeTime(sample) ?? Infinity) <= UNCONTENDED_TOLERANCE * rates.bestDecodeMs
}

/**
 * Creates a limit at its initial value.
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
