/**
 * What is due by time alone.
 *
 * @module
 */
import * as callerGone from './caller-gone.js'
import type * as output from './output.js'
import * as receipt from './receipt.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

function * refuseOverdue (own: state.State, nowMs: number): output.Outputs {
  for (const waiting of own.waiting()) {
    if (nowMs < waiting.deadlineAtMs) continue
    const figures = { deadlineMs: waiting.terms.deadlineMs, expectedMs: nowMs - waiting.acceptedMs }
    yield * settle.giveUp(own, waiting, receipt.notRun('deadline-unreachable', figures), settle.RETRY_AFTER_MS, nowMs)
  }
}

/** Handles a tick. */
export function * handleTick (own: state.State, nowMs: number): output.Outputs {
  own.suspects.expire(nowMs)
  yield * refuseOverdue(own, nowMs)
  yield * callerGone.expireAbandoned(own, nowMs)
  yield * slotRequest.askAgain(own, (waiting) => waiting.slot === undefined && nowMs >= waiting.askAgainAtMs, nowMs)
  yield * slotRequest.repeatAsks(own, (slot) => nowMs - slot.askedMs >= slotRequest.ASK_RETRY_INTERVAL_MS, nowMs)
  yield * slotRequest.renewRounds(own, nowMs)
}
