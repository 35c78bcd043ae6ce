/**
 * The wait that a request can truthfully be told to expect.
 *
 * Expected wait = (tokens ahead + own cost) / rate at which the service's targets finish tokens,
 * corrected by what earlier estimates turned out to be. Ahead are all more important tiers and, in the
 * own tier, what fair sharing serves before: the own organisation's backlog divided by its share, but
 * never more than the whole tier's backlog.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'

/** What a wait consists of. */
export interface WaitEstimate {
  readonly aheadRequests: number
  readonly aheadTokens: number
  readonly waitMs: number
  /** Whether enough requests have finished to trust the rate. */
  readonly isMeasured: boolean
}

/** What the estimate needs to know of a request. */
export interface Subject {
  readonly service: string
  readonly organisation: string
  readonly tier: protocol.Rank
  readonly costTokens: number
  /** Whether the request is already counted in the queue, as the last of its organisation. */
  readonly isQueued: boolean
}

/** Finished requests in a pool from which on its rate is trusted. */
const MIN_SAMPLES = 8
/** Longest wait that is stated, milliseconds. */
const MAX_WAIT_MS = 3_600_000

function serviceRate (state: context.Context, service: poolView.Service): { readonly tokensPerMs: number, readonly samples: number } {
  let tokensPerMs = 0
  let samples = 0
  for (const target of service.targets) {
    const model = state.targets.model(target)
    if (model === undefined || state.targets.state(target) !== 'serving') continue
    tokensPerMs += model.serviceTokensPerMs() / state.targets.slowdown(target)
    samples += model.rates().samples
  }
  return { tokensPerMs, samples }
}

function sumBacklog (state: context.Context, service: poolView.Service, isWanted: (rank: protocol.Rank) => boolean): { readonly requests: number, readonly tokens: number } {
  let requests = 0
  let tokens = 0
  for (const rank of state.queue.ranks()) {
    if (!isWanted(rank)) continue
    for (const neighbour of service.neighbours) {
      const backlog = state.queue.tier(rank).backlog(neighbour)
      requests += backlog.asks
      tokens += backlog.tokens
    }
  }
  return { requests, tokens }
}

/**
 * Estimates the wait of a request that is, or would be, the last of its organisation's in its tier.
 *
 * @example
 * ```ts
 * estimateWait(context, service, { service: 'listings', organisation: 'north', tier: 1, costTokens: 900, isQueued: false }).waitMs
 * ```
 */
export function estimateWait (state: context.Context, service: poolView.Service, subject: Subject): WaitEstimate {
  const above = sumBacklog(state, service, (rank) => rank < subject.tier)
  const own = sumBacklog(state, service, (rank) => rank === subject.tier)
  const lane = state.queue.tier(subject.tier).laneBacklog(subject.service, subject.organisation)
  const share = state.queue.tier(subject.tier).shareOf(subject.service, subject.organisation)
  const ownRequests = subject.isQueued ? 1 : 0
  const ownTokens = subject.isQueued ? subject.costTokens : 0
  const aheadRequests = above.requests + Math.min(own.requests, Math.round(lane.asks / share)) - ownRequests
  const aheadTokens = above.tokens + Math.max(0, Math.min(own.tokens, lane.tokens / share) - ownTokens)
  const rate = serviceRate(state, service)
  const waitMs = rate.tokensPerMs > 0 ? (aheadTokens + subject.costTokens) / rate.tokensPerMs * state.calibration.factor() : MAX_WAIT_MS
  return {
    aheadRequests: Math.max(0, aheadRequests),
    aheadTokens: Math.round(aheadTokens),
    waitMs: Math.min(MAX_WAIT_MS, Math.round(waitMs)),
    isMeasured: rate.samples >= MIN_SAMPLES
  }
}
