/**
 * Decides about asks that find no room: stop lower tiers, refuse, or let them wait.
 *
 * @module
 */
import * as clearance from './clearance.js'
import type * as outputs from './outputs.js'
import * as preemption from './preemption.js'
import * as refusals from './refusals.js'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitEstimate from './wait-estimate.js'
import type * as waitingAsk from './waiting-ask.js'

/** Time before the latest possible start at which lower tiers are stopped for an ask, milliseconds. */
const PREEMPT_LEAD_MS = 500
/** Time for which an ask waits for a target of its service to appear, milliseconds. */
const NO_TARGET_HOLD_MS = 5_000
/** Asks refused or looked at again in one tick. */
const MAX_PER_TICK = 64
/** Factor by which a queued ask's expected wait may grow beyond its limit. */
const QUEUED_TOLERANCE = 1.5
/** Share of the first-token objective that may be spent waiting. */
const FIRST_TOKEN_WAIT_SHARE = 0.7
/** Share of the completion objective that may be spent waiting. */
const COMPLETION_WAIT_SHARE = 0.25
/** Share of the longest wait that is allowed where no objective is stated. */
const MAX_WAIT_SHARE = 0.5

function serviceOf (state: context.Context, ask: waitingAsk.WaitingAsk): poolView.Service | undefined {
  return state.view().services.get(ask.message.service)
}

function hasTarget (state: context.Context, service: poolView.Service | undefined): boolean {
  return service !== undefined && service.targets.some((target) => state.targets.state(target) === 'serving')
}

/** Wait that a tier may be left with while lower tiers run. */
function allowedWait (service: poolView.Service, tier: protocol.Rank): number {
  const content = service.tiers.get(tier)
  if (content === undefined) return 0
  const { firstTokenMs, completionMs } = content.objectives
  if (firstTokenMs !== undefined) return firstTokenMs * FIRST_TOKEN_WAIT_SHARE
  if (completionMs !== undefined) return completionMs * COMPLETION_WAIT_SHARE
  return content.maxWaitMs * MAX_WAIT_SHARE
}

/** Refuses an ask as soon as nothing of a lower tier runs on its targets; until then it stays pending. */
export function * considerRefusal (state: context.Context, ask: waitingAsk.WaitingAsk, reason: protocol.Reason, nowMs: number): outputs.Outputs {
  const service = serviceOf(state, ask)
  const isAllowed = service === undefined || (yield * clearance.clearLower(state, ask.message.tier, service, ask.costTokens, nowMs))
  if (!isAllowed) {
    state.pending.set(ask.key, reason)
    return
  }
  yield * refusals.refuse(state, ask, reason, nowMs)
}

/**
 * Whether no idle target could have finished the request within its whole deadline.
 *
 * @example
 * ```ts
 * if (isUnreachable(ask)) yield * refuseUnreachable(context, ask, nowMs)
 * ```
 */
export function isUnreachable (ask: waitingAsk.WaitingAsk): boolean {
  return ask.serviceMs > ask.deadlineAtMs - ask.arrivedAtMs
}

/** Whether an idle target could no longer finish the request in time. */
function isTooLate (ask: waitingAsk.WaitingAsk, nowMs: number): boolean {
  return nowMs + ask.serviceMs > ask.deadlineAtMs
}

function findReason (state: context.Context, ask: waitingAsk.WaitingAsk, estimate: waitEstimate.WaitEstimate, tolerance: number, nowMs: number): protocol.Reason | undefined {
  if (!estimate.isMeasured) return undefined
  if (estimate.waitMs > refusals.maxWaitOf(state, ask.message.service, ask.message.tier) * tolerance) return 'shed'
  return nowMs + estimate.waitMs / tolerance + ask.serviceMs > ask.deadlineAtMs ? 'deadline-unreachable' : undefined
}

/** Schedules the next look at an ask that waits. */
export function schedule (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): void {
  if (!hasTarget(state, serviceOf(state, ask))) state.deadlines.push({ atMs: nowMs + NO_TARGET_HOLD_MS, key: ask.key })
  state.deadlines.push({ atMs: ask.deadlineAtMs - ask.serviceMs - PREEMPT_LEAD_MS, key: ask.key })
}

/** Decides about an ask that was queued just now and found no room. */
export function * handleQueued (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): outputs.Outputs {
  schedule(state, ask, nowMs)
  const service = serviceOf(state, ask)
  const estimate = refusals.estimateFor(state, ask, nowMs)
  if (service === undefined || estimate === undefined || !hasTarget(state, service)) return
  const reason = findReason(state, ask, estimate, 1, nowMs)
  if (reason !== undefined) yield * considerRefusal(state, ask, reason, nowMs)
}

function * handleDue (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): outputs.Outputs {
  const service = serviceOf(state, ask)
  if (!hasTarget(state, service) && nowMs - ask.queuedAtMs >= NO_TARGET_HOLD_MS) {
    yield * considerRefusal(state, ask, 'no-target', nowMs)
    return
  }
  const latestStartMs = ask.deadlineAtMs - ask.serviceMs
  if (nowMs <= latestStartMs) {
    const isNear = nowMs >= latestStartMs - PREEMPT_LEAD_MS
    if (service !== undefined && isNear) yield * preemption.preempt(state, ask.message.tier, service, ask.costTokens, nowMs)
    state.deadlines.push({ atMs: isNear ? latestStartMs + 1 : latestStartMs - PREEMPT_LEAD_MS, key: ask.key })
    return
  }
  if (nowMs > ask.deadlineAtMs) state.queue.hold(ask.key)
  yield * considerRefusal(state, ask, 'deadline-unreachable', nowMs)
}

/** Looks at asks whose latest possible start has come. */
export function * handleDeadlines (state: context.Context, nowMs: number): outputs.Outputs {
  for (let looks = 0; looks < MAX_PER_TICK; looks++) {
    const item = state.deadlines.popDue(nowMs)
    if (item === undefined) return
    const ask = state.queue.get(item.key)
    if (ask !== undefined && !state.pending.has(item.key)) yield * handleDue(state, ask, nowMs)
  }
}

function isStillDue (state: context.Context, ask: waitingAsk.WaitingAsk, reason: protocol.Reason, nowMs: number): boolean {
  if (reason === 'no-target') return !hasTarget(state, serviceOf(state, ask))
  if (isTooLate(ask, nowMs)) return true
  const estimate = refusals.estimateFor(state, ask, nowMs)
  return estimate === undefined || findReason(state, ask, estimate, 1, nowMs) !== undefined
}

/** Looks again at asks that could not be refused because a lower tier still ran. */
export function * handlePending (state: context.Context, nowMs: number): outputs.Outputs {
  let looks = 0
  for (const [key, reason] of [...state.pending]) {
    if (looks++ >= MAX_PER_TICK) return
    const ask = state.queue.get(key)
    state.pending.delete(key)
    if (ask === undefined) continue
    if (isStillDue(state, ask, reason, nowMs)) yield * considerRefusal(state, ask, isTooLate(ask, nowMs) ? 'deadline-unreachable' : reason, nowMs)
    else schedule(state, ask, nowMs)
  }
}

/** Refuses the newest asks of lanes whose expected wait has grown beyond what is allowed. */
export function * handleTails (state: context.Context, nowMs: number): outputs.Outputs {
  let refused = 0
  for (const ask of state.queue.tails()) {
    const estimate = refusals.estimateFor(state, ask, nowMs)
    if (estimate === undefined || state.pending.has(ask.key)) continue
    const reason = findReason(state, ask, estimate, QUEUED_TOLERANCE, nowMs)
    if (reason === undefined) continue
    yield * considerRefusal(state, ask, reason, nowMs)
    if (++refused >= MAX_PER_TICK) return
  }
}

/** Stops lower tiers for the first ask of each tier that has waited longer than its objective allows. */
export function * handleHeads (state: context.Context, nowMs: number): outputs.Outputs {
  for (const [name, service] of state.view().services) {
    if (service.document.weighing.prefer !== 'goodput-by-tier') continue
    for (const rank of state.queue.ranks()) {
      const ask = state.queue.tier(rank).next((other) => other === name)
      if (ask === undefined || nowMs - ask.arrivedAtMs <= allowedWait(service, rank)) continue
      yield * preemption.preempt(state, rank, service, ask.costTokens, nowMs)
    }
  }
}
