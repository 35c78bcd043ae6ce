/**
 * Model of one target: tokens in flight, measured rates, concurrency limit, and latency factor.
 *
 * @module
 */
import * as limit from './limit.js'
import * as latencyFactor from './latency-factor.js'
import * as prefillBacklog from './prefill-backlog.js'
import * as rateEstimator from './rate-estimator.js'
import * as externalLoad from './external-load.js'
import type * as event from './event.js'

/** Expected times of one request on one target. */
export interface Expectation {
  readonly firstTokenMs: number
  readonly totalMs: number
}

/** The authority's model of a target. */
export interface TargetModel {
  readonly rates: () => rateEstimator.Rates
  /** The concurrency limit in tokens: the limit in requests times the mean cost of a request. */
  readonly limitTokens: () => number
  readonly limitRequests: () => number
  readonly tokensInFlight: () => number
  readonly requests: () => number
  /** Whether one more request fits within a share of the limit and would wait only shortly for pending prefill. */
  readonly hasFreeSlot: (share: number, promptTokens: number, nowMs: number) => boolean
  /** Time until the prefill of the prompts in flight is done, milliseconds. */
  readonly backlogMs: (nowMs: number) => number
  /** Ratio of recent first-token times to the times expected at the target's best rates; 1 is normal. */
  readonly latencyFactor: (nowMs: number) => number
  /** Tokens that the target finishes per millisecond when it is filled to its limit. */
  readonly serviceTokensPerMs: () => number
  /** Returns the expected times on the idle target. */
  readonly estimateIdle: (uncachedTokens: number, answerTokens: number) => Expectation
  /** Returns the expected times with the requests that are in flight. */
  readonly estimateUnderLoad: (uncachedTokens: number, answerTokens: number, nowMs: number) => Expectation
  readonly add: (costTokens: number, uncachedTokens: number, nowMs: number) => void
  /** Removes a request whose prefill was expected to be done at `prefilledAtMs`. */
  readonly remove: (costTokens: number, prefilledAtMs: number, nowMs: number) => void
  readonly observe: (sample: rateEstimator.Sample, nowMs: number) => void
  /** Records the total time of a finished request without a first token. */
  readonly observeTotal: (totalMs: number) => void
  /** Records that a running request exceeds its expected time by this factor. */
  readonly observeOverdue: (factor: number, nowMs: number) => void
  readonly report: (report: event.LoadReport, nowMs: number) => void
  /** Resets the limit, the latency factor and the prefill backlog, for example after an outage. */
  readonly restart: () => void
}

/** Lower bound of the expected time that a first-token time is compared with, milliseconds. */
const MIN_COMPARED_MS = 100
const SERVICE_TIME_GAIN = 0.1
const COST_GAIN = 0.1
/** Maximum wait for the prefill of earlier prompts with which a target still accepts a request, milliseconds. */
const MAX_BACKLOG_MS = 400
/** Share by which contention has lengthened the time between tokens when the limit is reached. */
const CONTENTION_SHARE = 0.25

/** Returns the expected times at the given rates, without a queue. */
function estimateTimes (rates: rateEstimator.Rates, uncachedTokens: number, answerTokens: number): Expectation {
  const firstTokenMs = rates.baseMs + uncachedTokens / rates.prefillTokensPerMs
  return { firstTokenMs, totalMs: firstTokenMs + answerTokens * rates.decodeMs }
}

/**
 * Creates the model of a target. `prior` holds rates measured on the same kind of target and hardware.
 *
 * @example
 * ```ts
 * const model = createTargetModel('model', undefined)
 * model.add(1_200, 1_000, nowMs)
 * model.tokensInFlight() // 1200
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
      // A tier that leaves headroom must leave it after the prefill of its own prompt, too.
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
