/**
 * Chooses the target on which a request is expected to finish first.
 *
 * Score, in milliseconds: slowdown x (time until earlier prompts are read + base time
 * + prompt tokens not cached / prefill rate + expected answer tokens x time between tokens, which
 * grows with the requests in flight).
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as targetModel from './target-model.js'
import type * as waitingAsk from './waiting-ask.js'

/** Where a request goes and what is expected there. */
export interface Placement {
  readonly target: string
  readonly cachedTokens: number
  /** Time until the prompts in flight are read, milliseconds. */
  readonly backlogMs: number
  readonly expectation: targetModel.Expectation
  readonly tokensInFlight: number
  readonly slowdown: number
}

/** Scores are multiplied by 1 plus a random share of this, so that equal targets take turns. */
const RANDOM_SHARE = 0.02
/** Shares of 1 in a percentage. */
const PERCENT = 100

/** Share of a target's limit that a tier may fill. */
function limitShare (service: poolView.Service, tier: protocol.Rank): number {
  const { prefer, headroomPercent } = service.document.weighing
  const isLowest = tier === service.lowestRank && service.tiers.size > 1
  return isLowest && prefer === 'wasted-prefill' ? 1 - headroomPercent / PERCENT : 1
}

function isProbed (state: context.Context, target: string): boolean {
  const sinceMs = state.targets.outage(target)?.sinceMs ?? Infinity
  return state.slots.onTarget(target).some((granted) => granted.grantedAtMs > sinceMs)
}

function hasRoom (state: context.Context, target: string, model: targetModel.TargetModel, promptTokens: number, share: number, nowMs: number): boolean {
  const readiness = state.targets.readiness(target, nowMs)
  if (readiness === 'closed') return false
  if (readiness === 'probing') return !isProbed(state, target)
  return model.hasRoom(share, promptTokens, nowMs)
}

/** The prompt tokens that a target has to read, and those that it is expected to hold. */
function uncachedTokens (state: context.Context, target: string, ask: waitingAsk.WaitingAsk, cachedTokens: number): number {
  if (state.targets.kind(target) === 'plain') return ask.costTokens
  return Math.max(0, ask.message.promptTokens - cachedTokens)
}

/**
 * Chooses a target with room for an ask. Targets in `closed` are left out.
 *
 * @example
 * ```ts
 * const placement = place(context, ask, service, new Set(), nowMs)
 * placement?.target // 'replica-2'
 * ```
 */
export function place (state: context.Context, ask: waitingAsk.WaitingAsk, service: poolView.Service, closed: ReadonlySet<string>, nowMs: number): Placement | undefined {
  const cached = state.prefixes.lookUp(ask.message.prefixes, ask.message.promptTokens)
  const answerTokens = state.answers.expect(ask.message.service, ask.message.answerTokens)
  const share = limitShare(service, ask.message.tier)
  let best: Placement | undefined
  let bestScore = Infinity
  for (const target of service.targets) {
    const model = state.targets.model(target)
    const reservedFor = state.reservations.get(target)
    if (model === undefined || closed.has(target) || (reservedFor !== undefined && reservedFor !== ask.key)) continue
    if (!hasRoom(state, target, model, ask.message.promptTokens, share, nowMs)) continue
    const cachedTokens = cached.get(target) ?? 0
    const expectation = model.expectBeside(uncachedTokens(state, target, ask, cachedTokens), state.targets.kind(target) === 'plain' ? 0 : answerTokens, nowMs)
    const slowdown = state.targets.slowdown(target)
    const tokensInFlight = model.knownTokens()
    const score = slowdown * expectation.totalMs * (1 + RANDOM_SHARE * state.options.random())
    if (score >= bestScore) continue
    bestScore = score
    best = { target, cachedTokens, backlogMs: model.backlogMs(nowMs), expectation, tokensInFlight, slowdown }
  }
  return best
}

/**
 * The time that a request would need on the best target if nothing else ran there, milliseconds.
 *
 * @example
 * ```ts
 * expectIdle(context, ask, service) // 840
 * ```
 */
export function expectIdle (state: context.Context, ask: waitingAsk.WaitingAsk, service: poolView.Service): number {
  const cached = state.prefixes.lookUp(ask.message.prefixes, ask.message.promptTokens)
  const answerTokens = state.answers.expect(ask.message.service, ask.message.answerTokens)
  let bestMs = Infinity
  for (const target of service.targets) {
    const model = state.targets.model(target)
    if (model === undefined || state.targets.isLeaving(target)) continue
    const isPlain = state.targets.kind(target) === 'plain'
    const { totalMs } = model.expect(uncachedTokens(state, target, ask, cached.get(target) ?? 0), isPlain ? 0 : answerTokens)
    bestMs = Math.min(bestMs, totalMs)
  }
  return bestMs
}
