/**
 * Measures the goodput, wasted prefill and latency of a replay.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as hdr from 'hdr-histogram-js'
import * as capacity from '../trace/capacity.js'
import type * as trace from '../trace/trace.js'
import * as prefixes from './prefixes.js'
import type * as recorder from './recorder.js'
import * as replay from './replay.js'

/** Measures of one kind of target and rank. Tokens are answer tokens. */
export interface TierMeasures {
  readonly target: 'model' | 'plain'
  readonly rank: protocol.Rank
  readonly offeredRequests: number
  readonly offeredTokens: number
  /** Tokens of complete responses that met their deadline. */
  readonly goodTokens: number
  /** The part of `goodTokens` that was generated before the last arrival. */
  readonly goodTokensDuring: number
  readonly finishedRequests: number
  readonly refusedRequests: number
  readonly lateRequests: number
  /** Requests cut off by a crash of their target, and their tokens. */
  readonly cutRequests: number
  readonly cutTokens: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP95Ms: number
  readonly betweenTokensP95Ms: number
  /** Share of all requests that met both latency objectives. */
  readonly withinShare: number
}

/** Measures of one replay. Shares range from 0 to 1. */
export interface Measures {
  readonly tiers: readonly TierMeasures[]
  /** Goodput of the most important tier as a share of its offered tokens; the lowest over all kinds of target. */
  readonly topTierShare: number
  /** Tokens generated during the trace for complete responses in time, as a share of the decode capacity. */
  readonly capacityShare: number
  /** Prefill of runs that didn't finish, as a share of all prefill. */
  readonly thrownAwayShare: number
  /** Prefill of shared prefixes that some target had already computed, as a share of all prefill. */
  readonly repeatedShare: number
  /** Good tokens generated during the trace, each multiplied by the weight of its tier. */
  readonly weightedTokens: number
  /** Like `weightedTokens`, including tokens generated after the last arrival. */
  readonly weightedTokensAfter: number
}

const LEAST_IMPORTANT_WEIGHTED_RANK = 3
const MAX_TRACKED_MS = 3_600_000
const MEDIAN_PERCENTILE = 50
const TAIL_PERCENTILE = 95

/** Returns the weight of a rank: each tier counts twice as much as the next less important one. */
function rankWeight (rank: protocol.Rank): number {
  return 2 ** (LEAST_IMPORTANT_WEIGHTED_RANK - rank)
}

function firstTokenMs (outcome: recorder.Outcome): number | undefined {
  return outcome.firstTokenAtMs === undefined ? undefined : outcome.firstTokenAtMs - outcome.sentAtMs
}

function betweenTokensMs (outcome: recorder.Outcome): number | undefined {
  const { answer } = outcome.request.arrival
  if (outcome.firstTokenAtMs === undefined || outcome.endedAtMs === undefined || answer < 2) return undefined
  return (outcome.endedAtMs - outcome.firstTokenAtMs) / (answer - 1)
}

function createHistogram (): hdr.Histogram {
  return hdr.build({ highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
}

function sumTokens (outcomes: readonly recorder.Outcome[]): number {
  return outcomes.reduce((sum, { request }) => sum + request.arrival.answer, 0)
}

function isWithinObjectives (outcome: recorder.Outcome, bounds: trace.ExpectedOutcomes): boolean {
  const firstTokenDelayMs = firstTokenMs(outcome)
  return firstTokenDelayMs !== undefined && firstTokenDelayMs <= bounds.firstTokenMs && (betweenTokensMs(outcome) ?? 0) <= bounds.betweenTokensMs
}

/** Returns the tokens of a complete response generated until a time, assuming an even rate after the first token. */
function tokensGeneratedBy (outcome: recorder.Outcome, untilMs: number): number {
  const { firstTokenAtMs, endedAtMs, request } = outcome
  if (outcome.state !== 'finished' || firstTokenAtMs === undefined || endedAtMs === undefined) return 0
  if (endedAtMs <= untilMs) return request.arrival.answer
  return request.arrival.answer * Math.max(0, untilMs - firstTokenAtMs) / (endedAtMs - firstTokenAtMs)
}

function measureTier (target: 'model' | 'plain', rank: protocol.Rank, outcomes: readonly recorder.Outcome[], header: trace.Header): TierMeasures {
  const finished = outcomes.filter(({ state }) => state === 'finished')
  const failed = outcomes.filter(({ state }) => state === 'failed')
  const firstTokenHistogram = createHistogram()
  const betweenTokensHistogram = createHistogram()
  for (const outcome of finished) {
    firstTokenHistogram.recordValue(Math.round(firstTokenMs(outcome) ?? 0))
    betweenTokensHistogram.recordValue(Math.round(betweenTokensMs(outcome) ?? 0))
  }
  return {
    target,
    rank,
    offeredRequests: outcomes.length,
    offeredTokens: sumTokens(outcomes),
    goodTokens: sumTokens(finished),
    goodTokensDuring: finished.reduce((sum, outcome) => sum + tokensGeneratedBy(outcome, replay.WARM_UP_MS + header.durationMs), 0),
    finishedRequests: finished.length,
    refusedRequests: outcomes.filter(({ state }) => state === 'refused').length,
    lateRequests: outcomes.filter(({ state }) => state === 'late' || state === 'unfinished').length,
    cutRequests: failed.length,
    cutTokens: sumTokens(failed),
    firstTokenP50Ms: firstTokenHistogram.getValueAtPercentile(MEDIAN_PERCENTILE),
    firstTokenP95Ms: firstTokenHistogram.getValueAtPercentile(TAIL_PERCENTILE),
    betweenTokensP95Ms: betweenTokensHistogram.getValueAtPercentile(TAIL_PERCENTILE),
    withinShare: finished.filter((outcome) => isWithinObjectives(outcome, header.outcomes)).length / Math.max(1, outcomes.length)
  }
}

function measureTiers (result: replay.Result): readonly TierMeasures[] {
  const tiers = (['model', 'plain'] as const).flatMap((target) => {
    const targetOutcomes = result.outcomes.filter(({ request }) => request.kind.target === target)
    const ranks = [...new Set(targetOutcomes.map(({ request }) => request.kind.rank))].sort((left, right) => left - right)
    return ranks.map((rank) => measureTier(target, rank, targetOutcomes.filter(({ request }) => request.kind.rank === rank), result.trace.header))
  })
  return tiers
}

function measureTopTierShare (tiers: readonly TierMeasures[]): number {
  const topTiers = (['model', 'plain'] as const).flatMap((target) => tiers.filter((tier) => tier.target === target).slice(0, 1))
  return Math.min(...topTiers.map(({ goodTokens, offeredTokens }) => goodTokens / Math.max(1, offeredTokens)))
}

function sumTokensDuringTrace (result: replay.Result, weight: (rank: protocol.Rank) => number): number {
  const untilMs = replay.WARM_UP_MS + result.trace.header.durationMs
  return result.outcomes.filter(({ request }) => request.kind.target === 'model')
    .reduce((sum, outcome) => sum + weight(outcome.request.kind.rank) * tokensGeneratedBy(outcome, untilMs), 0)
}

function measureRepeatedShare (result: replay.Result): number {
  const prefilledHashes = new Set<string>()
  let tokens = 0
  for (const { request, job } of result.jobs) {
    const sharedIndex = request.prefixes.findLastIndex((_, index) => prefixes.prefixLengthTokens(index) <= request.kind.sharedTokens)
    const hash = request.prefixes[sharedIndex]
    if (job === undefined || hash === undefined || job.prefilledTokens === 0) continue
    if (prefilledHashes.has(hash)) tokens += Math.min(job.prefilledTokens, Math.max(0, prefixes.prefixLengthTokens(sharedIndex) - job.cachedTokens))
    prefilledHashes.add(hash)
  }
  return tokens / Math.max(1, result.prefilledTokens)
}

/**
 * Measures a replay.
 *
 * @example
 * ```ts
 * measure(result).topTierShare // 0.994
 * ```
 */
export function measure (result: replay.Result): Measures {
  const tiers = measureTiers(result)
  return {
    tiers,
    topTierShare: measureTopTierShare(tiers),
    capacityShare: sumTokensDuringTrace(result, () => 1) / capacity.decodeCapacityTokens(result.trace),
    thrownAwayShare: result.wastedPrefillTokens / Math.max(1, result.prefilledTokens),
    repeatedShare: measureRepeatedShare(result),
    weightedTokens: Math.round(sumTokensDuringTrace(result, rankWeight)),
    weightedTokensAfter: tiers.filter(({ target }) => target === 'model').reduce((sum, { goodTokens, rank }) => sum + goodTokens * rankWeight(rank), 0)
  }
}
