/**
 * Refuses waiting requests, with the figures behind the decision.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as place from './place.js'
import * as waitEstimate from './wait-estimate.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingRequest from './waiting-request.js'

const MIN_RETRY_MS = 1_000
const MAX_RETRY_MS = 600_000
/** Maximum random share added to the retry time, so that callers do not retry at the same time. */
const MAX_RETRY_JITTER = 0.2
const DEFAULT_MAX_WAIT_MS = 30_000
const NO_TARGET_RETRY_MS = 5_000

/** Returns the maximum expected wait for a tier of a service, milliseconds. */
export function maxWaitOf (state: context.Context, service: string, tier: protocol.Rank): number {
  return state.view().services.get(service)?.tiers.get(tier)?.maxWaitMs ?? DEFAULT_MAX_WAIT_MS
}

/** Estimates the wait of a request that is queued or about to be queued. */
export function estimateWaitOf (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): waitEstimate.WaitEstimate | undefined {
  const service = state.view().services.get(request.message.service)
  if (service === undefined) return undefined
  const { tier, organisation } = request.message
  const isQueued = state.queue.get(request.key) !== undefined && !state.isolated.has(request.key)
  return waitEstimate.estimateWait(state, service, { service: request.message.service, organisation, tier, costTokens: request.costTokens, isQueued }, nowMs)
}

function listFigures (state: context.Context, request: waitingRequest.WaitingRequest, estimate: waitEstimate.WaitEstimate | undefined, nowMs: number): protocol.Figures {
  const service = state.view().services.get(request.message.service)
  const idleMs = service === undefined ? 0 : place.estimateIdleTime(state, request, service)
  const expectedWaitMs = estimate?.waitMs ?? 0
  return {
    service: request.message.service,
    ahead: estimate?.aheadRequests ?? 0,
    queueTokens: estimate?.aheadTokens ?? 0,
    expectedWaitMs,
    maxWaitMs: maxWaitOf(state, request.message.service, request.message.tier),
    deadlineMs: Math.round(request.deadlineAtMs - request.arrivedAtMs),
    expectedMs: Math.round(nowMs - request.arrivedAtMs + expectedWaitMs + (Number.isFinite(idleMs) ? idleMs : 0)),
    waitedMs: Math.round(nowMs - request.arrivedAtMs)
  }
}

function retryAfter (state: context.Context, reason: protocol.Reason, figures: protocol.Figures): number {
  const excessMs = Number(figures.expectedWaitMs) - Number(figures.maxWaitMs)
  const baseRetryMs = reason === 'no-target' ? NO_TARGET_RETRY_MS : reason === 'shed' ? excessMs : Number(figures.expectedWaitMs)
  const jitter = 1 + MAX_RETRY_JITTER * state.options.random()
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, baseRetryMs * jitter)))
}

/** Removes a waiting request without sending a refusal. */
export function drop (state: context.Context, request: waitingRequest.WaitingRequest): void {
  state.queue.remove(request.key)
  state.pendingRefusals.delete(request.key)
  state.isolated.delete(request.key)
  state.reservations.release(request.key)
}

/** Refuses a request for lack of capacity or time. */
export function * refuse (state: context.Context, request: waitingRequest.WaitingRequest, reason: protocol.Reason, nowMs: number): outputs.Outputs {
  const figures = listFigures(state, request, estimateWaitOf(state, request, nowMs), nowMs)
  drop(state, request)
  const retryAfterMs = retryAfter(state, reason, figures)
  yield outputs.send(request.entry, { kind: 'refusal', ask: request.message.ask, reason, retryAfterMs, figures })
  yield outputs.count(`refused.${reason}`)
}

/** Refuses a request whose deadline even an idle target could not meet. */
export function * refuseUnreachable (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
  const figures = listFigures(state, request, undefined, nowMs)
  drop(state, request)
  const retryAfterMs = retryAfter(state, 'deadline-unreachable', figures)
  yield outputs.send(request.entry, { kind: 'refusal', ask: request.message.ask, reason: 'deadline-unreachable', retryAfterMs, figures })
  yield outputs.count('refused.deadline-unreachable')
}

/** Refuses a request whose content crashes targets. */
export function * refuseSuspect (state: context.Context, request: waitingRequest.WaitingRequest, crashes: number, remainingMs: number): outputs.Outputs {
  drop(state, request)
  const figures = { service: request.message.service, crashes, remainingS: Math.ceil(remainingMs / 1_000) }
  yield outputs.send(request.entry, { kind: 'refusal', ask: request.message.ask, reason: 'suspect-refused', retryAfterMs: Math.ceil(remainingMs), figures })
  yield outputs.count('refused.suspect-refused')
}
