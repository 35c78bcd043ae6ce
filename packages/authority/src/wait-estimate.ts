/**
 * Estimates how long a request will wait.
 *
 * Expected wait = (tokens ahead + cost of the request) / rate at which the service's targets finish tokens,
 * corrected by the ratio of earlier actual to expected waits. Ahead are all more important tiers and, in the
 * request's own tier, what fair queueing serves first: the backlog of the request's organisation divided by its
 * share, but never more than the backlog of the whole tier.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as serviceRates from './service-rates.js'

/** An expected wait and the backlog ahead. */
export interface WaitEstimate {
  readonly aheadRequests: number
  readonly aheadTokens: number
  readonly waitMs: number
  /** Whether enough requests have finished to trust the rate. */
  readonly isMeasured: boolean
}

/** Properties of a request that the estimate depends on. */
export interface RequestTraits {
  readonly service: string
  readonly organisation: string
  readonly tier: protocol.Rank
  readonly costTokens: number
  /** Whether the backlog already includes the request, as the last of its organisation. */
  readonly isQueued: boolean
}

/** Number of finished requests from which the rate of a target or of a service counts as measured. */
const MIN_SAMPLES = 8
/** Maximum wait that is stated, milliseconds. */
const MAX_WAIT_MS = 3_600_000

function measureRate (state: context.Context, service: poolView.Service): serviceRates.ServiceRate {
  const remaining = service.targets.filter((target) => !state.targets.isLeaving(target))
  let tokensPerMs = 0
  let samples = 0
  let isMeasured = remaining.length > 0
  for (const target of remaining) {
    const model = state.targets.model(target)
    if (model === undefined) continue
    const finished = model.rates().samples
    samples += finished
    isMeasured &&= finished >= MIN_SAMPLES
    if (state.targets.state(target) === 'serving') tokensPerMs += model.serviceTokensPerMs() / state.targets.slowdown(target)
  }
  return { tokensPerMs, samples, isMeasured }
}

/** Returns the combined rate of a service's targets. */
export function rateOf (state: context.Context, service: poolView.Service, nowMs: number): serviceRates.ServiceRate {
  return state.rates.get(service.document.service, nowMs, () => measureRate(state, service))
}

function sumBacklog (state: context.Context, service: poolView.Service, includesRank: (rank: protocol.Rank) => boolean): { readonly requests: number, readonly tokens: number } {
  let requests = 0
  let tokens = 0
  for (const rank of state.queue.ranks()) {
    if (!includesRank(rank)) continue
    for (const overlapping of service.overlappingServices) {
      const backlog = state.queue.tier(rank).backlog(overlapping)
      requests += backlog.requests
      tokens += backlog.tokens
    }
  }
  return { requests, tokens }
}

/**
 * Estimates the wait of a request that is, or would be, the last of its organisation in its tier.
 *
 * @example
 * ```ts
 * estimateWait(context, service, { service: 'listings', organisation: 'north', tier: 1, costTokens: 900, isQueued: false }, nowMs).waitMs
 * ```
 */
export function estimateWait (state: context.Context, service: poolView.Service, request: RequestTraits, nowMs: number): WaitEstimate {
  const higherTiers = sumBacklog(state, service, (rank) => rank < request.tier)
  const ownTier = sumBacklog(state, service, (rank) => rank === request.tier)
  const subqueue = state.queue.tier(request.tier).subqueueBacklog(request.service, request.organisation)
  const share = state.queue.tier(request.tier).shareOf(request.service, request.organisation)
  const ownRequests = request.isQueued ? 1 : 0
  const ownTokens = request.isQueued ? request.costTokens : 0
  const aheadRequests = higherTiers.requests + Math.min(ownTier.requests, Math.round(subqueue.requests / share)) - ownRequests
  const aheadTokens = higherTiers.tokens + Math.max(0, Math.min(ownTier.tokens, subqueue.tokens / share) - ownTokens)
  const rate = rateOf(state, service, nowMs)
  const waitMs = rate.tokensPerMs > 0 ? (aheadTokens + request.costTokens) / rate.tokensPerMs * state.calibration.factor() : MAX_WAIT_MS
  return {
    aheadRequests: Math.max(0, aheadRequests),
    aheadTokens: Math.round(aheadTokens),
    waitMs: Math.min(MAX_WAIT_MS, Math.round(waitMs)),
    isMeasured: rate.samples >= MIN_SAMPLES
  }
}
