/**
 * The final outcome of a request: told to its callers at once, kept for resends.
 *
 * @module
 */
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as event from './event.js'
import type * as request from './request.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

/** Time after which a caller may come back when nothing better is known, milliseconds. */
export const RETRY_AFTER_MS = 1_000

function forgetRequest (own: state.State, settled: request.Request): void {
  if (settled.slot !== undefined) own.requestOfAsk.delete(settled.slot.ask)
  for (const caller of settled.callers) own.requestOfCaller.delete(caller)
  own.requests.delete(settled.arrival.request)
}

/** Keeps a final outcome: for resends when the request has an identity of its caller, otherwise for questions. */
export function * keep (own: state.State, arrival: event.Arrival, final: event.Receipt, retryAfterMs: number): output.Outputs {
  if (arrival.identity === undefined) yield * own.unnamed.add({ request: arrival.request, epoch: own.ledger.beat, receipt: final })
  else own.ledger.settle(final.identity, { receipt: final, retryAfterMs })
}

/** Records a final outcome; callers that get no answer of a target are refused. */
export function * settle (own: state.State, settled: request.Request, final: event.Receipt, retryAfterMs: number): output.Outputs {
  forgetRequest(own, settled)
  yield output.count(`entry.outcome.${final.reason}`)
  if (final.reason !== 'finished') {
    for (const caller of settled.callers) yield { kind: 'refuse', request: caller, receipt: final, retryAfterMs }
  }
  yield { kind: 'settled', receipt: final }
  yield * keep(own, settled.arrival, final, retryAfterMs)
}

/** Gives up on a waiting request: it was not run. */
export function * giveUp (own: state.State, waiting: request.Waiting, outcome: receipt.Outcome, retryAfterMs: number, nowMs: number): output.Outputs {
  yield * slotRequest.withdraw(own, waiting)
  yield * settle(own, waiting, receipt.ofRequest(waiting, outcome, nowMs, undefined), retryAfterMs)
}
