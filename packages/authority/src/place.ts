/**
 * Chooses the target on which a request is expected to finish first.
 *
 * The score is the expected time to finish in milliseconds: slowdown x (time until the prefill of earlier prompts is
 * done + base time + uncached prompt tokens / prefill rate + expected response tokens x time between tokens, which
 * grows with the requests in flight).
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as targetModel from './target-model.js'
import type * as waitingRequest from './waiting-request.js'

/** The target chosen for a request, and the expected times there. */
export interface Placement {
  readonly target: string
  readonly cachedTokens: number
  /** Time until the prefill of the prompts in flight is done, milliseconds. */
  readonly backlogMs: number
  readonly expectation: targetModel.Expectation
  readonly tokensInFlight: number
  readonly slowdown: number
}

/** Maximum random increase of a score, as a share of the score, so that equal targets are chosen equally often. */
const MAX_SCORE_JITTER = 0.02
const PERCENT = 100

/** Returns the share of a target's concurrency limit that a tier may use. */
function limitShare (service: poolView.Service, tier: protocol.Rank): number {
  const { prefer, headroomPercent } = service.document.weighing
  const isLowest = tier === service.lowestRank && service.tiers.size > 1
  return isLowest && prefer === 'wasted-prefill' ? 1 - headroomPercent / PERCENT : 1
}

function hasProbeInFlight (state: context.Context, target: string): boolean {
  const sinceMs = state.targets.outage(target)?.sinceMs ?? Infinity
  return state.slots.onTarget(target).some((granted) => granted.grantedAtMs > sinceMs)
}

/** Returns whether the request may be placed on the target now. The cheapest checks come first. */
function canPlace (state: context.Context, target: string, request: waitingRequest.WaitingRequest, share: number, nowMs: number): boolean {
  const model = state.targets.model(target)
  if (model === undefined || !model.hasFreeSlot(share, request.message.promptTokens, nowMs)) return false
  if (state.reservations.isClosedTo(target, request.key)) return false
  const readiness = state.targets.readiness(target, nowMs)
  return readiness === 'serving' || (readiness === 'probing' && !hasProbeInFlight(state, target))
}

type Estimate = (model: targetModel.TargetModel, uncachedTokens: number, answerTokens: number) => targetModel.Expectation

const estimateIdle: Estimate = (model, uncachedTokens, answerTokens) => model.estimateIdle(uncachedTokens, answerTokens)

function estimateOn (state: context.Context, target: string, request: waitingRequest.WaitingRequest, cachedTokens: number, estimate: Estimate): targetModel.Expectation {
  const model = state.targets.model(target)
  if (model === undefined) return { firstTokenMs: Infinity, totalMs: Infinity }
  if (state.targets.kind(target) === 'plain') return estimate(model, request.costTokens, 0)
  const answerTokens = state.responseLengths.estimate(request.message.service, request.message.answerTokens)
  return estimate(model, Math.max(0, request.message.promptTokens - cachedTokens), answerTokens)
}

/**
 * Chooses a target with a free slot for a request. Targets in `closedTargets` are left out.
 *
 * @example
 * ```ts
 * const placement = place(context, request, service, new Set(), nowMs)
 * placement?.target // 'engine-2'
 * ```
 */
export function place (state: context.Context, request: waitingRequest.WaitingRequest, service: poolView.Service, closedTargets: ReadonlySet<string>, nowMs: number): Placement | undefined {
  const share = limitShare(service, request.message.tier)
  const openTargets = service.targets.filter((target) => !closedTargets.has(target) && canPlace(state, target, request, share, nowMs))
  if (openTargets.length === 0) return undefined
  const cached = state.prefixes.findCached(request.message.prefixes, request.message.promptTokens)
  const estimateUnderLoad: Estimate = (model, uncachedTokens, answerTokens) => model.estimateUnderLoad(uncachedTokens, answerTokens, nowMs)
  let best: Placement | undefined
  let bestScore = Infinity
  for (const target of openTargets) {
    const model = state.targets.model(target)
    if (model === undefined) continue
    const cachedTokens = cached.get(target) ?? 0
    const expectation = estimateOn(state, target, request, cachedTokens, estimateUnderLoad)
    const slowdown = state.targets.slowdown(target)
    const tokensInFlight = model.tokensInFlight()
    const score = slowdown * expectation.totalMs * (1 + MAX_SCORE_JITTER * state.options.random())
    if (score >= bestScore) continue
    bestScore = score
    best = { target, cachedTokens, backlogMs: model.backlogMs(nowMs), expectation, tokensInFlight, slowdown }
  }
  return best
}

/**
 * Returns the time that a request would take on the best target if nothing else ran there, milliseconds.
 *
 * @example
 * ```ts
 * estimateIdleTime(context, request, service) // 840
 * ```
 */
export function estimateIdleTime (state: context.Context, request: waitingRequest.WaitingRequest, service: poolView.Service): number {
  const cached = state.prefixes.findCached(request.message.prefixes, request.message.promptTokens)
  let bestMs = Infinity
  for (const target of service.targets) {
    if (state.targets.isLeaving(target)) continue
    bestMs = Math.min(bestMs, estimateOn(state, target, request, cached.get(target) ?? 0, estimateIdle).totalMs)
  }
  return bestMs
}
