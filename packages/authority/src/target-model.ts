/**
 * What is known of one target: tokens in flight, measured rates, the limit in flight, and how much
 * slower it is than it was.
 *
 * @module
 */
import * as inFlightHistory from './in-flight-history.js'
import * as limit from './limit.js'
import * as pace from './pace.js'
import * as rateEstimator from './rate-estimator.js'
import type * as event from './event.js'

/** Expected times of one request on one target, milliseconds. */
export interface Expectation {
  readonly firstTokenMs: number
  readonly totalMs: number
}

/** State of a target as the authority sees it. */
export interface TargetModel {
  readonly rates: () => rateEstimator.Rates
  readonly limitTokens: () => number
  readonly knownTokens: () => number
  /** Tokens that the target reported beyond the known ones, fading with the report's age. */
  readonly unknownTokens: (nowMs: number) => number
  readonly requests: () => number
  /** Recent first-token times against the target's own best; 1 is normal. */
  readonly pace: (nowMs: number) => number
  /** Tokens that the target finishes in a millisecond when it is filled to its limit. */
  readonly serviceTokensPerMs: () => number
  /** Expected times on the target with nothing else running. */
  readonly expectIdle: (uncachedTokens: number, answerTokens: number) => Expectation
  /** Expected times behind the prompts that the target has still to read. */
  readonly expect: (uncachedTokens: number, answerTokens: number, nowMs: number) => Expectation
  readonly add: (costTokens: number, uncachedTokens: number, nowMs: number) => void
  readonly remove: (costTokens: number, nowMs: number) => void
  /** A request finished whose first token was expected after `expectedFirstTokenMs`. */
  readonly learn: (sample: rateEstimator.Sample, expectedFirstTokenMs: number, nowMs: number) => void
  /** A running request is late by this factor. */
  readonly learnOverdue: (factor: number, nowMs: number) => void
  readonly report: (report: event.LoadReport, nowMs: number) => void
  /** Starts again from a small limit, as for a target that returns. */
  readonly restart: () => void
}

/** First-token times below this are not compared, milliseconds. */
const MIN_COMPARED_MS = 30
/** Longest time for known prompts ahead that a first token is allowed, milliseconds. */
const MAX_PROMPT_BACKLOG_MS = 1_000
/** Share of the limit in flight above which a target counts as busy. */
const BUSY_SHARE = 0.25
const RESIDENCE_GAIN = 0.1
const QUEUED_REPORT_GRADIENT = 0.5
const REPORT_HALF_LIFE_MS = 2_000
/** Age up to which load reports, and not late first tokens, say whether the target has a queue, milliseconds. */
const REPORT_VALIDITY_MS = 10_000

/** Expected times at measured rates, behind prompts that take `backlogMs` to read. */
function expectAt (rates: rateEstimator.Rates, uncachedTokens: number, answerTokens: number, backlogMs: number): Expectation {
  const firstTokenMs = backlogMs + rates.baseMs + uncachedTokens / rates.prefillTokensPerMs
  return { firstTokenMs, totalMs: firstTokenMs + answerTokens * rates.decodeMs }
}

/**
 * Creates the model of a target. `prior` is what its like on the same hardware measured.
 *
 * @example
 * ```ts
 * const model = createTargetModel('model', undefined)
 * model.add(1200, nowMs)
 * model.knownTokens() // 1200
 * ```
 */
export function createTargetModel (kind: 'model' | 'plain', prior: rateEstimator.Rates | undefined): TargetModel {
  const history = inFlightHistory.createInFlightHistory()
  const bound = limit.createLimit(kind)
  const lateness = pace.createPace()
  let rates = rateEstimator.startRates(kind, prior)
  let known = 0
  let requests = 0
  let residenceMs = 0
  /** When the prompts in flight are expected to have been read. */
  let promptsReadAtMs = 0
  let unknown = 0
  let unknownAtMs = 0
  let reportedAtMs = -Infinity
  let learnedAtMs = 0

  return {
    rates: () => rates,
    limitTokens: bound.tokens,
    knownTokens: () => known,
    unknownTokens: (nowMs) => unknown === 0 ? 0 : unknown * 2 ** (-Math.max(0, nowMs - unknownAtMs) / REPORT_HALF_LIFE_MS),
    requests: () => requests,
    pace: lateness.at,
    serviceTokensPerMs () {
      const halfCost = bound.meanCost() / 2
      const meanMs = residenceMs > 0 ? residenceMs : expectAt(rates, halfCost, halfCost, 0).totalMs
      return Math.max(bound.tokens(), 1) / Math.max(1, meanMs)
    },
    expectIdle: (uncachedTokens, answerTokens) => expectAt(rates, uncachedTokens, answerTokens, 0),
    expect: (uncachedTokens, answerTokens, nowMs) => expectAt(rates, uncachedTokens, answerTokens, Math.max(0, promptsReadAtMs - nowMs)),
    add (costTokens, uncachedTokens, nowMs) {
      bound.observeCost(costTokens)
      if (kind === 'model') promptsReadAtMs = Math.max(nowMs, promptsReadAtMs) + uncachedTokens / rates.prefillTokensPerMs
      known += costTokens
      requests += 1
      history.record(nowMs, known)
    },
    remove (costTokens, nowMs) {
      requests = Math.max(0, requests - 1)
      known = requests === 0 ? 0 : Math.max(0, known - costTokens)
      if (requests === 0) promptsReadAtMs = nowMs
      history.record(nowMs, known)
    },
    learn (sample, expectedFirstTokenMs, nowMs) {
      const isFirst = rates.samples === 0
      const idleMs = expectAt(rates, sample.uncachedTokens, 0, 0).firstTokenMs
      const expectedMs = Math.min(Math.max(idleMs, expectedFirstTokenMs), idleMs + MAX_PROMPT_BACKLOG_MS)
      const gradient = limit.gradientOf(kind, sample, expectedMs, rates, nowMs - reportedAtMs > REPORT_VALIDITY_MS)
      rates = rateEstimator.learnRates(kind, rates, sample, known > bound.tokens() * BUSY_SHARE, Math.max(0, nowMs - learnedAtMs))
      learnedAtMs = nowMs
      residenceMs += (residenceMs === 0 ? 1 : RESIDENCE_GAIN) * (sample.totalMs - residenceMs)
      if (isFirst) return
      lateness.learn(sample.firstTokenMs / Math.max(MIN_COMPARED_MS, expectedMs), nowMs)
      bound.learn(gradient, sample.costTokens, known + sample.costTokens)
    },
    learnOverdue (factor, nowMs) {
      if (factor > lateness.at(nowMs)) lateness.learn(factor, nowMs)
    },
    report (report, nowMs) {
      const sampledAtMs = nowMs - report.ageMs
      const knownThen = history.at(sampledAtMs)
      unknown = Math.max(0, report.tokensInProgress - knownThen)
      unknownAtMs = sampledAtMs
      const sinceMs = Math.max(0, sampledAtMs - reportedAtMs)
      reportedAtMs = Math.max(reportedAtMs, sampledAtMs)
      if (report.queuedRequests === 0 || !bound.isInUse(knownThen)) return
      const shareOfResidence = Math.min(1, sinceMs / Math.max(1, residenceMs))
      bound.learn(QUEUED_REPORT_GRADIENT, bound.tokens() * shareOfResidence, knownThen)
    },
    restart () {
      bound.restart()
      lateness.reset()
    }
  }
}
