/**
 * Refuses asks, with the figures behind the decision.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as place from './place.js'
import * as waitEstimate from './wait-estimate.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingAsk from './waiting-ask.js'

const MIN_RETRY_MS = 1_000
const MAX_RETRY_MS = 600_000
/** Random share added to the time to come back, so that callers do not come back together. */
const RETRY_RANDOM_SHARE = 0.2
const DEFAULT_MAX_WAIT_MS = 30_000
const NO_TARGET_RETRY_MS = 5_000

/** Longest expected wait for a tier of a service. */
export function maxWaitOf (state: context.Context, service: string, tier: protocol.Rank): number {
  return state.view().services.get(service)?.tiers.get(tier)?.maxWaitMs ?? DEFAULT_MAX_WAIT_MS
}

/** Estimates the wait of an ask that is queued or about to be. */
export function estimateFor (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): waitEstimate.WaitEstimate | undefined {
  const service = state.view().services.get(ask.message.service)
  if (service === undefined) return undefined
  const { tier, organisation } = ask.message
  const isQueued = state.queue.get(ask.key) !== undefined && !state.isolated.has(ask.key)
  return waitEstimate.estimateWait(state, service, { service: ask.message.service, organisation, tier, costTokens: ask.costTokens, isQueued }, nowMs)
}

function listFigures (state: context.Context, ask: waitingAsk.WaitingAsk, estimate: waitEstimate.WaitEstimate | undefined, nowMs: number): protocol.Figures {
  const service = state.view().services.get(ask.message.service)
  const idleMs = service === undefined ? 0 : place.expectIdle(state, ask, service)
  const expectedWaitMs = estimate?.waitMs ?? 0
  return {
    service: ask.message.service,
    ahead: estimate?.aheadRequests ?? 0,
    queueTokens: estimate?.aheadTokens ?? 0,
    expectedWaitMs,
    maxWaitMs: maxWaitOf(state, ask.message.service, ask.message.tier),
    deadlineMs: Math.round(ask.deadlineAtMs - ask.arrivedAtMs),
    expectedMs: Math.round(nowMs - ask.arrivedAtMs + expectedWaitMs + (Number.isFinite(idleMs) ? idleMs : 0)),
    waitedMs: Math.round(nowMs - ask.arrivedAtMs)
  }
}

function retryAfter (state: context.Context, reason: protocol.Reason, figures: protocol.Figures): number {
  const excessMs = Number(figures.expectedWaitMs) - Number(figures.maxWaitMs)
  const wantedMs = reason === 'no-target' ? NO_TARGET_RETRY_MS : reason === 'shed' ? excessMs : Number(figures.expectedWaitMs)
  const jitter = 1 + RETRY_RANDOM_SHARE * state.options.random()
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wantedMs * jitter)))
}

/** Drops a waiting ask without an answer. */
export function drop (state: context.Context, ask: waitingAsk.WaitingAsk): void {
  state.queue.remove(ask.key)
  state.pending.delete(ask.key)
  state.isolated.delete(ask.key)
  state.reservations.release(ask.key)
}

/** Refuses an ask for want of capacity or time. */
export function * refuse (state: context.Context, ask: waitingAsk.WaitingAsk, reason: protocol.Reason, nowMs: number): outputs.Outputs {
  const figures = listFigures(state, ask, estimateFor(state, ask, nowMs), nowMs)
  drop(state, ask)
  const retryAfterMs = retryAfter(state, reason, figures)
  yield outputs.send(ask.entry, { kind: 'refusal', ask: ask.message.ask, reason, retryAfterMs, figures })
  yield outputs.count(`refused.${reason}`)
}

/** Refuses an ask whose deadline no target could meet, however idle. */
export function * refuseUnreachable (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): outputs.Outputs {
  const figures = listFigures(state, ask, undefined, nowMs)
  drop(state, ask)
  const retryAfterMs = retryAfter(state, 'deadline-unreachable', figures)
  yield outputs.send(ask.entry, { kind: 'refusal', ask: ask.message.ask, reason: 'deadline-unreachable', retryAfterMs, figures })
  yield outputs.count('refused.deadline-unreachable')
}

/** Refuses an ask whose content crashes targets. */
export function * refuseSuspect (state: context.Context, ask: waitingAsk.WaitingAsk, crashes: number, remainingMs: number): outputs.Outputs {
  drop(state, ask)
  const figures = { service: ask.message.service, crashes, remainingS: Math.ceil(remainingMs / 1_000) }
  yield outputs.send(ask.entry, { kind: 'refusal', ask: ask.message.ask, reason: 'suspect-refused', retryAfterMs: Math.ceil(remainingMs), figures })
  yield outputs.count('refused.suspect-refused')
}
