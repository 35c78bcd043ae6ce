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
import type * as waitingRequest from './waiting-request.js'

/** Time before the latest possible start at which lower tiers are stopped for an ask, milliseconds. */
const PREEMPT_LEAD_MS = 500
/** Time for which an ask waits for a target of its service to appear, milliseconds. */
const NO_TARGET_WAIT_MS = 5_000
/** Asks refused or looked at again in one tick. */
const MAX_REQUESTS_PER_TICK = 64
/** Factor by which a queued ask's expected wait may grow beyond its limit. */
const QUEUED_TOLERANCE = 1.5
/** Share of the first-token objective that may be spent waiting. */
const FIRST_TOKEN_WAIT_SHARE = 0.7
/** Share of the completion objective that may be spent waiting. */
const COMPLETION_WAIT_SHARE = 0.25
/** Share of the longest wait that is allowed where no objective is stated. */
const MAX_WAIT_SHARE = 0.5

function serviceOf (state: context.Context, request: waitingRequest.WaitingRequest): poolView.Service | undefined {
  return state.view().services.get(request.message.service)
}

function hasServingTarget (state: context.Context, service: poolView.Service | undefined): boolean {
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
export function * considerRefusal (state: context.Context, request: waitingRequest.WaitingRequest, reason: protocol.Reason, nowMs: number): outputs.Outputs {
  const service = serviceOf(state, request)
  const isAllowed = service === undefined || (yield * clearance.clearLowerTiers(state, request.message.tier, service, request.costTokens, nowMs))
  if (!isAllowed) {
    state.pendingRefusals.set(request.key, reason)
    return
  }
  yield * refusals.refuse(state, request, reason, nowMs)
}

/**
 * Whether no idle target could have finished the request within its whole deadline.
 *
 * @example
 * ```ts
 * if (isUnreachable(ask)) yield * refuseUnreachable(context, ask, nowMs)
 * ```
 */
export function isUnreachable (request: waitingRequest.WaitingRequest): boolean {
  return request.serviceTimeMs > request.deadlineAtMs - request.arrivedAtMs
}

/** Whether an idle target could no longer finish the request in time. */
function isTooLate (request: waitingRequest.WaitingRequest, nowMs: number): boolean {
  return nowMs + request.serviceTimeMs > request.deadlineAtMs
}

function findReason (state: context.Context, request: waitingRequest.WaitingRequest, estimate: waitEstimate.WaitEstimate, tolerance: number, nowMs: number): protocol.Reason | undefined {
  if (!estimate.isMeasured) return undefined
  if (estimate.waitMs > refusals.maxWaitOf(state, request.message.service, request.message.tier) * tolerance) return 'shed'
  return nowMs + estimate.waitMs / tolerance + request.serviceTimeMs > request.deadlineAtMs ? 'deadline-unreachable' : undefined
}

/** Schedules the next look at an ask that waits. */
export function scheduleRecheck (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): void {
  if (!hasServingTarget(state, serviceOf(state, request))) state.deadlines.push({ atMs: nowMs + NO_TARGET_WAIT_MS, key: request.key })
  state.deadlines.push({ atMs: request.deadlineAtMs - request.serviceTimeMs - PREEMPT_LEAD_MS, key: request.key })
}

/** Decides about an ask that was queued just now and found no room. */
export function * handleQueued (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
  scheduleRecheck(state, request, nowMs)
  const service = serviceOf(state, request)
  const estimate = refusals.estimateWaitOf(state, request, nowMs)
  if (service === undefined || estimate === undefined || !hasServingTarget(state, service)) return
  const reason = findReason(state, request, estimate, 1, nowMs)
  if (reason !== undefined) yield * considerRefusal(state, request, reason, nowMs)
}

function * handleDue (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
  const service = serviceOf(state, request)
  if (!hasServingTarget(state, service) && nowMs - request.queuedAtMs >= NO_TARGET_WAIT_MS) {
    yield * considerRefusal(state, request, 'no-target', nowMs)
    return
  }
  const latestStartMs = request.deadlineAtMs - request.serviceTimeMs
  if (nowMs <= latestStartMs) {
    const isNear = nowMs >= latestStartMs - PREEMPT_LEAD_MS
    if (service !== undefined && isNear) yield * preemption.preempt(state, request.message.tier, service, request.costTokens, nowMs)
    state.deadlines.push({ atMs: isNear ? latestStartMs + 1 : latestStartMs - PREEMPT_LEAD_MS, key: request.key })
    return
  }
  if (nowMs > request.deadlineAtMs) state.queue.suspend(request.key)
  yield * considerRefusal(state, request, 'deadline-unreachable', nowMs)
}

/** Looks at asks whose latest possible start has come. */
export function * handleDeadlines (state: context.Context, nowMs: number): outputs.Outputs {
  for (let handled = 0; handled < MAX_REQUESTS_PER_TICK; handled++) {
    const item = state.deadlines.popDue(nowMs)
    if (item === undefined) return
    const request = state.queue.get(item.key)
    if (request !== undefined && !state.pendingRefusals.has(item.key)) yield * handleDue(state, request, nowMs)
  }
}

function isStillWarranted (state: context.Context, request: waitingRequest.WaitingRequest, reason: protocol.Reason, nowMs: number): boolean {
  if (reason === 'no-target') return !hasServingTarget(state, serviceOf(state, request))
  if (isTooLate(request, nowMs)) return true
  const estimate = refusals.estimateWaitOf(state, request, nowMs)
  return estimate === undefined || findReason(state, request, estimate, 1, nowMs) !== undefined
}

/** Looks again at asks that could not be refused because a lower tier still ran. */
export function * handlePendingRefusals (state: context.Context, nowMs: number): outputs.Outputs {
  let handled = 0
  for (const [key, reason] of [...state.pendingRefusals]) {
    if (handled++ >= MAX_REQUESTS_PER_TICK) return
    const request = state.queue.get(key)
    state.pendingRefusals.delete(key)
    if (request === undefined) continue
    if (isStillWarranted(state, request, reason, nowMs)) yield * considerRefusal(state, request, isTooLate(request, nowMs) ? 'deadline-unreachable' : reason, nowMs)
    else scheduleRecheck(state, request, nowMs)
  }
}

/** Refuses the newest asks of lanes whose expected wait has grown beyond what is allowed. */
export function * shedTails (state: context.Context, nowMs: number): outputs.Outputs {
  let refused = 0
  for (const request of state.queue.tails()) {
    const estimate = refusals.estimateWaitOf(state, request, nowMs)
    if (estimate === undefined || state.pendingRefusals.has(request.key)) continue
    const reason = findReason(state, request, estimate, QUEUED_TOLERANCE, nowMs)
    if (reason === undefined) continue
    yield * considerRefusal(state, request, reason, nowMs)
    if (++refused >= MAX_REQUESTS_PER_TICK) return
  }
}

/** Stops lower tiers for the first ask of each tier that has waited longer than its objective allows. */
export function * preemptForHeads (state: context.Context, nowMs: number): outputs.Outputs {
  for (const [name, service] of state.view().services) {
    if (service.document.weighing.prefer !== 'goodput-by-tier') continue
    for (const rank of state.queue.ranks()) {
      const request = state.queue.tier(rank).next((other) => other === name)
      if (request === undefined || nowMs - request.arrivedAtMs <= allowedWait(service, rank)) continue
      yield * preemption.preempt(state, rank, service, request.costTokens, nowMs)
    }
  }
}
