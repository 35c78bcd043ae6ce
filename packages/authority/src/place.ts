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

/** Whether the target takes this ask now. The cheapest checks come first. */
function isOpen (state: context.Context, target: string, ask: waitingAsk.WaitingAsk, share: number, nowMs: number): boolean {
  const model = state.targets.model(target)
  if (model === undefined || !model.hasRoom(share, ask.message.promptTokens, nowMs)) return false
  if (state.reservations.isClosedTo(target, ask.key)) return false
  const readiness = state.targets.readiness(target, nowMs)
  return readiness === 'serving' || (readiness === 'probing' && !isProbed(state, target))
}

type Expect = (model: targetModel.TargetModel, uncachedTokens: number, answerTokens: number) => targetModel.Expectation

const expectAlone: Expect = (model, uncachedTokens, answerTokens) => model.expect(uncachedTokens, answerTokens)

function expectOn (state: context.Context, target: string, ask: waitingAsk.WaitingAsk, cachedTokens: number, expect: Expect): targetModel.Expectation {
  const model = state.targets.model(target)
  if (model === undefined) return { firstTokenMs: Infinity, totalMs: Infinity }
  if (state.targets.kind(target) === 'plain') return expect(model, ask.costTokens, 0)
  const answerTokens = state.answers.expect(ask.message.service, ask.message.answerTokens)
  return expect(model, Math.max(0, ask.message.promptTokens - cachedTokens), answerTokens)
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
  const share = limitShare(service, ask.message.tier)
  const open = service.targets.filter((target) => !closed.has(target) && isOpen(state, target, ask, share, nowMs))
  if (open.length === 0) return undefined
  const cached = state.prefixes.lookUp(ask.message.prefixes, ask.message.promptTokens)
  const expectBeside: Expect = (model, uncachedTokens, answerTokens) => model.expectBeside(uncachedTokens, answerTokens, nowMs)
  let best: Placement | undefined
  let bestScore = Infinity
  for (const target of open) {
    const model = state.targets.model(target)
    if (model === undefined) continue
    const cachedTokens = cached.get(target) ?? 0
    const expectation = expectOn(state, target, ask, cachedTokens, expectBeside)
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
  let bestMs = Infinity
  for (const target of service.targets) {
    if (state.targets.isLeaving(target)) continue
    bestMs = Math.min(bestMs, expectOn(state, target, ask, cached.get(target) ?? 0, expectAlone).totalMs)
  }
  return bestMs
}
