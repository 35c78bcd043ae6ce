/**
 * Handles ends of dispatches: releases the slot and settles the request, or queues it again if nothing was sent to the target.
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
import * as policyChange from './policy-change.js'

/** Number of unreachable targets after which a request is refused. */
export const MAX_UNREACHABLE_TARGETS = 3

function createRelease (running: request.Running, end: event.DispatchEnd): protocol.Release {
  const { promptTokens, cachedTokens, answerTokens } = end
  return {
    kind: 'release',
    ask: running.slotRequest.id,
    outcome: outcome.slotOutcome(end),
    promptTokens,
    cachedTokens,
    answerTokens,
    firstTokenMs: end.firstTokenMs > 0 ? Math.max(1, Math.round(end.firstTokenMs)) : 0,
    totalMs: Math.round(end.totalMs)
  }
}

function * releaseSlot (running: request.Running, end: event.DispatchEnd): output.Outputs {
  for (const authority of running.informedAuthorities) yield output.send(authority, createRelease(running, end))
}

/** Queues a request again whose target refused the connection: it was not dispatched and may go to another target. */
function * requeue (entryState: state.State, running: request.Running, end: event.DispatchEnd, nowMs: number): output.Outputs {
  const { target, dispatchedAtMs: _, informedAuthorities: __, cancelCause, ...rest } = running
  const waiting: request.Waiting = { ...rest, state: 'waiting', slotRequest: undefined, nextSlotRequestAtMs: nowMs, unreachableCount: rest.unreachableCount + 1 }
  entryState.requestBySlotRequest.delete(running.slotRequest.id)
  entryState.requests.set(waiting.arrival.request, waiting)
  if (cancelCause === 'caller-gone') {
    yield * settle.refuseWaiting(entryState, waiting, receipt.notRun('caller-gone', {}), 0, nowMs)
  } else if (waiting.unreachableCount >= MAX_UNREACHABLE_TARGETS) {
    const figures = { target, detail: end.detail, tries: waiting.unreachableCount }
    yield * settle.refuseWaiting(entryState, waiting, receipt.notRun('target-unreachable', figures), settle.DEFAULT_RETRY_AFTER_MS, nowMs)
  } else {
    yield * policyChange.refreshPolicy(entryState, waiting, nowMs)
  }
}

/** Handles the end of a dispatch. An end of a request that is not running is only counted. */
export function * handleDispatchEnd (entryState: state.State, requestNumber: number, end: event.DispatchEnd, nowMs: number): output.Outputs {
  const running = entryState.requests.get(requestNumber)
  if (running?.state !== 'running') {
    yield output.count('entry.ends-ignored')
    return
  }
  yield * releaseSlot(running, end)
  if (end.outcome === 'unreachable') {
    yield * requeue(entryState, running, end, nowMs)
    return
  }
  const finalReceipt = receipt.forRequest(running, outcome.classifyEnd(running, end.outcome, end), nowMs, end)
  yield * settle.settle(entryState, running, finalReceipt, settle.DEFAULT_RETRY_AFTER_MS)
}
