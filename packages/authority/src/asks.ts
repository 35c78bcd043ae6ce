/**
 * Takes asks, withdrawals and freshness rounds.
 *
 * @module
 */
import * as grants from './grants.js'
import * as outputs from './outputs.js'
import * as overload from './overload.js'
import * as place from './place.js'
import * as refusals from './refusals.js'
import * as waitEstimate from './wait-estimate.js'
import * as waitingAsk from './waiting-ask.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'

/** Asks that wait at one authority; more are refused. */
const MAX_WAITING = 100_000

function costOf (state: context.Context, message: protocol.Ask): number {
  const isPlain = state.view().services.get(message.service)?.document.kind === 'plain'
  if (isPlain) return Math.max(1, message.answerTokens)
  return Math.max(1, message.promptTokens + state.answers.expect(message.service, message.answerTokens))
}

function toWaiting (state: context.Context, from: protocol.Incarnation, message: protocol.Ask, nowMs: number): waitingAsk.WaitingAsk {
  const service = state.view().services.get(message.service)
  const ask: waitingAsk.WaitingAsk = {
    key: waitingAsk.keyOf(from, message.ask),
    entry: from,
    message,
    costTokens: costOf(state, message),
    share: service?.shares.get(message.organisation) ?? 1,
    arrivedAtMs: nowMs - Math.max(0, message.waitedMs),
    sequence: state.nextSequence(),
    deadlineAtMs: nowMs + message.deadlineMs,
    queuedAtMs: nowMs,
    serviceMs: 0,
    expectedWaitMs: 0
  }
  if (service === undefined) return ask
  const idleMs = waitEstimate.rateOf(state, service, nowMs).isMeasured ? place.expectIdle(state, ask, service) : 0
  const serviceMs = Number.isFinite(idleMs) ? idleMs : 0
  const expectedWaitMs = state.queue.size() === 0 ? 0 : refusals.estimateFor(state, ask, nowMs)?.waitMs ?? 0
  return { ...ask, serviceMs, expectedWaitMs }
}

/** Takes the round that a message carried; the entry's asks may be granted again. */
export function * handleRound (state: context.Context, from: protocol.Incarnation, round: number, nowMs: number): outputs.Outputs {
  if (!state.entries.observeRound(from, round, nowMs)) {
    yield outputs.count('stale.round')
    return
  }
  if (state.entries.isFresh(from, nowMs)) state.queue.unpark(from)
}

/**
 * A re-ask of an ask that has a slot: the grant was lost, or the ask was sent twice. A grant that may
 * not be used any more is not repeated; what became of it shows in the entry's next holdings.
 */
function * repeatGrant (state: context.Context, key: string, nowMs: number): outputs.Outputs {
  const granted = state.slots.get(key)
  if (granted === undefined) return
  yield outputs.count('duplicate.ask')
  const round = state.entries.get(granted.entry)?.round
  if (round === undefined || !state.entries.isFresh(granted.entry, nowMs)) return
  if (state.targets.isLeaving(granted.target) || granted.revokedAtMs !== undefined) return
  yield outputs.send(granted.entry, { kind: 'grant', ask: granted.ask, target: granted.target, round, figures: granted.figures })
}

function * enqueue (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): outputs.Outputs {
  const suspicion = state.suspects.get(ask.message.fingerprint, nowMs)
  if (suspicion?.news.state === 'refused') {
    yield * refusals.refuseSuspect(state, ask, suspicion.news.crashes, suspicion.expiresAtMs - nowMs)
    return
  }
  if (overload.isUnreachable(ask)) {
    yield * refusals.refuseUnreachable(state, ask, nowMs)
    return
  }
  state.queue.add(ask)
  if (suspicion?.news.state === 'suspect') {
    state.queue.hold(ask.key)
    state.isolated.add(ask.key)
  }
  if (!grants.isBlocked(state, ask)) yield * grants.grantWaiting(state, nowMs)
  if (state.queue.get(ask.key) !== undefined) yield * overload.handleQueued(state, ask, nowMs)
}

/** Takes an ask: new, repeated, or one that was granted before. */
export function * handleAsk (state: context.Context, from: protocol.Incarnation, message: protocol.Ask, nowMs: number): outputs.Outputs {
  if (message.pool !== state.options.pool) {
    yield outputs.count('foreign.ask')
    return
  }
  yield * handleRound(state, from, message.round, nowMs)
  const key = waitingAsk.keyOf(from, message.ask)
  if (state.slots.get(key) !== undefined) {
    yield * repeatGrant(state, key, nowMs)
  } else if (state.slots.isClosed(key) || state.queue.get(key) !== undefined) {
    yield outputs.count('duplicate.ask')
    yield * grants.grantWaiting(state, nowMs)
  } else if (state.queue.size() >= MAX_WAITING) {
    yield outputs.count('overfull.ask')
  } else {
    yield * enqueue(state, toWaiting(state, from, message, nowMs), nowMs)
  }
}

/** The entry no longer wants a slot. */
export function * handleWithdraw (state: context.Context, from: protocol.Incarnation, message: protocol.Withdraw, nowMs: number): outputs.Outputs {
  const ask = state.queue.get(waitingAsk.keyOf(from, message.ask))
  if (ask === undefined) {
    yield outputs.count('unknown.withdraw')
    return
  }
  refusals.drop(state, ask)
  yield outputs.count('withdrawn')
  yield * grants.grantWaiting(state, nowMs)
}
