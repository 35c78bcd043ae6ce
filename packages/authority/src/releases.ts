/**
 * Handles released slots and updates the estimates from their outcomes.
 *
 * @module
 */
import * as crashes from './crashes.js'
import * as outputs from './outputs.js'
import * as refusals from './refusals.js'
import * as waitingRequest from './waiting-request.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as slot from './slot.js'

/** Frees a slot without updating estimates. */
export function freeSlot (state: context.Context, key: string, nowMs: number): slot.Slot | undefined {
  const granted = state.slots.remove(key)
  if (granted === undefined) return undefined
  state.targets.model(granted.target)?.remove(granted.costTokens, granted.grantedAtMs + granted.expectedFirstTokenMs, nowMs)
  state.reservations.release(key)
  return granted
}

function correctShare (state: context.Context, granted: slot.Slot, actualTokens: number): void {
  state.queue.tier(granted.tier).correct(granted.service, granted.organisation, actualTokens - granted.costTokens)
}

function updateEstimates (state: context.Context, granted: slot.Slot, message: protocol.Release, nowMs: number): void {
  const model = state.targets.model(granted.target)
  const isPlain = state.targets.kind(granted.target) === 'plain'
  const betweenTokensMs = state.view().services.get(granted.service)?.tiers.get(granted.tier)?.objectives.betweenTokensMs
  if (isPlain) {
    model?.observe({ uncachedTokens: granted.costTokens, answerTokens: 0, costTokens: granted.costTokens, backlogMs: 0, firstTokenMs: message.totalMs, totalMs: message.totalMs, betweenTokensMs: undefined }, nowMs)
    return
  }
  state.responseLengths.observe(granted.service, granted.answerTokens, message.answerTokens)
  if (message.cachedTokens !== undefined) state.prefixes.recordHits(granted.target, granted.cachedTokens, message.cachedTokens)
  correctShare(state, granted, message.promptTokens + message.answerTokens)
  if (message.firstTokenMs <= 0) {
    model?.observeTotal(message.totalMs)
    return
  }
  const { answerTokens, firstTokenMs, totalMs } = message
  const uncachedTokens = Math.max(0, message.promptTokens - (message.cachedTokens ?? granted.cachedTokens))
  model?.observe({ uncachedTokens, answerTokens, costTokens: granted.costTokens, backlogMs: granted.backlogMs, firstTokenMs, totalMs, betweenTokensMs }, nowMs)
}

function * handleUnknown (state: context.Context, key: string, message: protocol.Release, nowMs: number): outputs.Outputs {
  yield outputs.count('unknown.release')
  if (message.outcome === 'unused' || message.outcome === 'unreachable') return
  const request = state.queue.get(key)
  if (request !== undefined) refusals.drop(state, request)
  state.slots.markEnded(key, nowMs)
}

/** Handles the release of a slot. */
export function * handleRelease (state: context.Context, from: protocol.Incarnation, message: protocol.Release, nowMs: number): outputs.Outputs {
  const key = waitingRequest.keyOf(from, message.ask)
  const granted = state.slots.get(key)
  if (granted === undefined) {
    yield * handleUnknown(state, key, message, nowMs)
    return
  }
  if (message.outcome === 'crashed') yield * crashes.handleCrash(state, granted, nowMs)
  freeSlot(state, key, nowMs)
  yield outputs.count(`released.${message.outcome}`)
  if (message.outcome === 'unused') {
    correctShare(state, granted, 0)
    return
  }
  if (message.outcome === 'unreachable') {
    yield * crashes.handleUndispatched(state, granted, nowMs)
    correctShare(state, granted, 0)
    if (state.targets.recordFailure(granted.target, 'unreachable', granted.grantedAtMs, nowMs)) yield outputs.count('targets.unreachable')
    return
  }
  state.slots.markEnded(key, nowMs)
  if (message.outcome === 'finished') updateEstimates(state, granted, message, nowMs)
  if (message.outcome === 'finished' || message.outcome === 'failed') {
    state.targets.recordSuccess(granted.target, granted.grantedAtMs)
    yield * crashes.clearSuspect(state, granted, nowMs)
  }
}
