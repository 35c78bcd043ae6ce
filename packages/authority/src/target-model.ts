/**
 * What is known of one target: tokens in flight, measured rates, the limit in flight, and how much
 * slower it is than it was.
 *
 * @module
 */
import * as limit from './limit.js'
import * as pace from './pace.js'
import * as prefillBacklog from './prefill-backlog.js'
import * as rateEstimator from './rate-estimator.js'
import * as unknownLoad from './unknown-load.js'
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
  readonly knownTokens: () => number
  readonly requests: () => number
  /** Whether one more request fits under a share of the limit, with a short wait for its prompt to be read. */
  readonly hasRoom: (share: number, promptTokens: number, nowMs: number) => boolean
  /** Time until the prompts in flight are read, milliseconds. */
  readonly backlogMs: (nowMs: number) => number
  /** Recent first-token times against the target's own best; 1 is normal. */
  readonly pace: (nowMs: number) => number
  /** Tokens that the target finishes in a millisecond when it is filled to its limit. */
  readonly serviceTokensPerMs: () => number
  /** Times on the idle target. */
  readonly expect: (uncachedTokens: number, answerTokens: number) => Expectation
  /** Times beside what is in flight. */
  readonly expectBeside: (uncachedTokens: number, answerTokens: number, nowMs: number) => Expectation
  readonly add: (costTokens: number, uncachedTokens: number, nowMs: number) => void
  /** Removes a request whose prompt was expected to be read at `prefilledMs`. */
  readonly remove: (costTokens: number, prefilledMs: number, nowMs: number) => void
  readonly learn: (sample: rateEstimator.Sample, nowMs: number) => void
  /** A request finished that showed no first token. */
  readonly learnTotal: (totalMs: number) => void
  /** A running request is late by this factor. */
  readonly learnOverdue: (factor: number, nowMs: number) => void
  readonly report: (report: event.LoadReport, nowMs: number) => void
  /** Starts again carefully, as after an outage. */
  readonly restart: () => void
}

/** First-token times below this are not compared, milliseconds. */
const MIN_COMPARED_MS = 100
const RESIDENCE_GAIN = 0.1
const COST_GAIN = 0.1
/** Longest wait for earlier prompts with which a target still takes a request, milliseconds. */
const MAX_BACKLOG_MS = 400
/** Share by which the time between tokens grows until the limit is reached. */
const CROWDING_SHARE = 0.25

/** Expected times at measured rates, without a queue. */
function expectAt (rates: rateEstimator.Rates, uncachedTokens: number, answerTokens: number): Expectation {
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
  const unknown = unknownLoad.createUnknownLoad()
  const bound = limit.createLimit()
  const lateness = pace.createPace()
  const backlog = prefillBacklog.createPrefillBacklog()
  let rates = rateEstimator.startRates(kind, prior)
  let learnedAtMs = 0
  let known = 0
  let requests = 0
  let meanCost = 0
  let residenceMs = 0

  function learnTotal (totalMs: number): void {
    residenceMs += (residenceMs === 0 ? 1 : RESIDENCE_GAIN) * (totalMs - residenceMs)
  }

  return {
    rates: () => rates,
    limitTokens: () => bound.requests() * meanCost,
    limitRequests: bound.requests,
    knownTokens: () => known,
    requests: () => requests,
    hasRoom (share, promptTokens, nowMs) {
      if (requests === 0) return true
      // Tiers that leave headroom also leave it behind their own prompt.
      const waitMs = backlog.waitMs(nowMs)
      const ownMs = share < 1 && waitMs > 0 ? promptTokens / rates.prefillTokensPerMs : 0
      return requests + unknown.requests(nowMs) + 1 <= bound.requests() * share && waitMs + ownMs <= MAX_BACKLOG_MS * share
    },
    backlogMs: backlog.waitMs,
    pace: lateness.at,
    serviceTokensPerMs () {
      const meanMs = residenceMs || expectAt(rates, meanCost / 2, meanCost / 2).totalMs
      return Math.max(bound.requests() * meanCost, 1) / Math.max(1, meanMs)
    },
    expect: (uncachedTokens, answerTokens) => expectAt(rates, uncachedTokens, answerTokens),
    expectBeside (uncachedTokens, answerTokens, nowMs) {
      const idle = expectAt(rates, uncachedTokens, answerTokens)
      const firstTokenMs = backlog.waitMs(nowMs) + idle.firstTokenMs
      return { firstTokenMs, totalMs: firstTokenMs + (idle.totalMs - idle.firstTokenMs) * (1 + CROWDING_SHARE * requests / bound.requests()) }
    },
    add (costTokens, uncachedTokens, nowMs) {
      meanCost = meanCost === 0 ? costTokens : meanCost + COST_GAIN * (costTokens - meanCost)
      known += costTokens
      requests += 1
      if (kind === 'model') backlog.add(uncachedTokens / rates.prefillTokensPerMs, nowMs)
      unknown.record(nowMs, requests)
    },
    remove (costTokens, prefilledMs, nowMs) {
      backlog.correct(prefilledMs, nowMs)
      requests = Math.max(0, requests - 1)
      known = requests === 0 ? 0 : Math.max(0, known - costTokens)
      unknown.record(nowMs, requests)
    },
    learn (sample, nowMs) {
      const isFirst = rates.samples === 0
      const expectedMs = sample.backlogMs + expectAt(rates, sample.uncachedTokens, 0).firstTokenMs
      const gradient = limit.gradientOf(sample, expectedMs, rates)
      rates = rateEstimator.learnRates(kind, rates, sample, nowMs - learnedAtMs)
      learnedAtMs = nowMs
      learnTotal(sample.totalMs)
      if (isFirst) return
      lateness.learn(sample.firstTokenMs / Math.max(MIN_COMPARED_MS, expectedMs), nowMs)
      bound.learn(gradient, limit.isUncrowded(sample, rates), requests + 1)
    },
    learnTotal,
    learnOverdue (factor, nowMs) { if (factor > lateness.at(nowMs)) lateness.learn(factor, nowMs) },
    report (report, nowMs) {
      unknown.report(report, nowMs)
      if (report.queuedRequests > 0) bound.cap(report.runningRequests)
    },
    restart () {
      bound.restart()
      lateness.reset()
      backlog.clear()
    }
  }
}
