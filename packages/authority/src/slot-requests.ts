/**
 * Handles slot requests, withdrawals and freshness rounds.
 *
 * @module
 */
import * as grants from './grants.js'
import * as outputs from './outputs.js'
import * as overload from './overload.js'
import * as place from './place.js'
import * as refusals from './refusals.js'
import * as waitEstimate from './wait-estimate.js'
import * as waitingRequest from './waiting-request.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'

/** Requests that may wait at one authority; further slot requests are ignored. */
const MAX_WAITING_REQUESTS = 100_000

function estimateCostTokens (state: context.Context, message: protocol.SlotRequest): number {
  const isPlain = state.view().services.get(message.service)?.document.kind === 'plain'
  if (isPlain) return Math.max(1, message.answerTokens)
  return Math.max(1, message.promptTokens + state.responseLengths.estimate(message.service, message.answerTokens))
}

function createWaitingRequest (state: context.Context, from: protocol.Incarnation, message: protocol.SlotRequest, nowMs: number): waitingRequest.WaitingRequest {
  const service = state.view().services.get(message.service)
  const request: waitingRequest.WaitingRequest = {
    key: waitingRequest.keyOf(from, message.ask),
    entry: from,
    message,
    costTokens: estimateCostTokens(state, message),
    share: service?.shares.get(message.organisation) ?? 1,
    arrivedAtMs: nowMs - Math.max(0, message.waitedMs),
    sequence: state.nextSequence(),
    deadlineAtMs: nowMs + message.deadlineMs,
    queuedAtMs: nowMs,
    serviceTimeMs: 0,
    expectedWaitMs: 0
  }
  if (service === undefined) return request
  const idleMs = waitEstimate.rateOf(state, service, nowMs).isMeasured ? place.estimateIdleTime(state, request, service) : 0
  const serviceTimeMs = Number.isFinite(idleMs) ? idleMs : 0
  const expectedWaitMs = state.queue.size() === 0 ? 0 : refusals.estimateWaitOf(state, request, nowMs)?.waitMs ?? 0
  return { ...request, serviceTimeMs, expectedWaitMs }
}

/** Handles the freshness round of a message; the entry's requests may be granted again. */
export function * handleRound (state: context.Context, from: protocol.Incarnation, round: number, nowMs: number): outputs.Outputs {
  if (!state.entries.observeRound(from, round, nowMs)) {
    yield outputs.count('stale.round')
    return
  }
  if (state.entries.isFresh(from, nowMs)) state.queue.resumeEntry(from)
}

/**
 * Resends the grant of a request that already has a slot: the grant was lost, or the slot request was sent twice. A
 * grant that may no longer be used is not resent; the entry's next holdings show what became of it.
 */
function * resendGrant (state: context.Context, key: string, nowMs: number): outputs.Outputs {
  const existing = state.slots.get(key)
  if (existing === undefined) return
  yield outputs.count('duplicate.ask')
  const round = state.entries.get(existing.entry)?.round
  if (round === undefined || !state.entries.isFresh(existing.entry, nowMs)) return
  if (state.targets.isLeaving(existing.target) || existing.revokedAtMs !== undefined) return
  yield outputs.send(existing.entry, { kind: 'grant', ask: existing.slotRequestId, target: existing.target, round, figures: existing.figures })
}

function * enqueue (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): outputs.Outputs {
  const suspect = state.suspects.get(request.message.fingerprint, nowMs)
  if (suspect?.update.state === 'refused') {
    yield * refusals.refuseSuspect(state, request, suspect.update.crashes, suspect.expiresAtMs - nowMs)
    return
  }
  if (overload.isUnreachable(request)) {
    yield * refusals.refuseUnreachable(state, request, nowMs)
    return
  }
  state.queue.add(request)
  if (suspect?.update.state === 'suspect') {
    state.queue.suspend(request.key)
    state.isolated.add(request.key)
  }
  if (!grants.isBlocked(state, request)) yield * grants.grantWaiting(state, nowMs)
  if (state.queue.get(request.key) !== undefined) yield * overload.checkQueued(state, request, nowMs)
}

/** Handles a slot request that is new, a retry, or already granted. */
export function * handleSlotRequest (state: context.Context, from: protocol.Incarnation, message: protocol.SlotRequest, nowMs: number): outputs.Outputs {
  if (message.pool !== state.options.pool) {
    yield outputs.count('foreign.ask')
    return
  }
  yield * handleRound(state, from, message.round, nowMs)
  const key = waitingRequest.keyOf(from, message.ask)
  if (state.slots.get(key) !== undefined) {
    yield * resendGrant(state, key, nowMs)
  } else if (state.slots.hasEnded(key) || state.queue.get(key) !== undefined) {
    yield outputs.count('duplicate.ask')
    yield * grants.grantWaiting(state, nowMs)
  } else if (state.queue.size() >= MAX_WAITING_REQUESTS) {
    yield outputs.count('overfull.ask')
  } else {
    yield * enqueue(state, createWaitingRequest(state, from, message, nowMs), nowMs)
  }
}

/** Handles the withdrawal of a slot request. */
export function * handleWithdraw (state: context.Context, from: protocol.Incarnation, message: protocol.Withdraw, nowMs: number): outputs.Outputs {
  const request = state.queue.get(waitingRequest.keyOf(from, message.ask))
  if (request === undefined) {
    yield outputs.count('unknown.withdraw')
    return
  }
  refusals.drop(state, request)
  yield outputs.count('withdrawn')
  yield * grants.grantWaiting(state, nowMs)
}
