/**
 * What a replay achieved: goodput, waste and latency.
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

/** Figures of one kind of target and rank. Tokens are answer tokens. */
export interface TierFigures {
  readonly target: 'model' | 'plain'
  readonly rank: protocol.Rank
  readonly offeredRequests: number
  readonly offeredTokens: number
  /** Tokens of whole answers within their deadline. */
  readonly goodTokens: number
  /** Those of them that were written before the last arrival. */
  readonly goodTokensDuring: number
  readonly finishedRequests: number
  readonly refusedRequests: number
  readonly lateRequests: number
  /** Requests that the crash of their target cut off, and their tokens. */
  readonly cutRequests: number
  readonly cutTokens: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP95Ms: number
  readonly betweenTokensP95Ms: number
  /** Share of all requests that were answered within both latency objectives. */
  readonly withinShare: number
}

/** Figures of one replay. Shares are 0 to 1. */
export interface Measures {
  readonly tiers: readonly TierFigures[]
  /** Goodput of the most important tier of each kind of target, as a share of what it offered; the lowest of them. */
  readonly topTierShare: number
  /** Answer tokens that the engines wrote during the trace for whole answers in time, as a share of what they can write. */
  readonly capacityShare: number
  /** Prefill of runs that did not finish, as a share of all prefill. */
  readonly thrownAwayShare: number
  /** Prefill of shared beginnings that some target had read before, as a share of all prefill. */
  readonly repeatedShare: number
  /** Good tokens that the engines wrote during the trace, each multiplied by its tier's weight. */
  readonly weightedTokens: number
  /** The same with what they wrote after the last arrival, when the load was over. */
  readonly weightedTokensAfter: number
}

const LEAST_IMPORTANT_WEIGHTED_RANK = 3
const MAX_TRACKED_MS = 3_600_000
const PERCENTILE_MIDDLE = 50
const PERCENTILE_HIGH = 95

/** Weight of a rank: each tier counts twice as much as the next. */
function weightOf (rank: protocol.Rank): number {
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

function isWithin (outcome: recorder.Outcome, bounds: trace.Outcomes): boolean {
  const first = firstTokenMs(outcome)
  return first !== undefined && first <= bounds.firstTokenMs && (betweenTokensMs(outcome) ?? 0) <= bounds.betweenTokensMs
}

/** Tokens of a whole answer that were written before a time, as if evenly from its first token to its end. */
function tokensBy (outcome: recorder.Outcome, untilMs: number): number {
  const { firstTokenAtMs, endedAtMs, request } = outcome
  if (outcome.state !== 'finished' || firstTokenAtMs === undefined || endedAtMs === undefined) return 0
  if (endedAtMs <= untilMs) return request.arrival.answer
  return request.arrival.answer * Math.max(0, untilMs - firstTokenAtMs) / (endedAtMs - firstTokenAtMs)
}

function measureTier (target: 'model' | 'plain', rank: protocol.Rank, outcomes: readonly recorder.Outcome[], header: trace.Header): TierFigures {
  const finished = outcomes.filter(({ state }) => state === 'finished')
  const cut = outcomes.filter(({ state }) => state === 'failed')
  const first = createHistogram()
  const between = createHistogram()
  for (const outcome of finished) {
    first.recordValue(Math.round(firstTokenMs(outcome) ?? 0))
    between.recordValue(Math.round(betweenTokensMs(outcome) ?? 0))
  }
  return {
    target,
    rank,
    offeredRequests: outcomes.length,
    offeredTokens: sumTokens(outcomes),
    goodTokens: sumTokens(finished),
    goodTokensDuring: finished.reduce((sum, outcome) => sum + tokensBy(outcome, replay.LEAD_MS + header.durationMs), 0),
    finishedRequests: finished.length,
    refusedRequests: outcomes.filter(({ state }) => state === 'refused').length,
    lateRequests: outcomes.filter(({ state }) => state === 'late' || state === 'unfinished').length,
    cutRequests: cut.length,
    cutTokens: sumTokens(cut),
    firstTokenP50Ms: first.getValueAtPercentile(PERCENTILE_MIDDLE),
    firstTokenP95Ms: first.getValueAtPercentile(PERCENTILE_HIGH),
    betweenTokensP95Ms: between.getValueAtPercentile(PERCENTILE_HIGH),
    withinShare: finished.filter((outcome) => isWithin(outcome, header.outcomes)).length / Math.max(1, outcomes.length)
  }
}

function measureTiers (result: replay.Result): readonly TierFigures[] {
  const figures = (['model', 'plain'] as const).flatMap((target) => {
    const own = result.outcomes.filter(({ request }) => request.kind.target === target)
    const ranks = [...new Set(own.map(({ request }) => request.kind.rank))].sort((left, right) => left - right)
    return ranks.map((rank) => measureTier(target, rank, own.filter(({ request }) => request.kind.rank === rank), result.trace.header))
  })
  return figures
}

function measureTop (tiers: readonly TierFigures[]): number {
  const tops = (['model', 'plain'] as const).flatMap((target) => tiers.filter((tier) => tier.target === target).slice(0, 1))
  return Math.min(...tops.map(({ goodTokens, offeredTokens }) => goodTokens / Math.max(1, offeredTokens)))
}

function measureDuring (result: replay.Result, weigh: (rank: protocol.Rank) => number): number {
  const untilMs = replay.LEAD_MS + result.trace.header.durationMs
  return result.outcomes.filter(({ request }) => request.kind.target === 'model')
    .reduce((sum, outcome) => sum + weigh(outcome.request.kind.rank) * tokensBy(outcome, untilMs), 0)
}

function measureRepeated (result: replay.Result): number {
  const seen = new Set<string>()
  let tokens = 0
  for (const { request, job } of result.jobs) {
    const shared = request.prefixes.findLastIndex((_, index) => prefixes.prefixTokens(index) <= request.kind.sharedTokens)
    const hash = request.prefixes[shared]
    if (job === undefined || hash === undefined || job.prefilled === 0) continue
    if (seen.has(hash)) tokens += Math.min(job.prefilled, Math.max(0, prefixes.prefixTokens(shared) - job.cachedTokens))
    seen.add(hash)
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
    topTierShare: measureTop(tiers),
    capacityShare: measureDuring(result, () => 1) / capacity.writableTokens(result.trace),
    thrownAwayShare: result.wastedPrefillTokens / Math.max(1, result.prefilledTokens),
    repeatedShare: measureRepeated(result),
    weightedTokens: Math.round(measureDuring(result, weightOf)),
    weightedTokensAfter: tiers.filter(({ target }) => target === 'model').reduce((sum, { goodTokens, rank }) => sum + goodTokens * weightOf(rank), 0)
  }
}
