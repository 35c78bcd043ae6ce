/**
 * Admission of new requests.
 *
 * @module
 */
import type * as event from './event.js'
import type * as output from './output.js'
import * as receipt from './receipt.js'
import * as refusal from './refusal.js'
import type * as request from './request.js'
import * as requestLimit from './request-limit.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'
import * as terms from './terms.js'

const MILLISECONDS_PER_SECOND = 1_000

function * accept (own: state.State, arrival: event.Arrival, known: string, granted: terms.Terms, nowMs: number): output.Outputs {
  const waiting: request.Waiting = {
    state: 'waiting',
    arrival,
    identity: known,
    resendable: arrival.identity !== undefined,
    terms: granted,
    acceptedMs: nowMs,
    deadlineAtMs: nowMs + granted.deadlineMs,
    callers: new Set([arrival.request]),
    abandonedMs: undefined,
    unreachableCount: 0,
    exhaustedPools: [],
    slot: undefined,
    askAgainAtMs: nowMs
  }
  own.requests.set(arrival.request, waiting)
  own.requestOfCaller.set(arrival.request, arrival.request)
  yield * slotRequest.ask(own, waiting, nowMs)
}

/** Checks a new request and lets it wait for a slot, or refuses it. */
export function * admit (own: state.State, arrival: event.Arrival, known: string, nowMs: number): output.Outputs {
  if (own.draining) {
    yield * refusal.refuse(own, arrival, known, receipt.notRun('draining', {}), 0)
    return
  }
  const suspect = own.suspects.findRefused(arrival.fingerprint, nowMs)
  if (suspect !== undefined) {
    const figures = { crashes: suspect.crashes, remainingS: Math.ceil(suspect.remainingMs / MILLISECONDS_PER_SECOND) }
    yield * refusal.refuse(own, arrival, known, receipt.notRun('suspect-refused', figures), suspect.remainingMs)
    return
  }
  const read = terms.readTerms(arrival, own.services, own.settings.isEligiblePool)
  if (read.isErr()) {
    const { reason, figures } = read.error
    yield * refusal.refuse(own, arrival, known, receipt.notRun(reason, figures), reason === 'no-target' ? settle.RETRY_AFTER_MS : 0)
    return
  }
  if (yield * requestLimit.makeRoom(own, read.value.rank, nowMs)) {
    yield * accept(own, arrival, known, read.value, nowMs)
  } else {
    yield * refusal.refuse(own, arrival, known, receipt.notRun('daemon-full', requestLimit.limitFigures(own, read.value.rank)), settle.RETRY_AFTER_MS)
  }
}
