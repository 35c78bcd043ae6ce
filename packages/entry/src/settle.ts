/**
 * Settles requests: reports the final outcome to the callers at once and retains it for resends.
 *
 * @module
 */
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as event from './event.js'
import type * as request from './request.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

/** Time after which a caller may retry when no better estimate is known, milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000

function removeRequest (entryState: state.State, settled: request.Request): void {
  if (settled.slotRequest !== undefined) entryState.requestBySlotRequest.delete(settled.slotRequest.id)
  for (const caller of settled.callers) entryState.requestByCaller.delete(caller)
  entryState.requests.delete(settled.arrival.request)
}

/** Retains a final outcome: for resends when the caller sent an identity, otherwise only to look up the receipt. */
export function * retainOutcome (entryState: state.State, arrival: event.Arrival, finalReceipt: event.Receipt, retryAfterMs: number): output.Outputs {
  if (arrival.identity === undefined) yield * entryState.receiptOnlyOutcomes.add({ request: arrival.request, epoch: entryState.ledger.heartbeat, receipt: finalReceipt })
  else entryState.ledger.settle(finalReceipt.identity, { receipt: finalReceipt, retryAfterMs })
}

/** Records a final outcome, and refuses the callers unless the target's response finished. */
export function * settle (entryState: state.State, settled: request.Request, finalReceipt: event.Receipt, retryAfterMs: number): output.Outputs {
  removeRequest(entryState, settled)
  yield output.count(`entry.outcome.${finalReceipt.reason}`)
  if (finalReceipt.reason !== 'finished') {
    for (const caller of settled.callers) yield { kind: 'refuse', request: caller, receipt: finalReceipt, retryAfterMs }
  }
  yield { kind: 'settled', receipt: finalReceipt }
  yield * retainOutcome(entryState, settled.arrival, finalReceipt, retryAfterMs)
}

/** Refuses a waiting request and withdraws its slot request. */
export function * refuseWaiting (entryState: state.State, waiting: request.Waiting, outcome: receipt.Outcome, retryAfterMs: number, nowMs: number): output.Outputs {
  yield * slotRequest.withdraw(entryState, waiting)
  yield * settle(entryState, waiting, receipt.forRequest(waiting, outcome, nowMs, undefined), retryAfterMs)
}
