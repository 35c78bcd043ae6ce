/**
 * Ends of dispatches: the slot is released and the request becomes final, unless nothing was sent.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as outcome from './outcome.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import type * as state from './state.js'
import * as termsChange from './terms-change.js'

/** Targets that may refuse the connection before the request is given up. */
export const UNREACHABLE_LIMIT = 3

function release (running: request.Running, end: event.DispatchEnd): protocol.Release {
  const { promptTokens, cachedTokens, answerTokens } = end
  return {
    kind: 'release',
    ask: running.slot.ask,
    outcome: outcome.slotOutcome(end),
    promptTokens,
    cachedTokens,
    answerTokens,
    firstTokenMs: end.firstTokenMs > 0 ? Math.max(1, Math.round(end.firstTokenMs)) : 0,
    totalMs: Math.round(end.totalMs)
  }
}

function * releaseSlot (running: request.Running, end: event.DispatchEnd): output.Outputs {
  for (const holder of running.holders) yield output.send(holder, release(running, end))
}

/** The target refused the connection, so the request was not dispatched and may go elsewhere. */
function * returnToQueue (own: state.State, running: request.Running, end: event.DispatchEnd, nowMs: number): output.Outputs {
  const { target, dispatchedMs: _, holders: __, cancelCause, ...rest } = running
  const waiting: request.Waiting = { ...rest, state: 'waiting', slot: undefined, askAgainAtMs: nowMs, unreachableCount: rest.unreachableCount + 1 }
  own.requestOfAsk.delete(running.slot.ask)
  own.requests.set(waiting.arrival.request, waiting)
  if (cancelCause === 'caller-gone') {
    yield * settle.giveUp(own, waiting, receipt.notRun('caller-gone', {}), 0, nowMs)
  } else if (waiting.unreachableCount >= UNREACHABLE_LIMIT) {
    const figures = { target, detail: end.detail, tries: waiting.unreachableCount }
    yield * settle.giveUp(own, waiting, receipt.notRun('target-unreachable', figures), settle.RETRY_AFTER_MS, nowMs)
  } else {
    yield * termsChange.refreshTerms(own, waiting, nowMs)
  }
}

/** Handles the end of a dispatch. */
export function * handleEnd (own: state.State, ended: number, end: event.DispatchEnd, nowMs: number): output.Outputs {
  const running = own.requests.get(ended)
  if (running?.state !== 'running') {
    yield output.count('entry.ends-ignored')
    return
  }
  yield * releaseSlot(running, end)
  if (end.outcome === 'unreachable') {
    yield * returnToQueue(own, running, end, nowMs)
    return
  }
  const final = receipt.ofRequest(running, outcome.ofEnd(running, end.outcome, end), nowMs, end)
  yield * settle.settle(own, running, final, settle.RETRY_AFTER_MS)
}
