/**
 * Refuses arrivals that are not accepted.
 *
 * @module
 */
import type * as event from './event.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import * as settle from './settle.js'
import type * as state from './state.js'

/** Refuses an arrival whose identity is malformed, expired, not owned by this entry, or used by another request. Records no outcome. */
export function * refuseUnrecorded (arrival: event.Arrival, outcome: receipt.Outcome): output.Outputs {
  yield output.count(`entry.outcome.${outcome.reason}`)
  const finalReceipt = receipt.forArrival(arrival, arrival.identity ?? '', outcome)
  yield { kind: 'refuse', request: arrival.request, receipt: finalReceipt, retryAfterMs: 0 }
}

/** Refuses an arrival and records the outcome, so that a late copy under the same identity is refused as well. */
export function * refuse (entryState: state.State, arrival: event.Arrival, identity: string, outcome: receipt.Outcome, retryAfterMs: number): output.Outputs {
  const finalReceipt = receipt.forArrival(arrival, identity, outcome)
  yield output.count(`entry.outcome.${outcome.reason}`)
  yield { kind: 'refuse', request: arrival.request, receipt: finalReceipt, retryAfterMs }
  yield { kind: 'settled', receipt: finalReceipt }
  yield * settle.retainOutcome(entryState, arrival, finalReceipt, retryAfterMs)
}
