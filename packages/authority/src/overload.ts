/**
 * Handles requests that find no free slot: stops lower tiers, refuses the request, or lets it wait.
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

/** Time before a request's latest possible start at which lower tiers are stopped for it, milliseconds. */
const PREEMPT_LEAD_MS = 500
/** Time for which a request waits until its service has a serving target, milliseconds. */
const NO_TARGET_WAIT_MS = 5_000
/** Requests checked again or refused by each check of one tick. */
const MAX_REQUESTS_PER_TICK = 64
/** Factor by which the expected wait of a queued request may exceed the limit. */
const QUEUED_TOLERANCE = 1.5
/** Share of the first-token objective that a request may wait before lower tiers are stopped. */
const FIRST_TOKEN_WAIT_SHARE = 0.7
/** Share of the completion objective that a request may wait before lower tiers are stopped. */
const COMPLETION_WAIT_SHARE = 0.25
/** Share of the maximum wait that a request may wait where the tier has no objective. */
const MAX_WAIT_SHARE = 0.5

function serviceOf (state: context.Context, request: waitingRequest.WaitingRequest): poolView.Service | undefined {
  return state.view().services.get(request.message.service)
}

function hasServingTarget (state: context.Context, service: poolView.Service | undefined): boolean {
  return service !== undefined && service.targets.some((target) => state.targets.state(target) === 'serving')
}

/** Returns the time that a request of a tier may wait while lower tiers run, milliseconds. */
function allowedWait (service: poolView.Service, tier: protocol.Rank): number {
  const content = service.tiers.get(tier)
  if (content === undefined) return 0
  const { firstTokenMs, completionMs } = content.objectives
  if (firstTokenMs !== undefined) return firstTokenMs * FIRST_TOKEN_WAIT_SHARE
  if (completionMs !== undefined) return completionMs * COMPLETION_WAIT_SHARE
  return content.maxWaitMs * MAX_WAIT_SHARE
}

/** Refuses a request if no lower tier runs on the targets of its service; otherwise the refusal stays pending. */
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
 * Returns whether even an idle target could not have met the deadline from the request's arrival.
 *
 * @example
 * ```ts
 * if (isUnreachable(request)) yield * refuseUnreachable(context, request, nowMs)
 * ```
 */
export function isUnreachable (request: waitingRequest.WaitingRequest): boolean {
  return request.serviceTimeMs > request.deadlineAtMs - request.arrivedAtMs
}

/** Returns whether even an idle target could no longer meet the deadline. */
function isTooLate (request: waitingRequest.WaitingRequest, nowMs: number): boolean {
  return nowMs + request.serviceTimeMs > request.deadlineAtMs
}

function findReason (state: context.Context, request: waitingRequest.WaitingRequest, estimate: waitEstimate.WaitEstimate, tolerance: number, nowMs: number): protocol.Reason | undefined {
  if (!estimate.isMeasured) return undefined
  if (estimate.waitMs > refusals.maxWaitOf(state, request.message.service, request.message.tier) * tolerance) return 'shed'
  return nowMs + estimate.waitMs / tolerance + request.serviceTimeMs > request.deadlineAtMs ? 'deadline-unreachable' : undefined
}

/** Schedules the next check of a waiting request. */
export function scheduleRecheck (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): void {
  if (!hasServingTarget(state, serviceOf(state, request))) state.deadlines.push({ atMs: nowMs + NO_TARGET_WAIT_MS, key: request.key })
  state.deadlines.push({ atMs: request.deadlineAtMs - request.serviceTimeMs - PREEMPT_LEAD_MS, key: request.key })
}

/** Handles a request that was just queued and found no free slot. */
export function * checkQueued (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
  scheduleRecheck(state, request, nowMs)
  const service = serviceOf(state, request)
  const estimate = refusals.estimateWaitOf(state, request, nowMs)
  if (service === undefined || estimate === undefined || !hasServingTarget(state, service)) return
  const reason = findReason(state, request, estimate, 1, nowMs)
  if (reason !== undefined) yield * considerRefusal(state, request, reason, nowMs)
}

function * checkDue (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
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

/** Checks the waiting requests whose scheduled check is due. */
export function * checkDeadlines (state: context.Context, nowMs: number): outputs.Outputs {
  for (let handled = 0; handled < MAX_REQUESTS_PER_TICK; handled++) {
    const item = state.deadlines.popDue(nowMs)
    if (item === undefined) return
    const request = state.queue.get(item.key)
    if (request !== undefined && !state.pendingRefusals.has(item.key)) yield * checkDue(state, request, nowMs)
  }
}

function isStillWarranted (state: context.Context, request: waitingRequest.WaitingRequest, reason: protocol.Reason, nowMs: number): boolean {
  if (reason === 'no-target') return !hasServingTarget(state, serviceOf(state, request))
  if (isTooLate(request, nowMs)) return true
  const estimate = refusals.estimateWaitOf(state, request, nowMs)
  return estimate === undefined || findReason(state, request, estimate, 1, nowMs) !== undefined
}

/** Checks again the requests that could not be refused because a lower tier was still running. */
export function * checkPendingRefusals (state: context.Context, nowMs: number): outputs.Outputs {
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

/** Refuses the newest request of each subqueue if its expected wait has grown beyond the limit. */
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

/** Stops lower tiers for the first request of each tier if it has waited longer than its objective allows. */
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
