/**
 * What is known of one target: tokens in flight, measured rates, the limit in flight, and how much
 * slower it is than it was.
 *
 * @module
 */
import * as limit from './limit.js'
import * as latencyFactor from './latency-factor.js'
import * as prefillBacklog from './prefill-backlog.js'
import * as rateEstimator from './rate-estimator.js'
import * as externalLoad from './external-load.js'
import type * as event from './event.js'

/** Expected times of one request on one target, milliseconds. */
export interface Expectation {
  readonly firstTokenMs: number
  readonly totalMs: number
}

/** State of a target as the authority sees it. */
export interface TargetModel {
  readonly rates: () => rateEstimator.Rates
  /** The limit in flight, as tokens of that many requests of mean cost. */
  readonly limitTokens: () => number
  readonly limitRequests: () => number
  readonly tokensInFlight: () => number
  readonly requests: () => number
  /** Whether one more request fits under a share of the limit, with a short wait for its prompt to be read. */
  readonly hasFreeSlot: (share: number, promptTokens: number, nowMs: number) => boolean
  /** Time until the prompts in flight are read, milliseconds. */
  readonly backlogMs: (nowMs: number) => number
  /** Recent first-token times against the target's own best; 1 is normal. */
  readonly latencyFactor: (nowMs: number) => number
  /** Tokens that the target finishes in a millisecond when it is filled to its limit. */
  readonly serviceTokensPerMs: () => number
  /** Times on the idle target. */
  readonly estimateIdle: (uncachedTokens: number, answerTokens: number) => Expectation
  /** Times beside what is in flight. */
  readonly estimateUnderLoad: (uncachedTokens: number, answerTokens: number, nowMs: number) => Expectation
  readonly add: (costTokens: number, uncachedTokens: number, nowMs: number) => void
  /** Removes a request whose prompt was expected to be read at `prefilledMs`. */
  readonly remove: (costTokens: number, prefilledAtMs: number, nowMs: number) => void
  readonly observe: (sample: rateEstimator.Sample, nowMs: number) => void
  /** A request finished that showed no first token. */
  readonly observeTotal: (totalMs: number) => void
  /** A running request is late by this factor. */
  readonly observeOverdue: (factor: number, nowMs: number) => void
  readonly report: (report: event.LoadReport, nowMs: number) => void
  /** Starts again carefully, as after an outage. */
  readonly restart: () => void
}

/** First-token times below this are not compared, milliseconds. */
const MIN_COMPARED_MS = 100
const SERVICE_TIME_GAIN = 0.1
const COST_GAIN = 0.1
/** Longest wait for earlier prompts with which a target still takes a request, milliseconds. */
const MAX_BACKLOG_MS = 400
/** Share by which the time between tokens grows until the limit is reached. */
const CONTENTION_SHARE = 0.25

/** Expected times at measured rates, without a queue. */
function estimateTimes (rates: rateEstimator.Rates, uncachedTokens: number, answerTokens: number): Expectation {
  const firstTokenMs = rates.baseMs + uncachedTokens / rates.prefillTokensPerMs
  return { firstTokenMs, totalMs: firstTokenMs + answerTokens * rates.decodeMs }
}

/**
 * Creates the model of a target. `prior` is what its like on the same hardware measured.
 *
 * @example
 * ```ts
 * const model = createTargetModel('model', undefined)
 * model.add(1_200, 1_000, nowMs)
 * model.knownTokens() // 1200
 * ```
 */
export function createTargetModel (kind: 'model' | 'plain', prior: rateEstimator.Rates | undefined): TargetModel {
  const externalRequests = externalLoad.createExternalLoad()
  const requestLimit = limit.createLimit()
  const firstTokenFactor = latencyFactor.createLatencyFactor()
  const backlog = prefillBacklog.createPrefillBacklog()
  let rates = rateEstimator.initialRates(kind, prior)
  let observedAtMs = 0
  let tokensInFlight = 0
  let requests = 0
  let meanCostTokens = 0
  let meanServiceTimeMs = 0

  function observeTotal (totalMs: number): void {
    meanServiceTimeMs += (meanServiceTimeMs === 0 ? 1 : SERVICE_TIME_GAIN) * (totalMs - meanServiceTimeMs)
  }

  return {
    rates: () => rates,
    limitTokens: () => requestLimit.requests() * meanCostTokens,
    limitRequests: requestLimit.requests,
    tokensInFlight: () => tokensInFlight,
    requests: () => requests,
    hasFreeSlot (share, promptTokens, nowMs) {
      if (requests === 0) return true
      // Tiers that leave headroom also leave it behind their own prompt.
      const waitMs = backlog.waitMs(nowMs)
      const ownPrefillMs = share < 1 && waitMs > 0 ? promptTokens / rates.prefillTokensPerMs : 0
      return requests + externalRequests.requests(nowMs) + 1 <= requestLimit.requests() * share && waitMs + ownPrefillMs <= MAX_BACKLOG_MS * share
    },
    backlogMs: backlog.waitMs,
    latencyFactor: firstTokenFactor.at,
    serviceTokensPerMs () {
      const meanMs = meanServiceTimeMs || estimateTimes(rates, meanCostTokens / 2, meanCostTokens / 2).totalMs
      return Math.max(requestLimit.requests() * meanCostTokens, 1) / Math.max(1, meanMs)
    },
    estimateIdle: (uncachedTokens, answerTokens) => estimateTimes(rates, uncachedTokens, answerTokens),
    estimateUnderLoad (uncachedTokens, answerTokens, nowMs) {
      const idle = estimateTimes(rates, uncachedTokens, answerTokens)
      const firstTokenMs = backlog.waitMs(nowMs) + idle.firstTokenMs
      return { firstTokenMs, totalMs: firstTokenMs + (idle.totalMs - idle.firstTokenMs) * (1 + CONTENTION_SHARE * requests / requestLimit.requests()) }
    },
    add (costTokens, uncachedTokens, nowMs) {
      meanCostTokens = meanCostTokens === 0 ? costTokens : meanCostTokens + COST_GAIN * (costTokens - meanCostTokens)
      tokensInFlight += costTokens
      requests += 1
      if (kind === 'model') backlog.add(uncachedTokens / rates.prefillTokensPerMs, nowMs)
      externalRequests.record(nowMs, requests)
    },
    remove (costTokens, prefilledAtMs, nowMs) {
      backlog.correct(prefilledAtMs, nowMs)
      requests = Math.max(0, requests - 1)
      tokensInFlight = requests === 0 ? 0 : Math.max(0, tokensInFlight - costTokens)
      externalRequests.record(nowMs, requests)
    },
    observe (sample, nowMs) {
      const isFirst = rates.samples === 0
      const expectedMs = sample.backlogMs + estimateTimes(rates, sample.uncachedTokens, 0).firstTokenMs
      const gradient = limit.gradientOf(sample, expectedMs, rates)
      rates = rateEstimator.updateRates(kind, rates, sample, nowMs - observedAtMs)
      observedAtMs = nowMs
      observeTotal(sample.totalMs)
      if (isFirst) return
      firstTokenFactor.observe(sample.firstTokenMs / Math.max(MIN_COMPARED_MS, expectedMs), nowMs)
      requestLimit.observe(gradient, limit.isUncontended(sample, rates), requests + 1)
    },
    observeTotal,
    observeOverdue (factor, nowMs) { if (factor > firstTokenFactor.at(nowMs)) firstTokenFactor.observe(factor, nowMs) },
    report (report, nowMs) {
      externalRequests.report(report, nowMs)
      if (report.queuedRequests > 0) requestLimit.cap(report.runningRequests)
    },
    restart () {
      requestLimit.restart()
      firstTokenFactor.reset()
      backlog.clear()
    }
  }
}
