/**
 * Handles ticks: deadlines, expiry, retries and renewals.
 *
 * @module
 */
import * as callerGone from './caller-gone.js'
import type * as output from './output.js'
import * as receipt from './receipt.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

function * refuseOverdue (entryState: state.State, nowMs: number): output.Outputs {
  for (const waiting of entryState.waiting()) {
    if (nowMs < waiting.deadlineAtMs) continue
    const figures = { deadlineMs: waiting.policy.deadlineMs, expectedMs: nowMs - waiting.acceptedAtMs }
    yield * settle.refuseWaiting(entryState, waiting, receipt.notRun('deadline-unreachable', figures), settle.DEFAULT_RETRY_AFTER_MS, nowMs)
  }
}

/** Handles a tick. */
export function * handleTick (entryState: state.State, nowMs: number): output.Outputs {
  entryState.suspects.expire(nowMs)
  yield * refuseOverdue(entryState, nowMs)
  yield * callerGone.expireAbandoned(entryState, nowMs)
  yield * slotRequest.requestSlots(entryState, (waiting) => waiting.slotRequest === undefined && nowMs >= waiting.nextSlotRequestAtMs, nowMs)
  yield * slotRequest.retrySlotRequests(entryState, (sent) => nowMs - sent.sentAtMs >= slotRequest.SLOT_REQUEST_RETRY_INTERVAL_MS, nowMs)
  yield * slotRequest.renewRounds(entryState, nowMs)
}
