/**
 * Admits new requests or refuses them.
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
import * as requestPolicy from './request-policy.js'

const MILLISECONDS_PER_SECOND = 1_000

function * accept (entryState: state.State, arrival: event.Arrival, identity: string, policy: requestPolicy.RequestPolicy, nowMs: number): output.Outputs {
  const waiting: request.Waiting = {
    state: 'waiting',
    arrival,
    identity,
    isResendable: arrival.identity !== undefined,
    policy,
    acceptedAtMs: nowMs,
    deadlineAtMs: nowMs + policy.deadlineMs,
    callers: new Set([arrival.request]),
    abandonedAtMs: undefined,
    unreachableCount: 0,
    exhaustedPools: [],
    slotRequest: undefined,
    nextSlotRequestAtMs: nowMs
  }
  entryState.requests.set(arrival.request, waiting)
  entryState.requestByCaller.set(arrival.request, arrival.request)
  yield * slotRequest.requestSlot(entryState, waiting, nowMs)
}

/** Admits a new request to wait for a slot, or refuses it. */
export function * admit (entryState: state.State, arrival: event.Arrival, identity: string, nowMs: number): output.Outputs {
  if (entryState.draining) {
    yield * refusal.refuse(entryState, arrival, identity, receipt.notRun('draining', {}), 0)
    return
  }
  const suspect = entryState.suspects.findRefused(arrival.fingerprint, nowMs)
  if (suspect !== undefined) {
    const figures = { crashes: suspect.crashes, remainingS: Math.ceil(suspect.remainingMs / MILLISECONDS_PER_SECOND) }
    yield * refusal.refuse(entryState, arrival, identity, receipt.notRun('suspect-refused', figures), suspect.remainingMs)
    return
  }
  const resolved = requestPolicy.resolvePolicy(arrival, entryState.services, entryState.settings.isEligiblePool)
  if (resolved.isErr()) {
    const { reason, figures } = resolved.error
    yield * refusal.refuse(entryState, arrival, identity, receipt.notRun(reason, figures), reason === 'no-target' ? settle.DEFAULT_RETRY_AFTER_MS : 0)
    return
  }
  if (yield * requestLimit.ensureCapacity(entryState, resolved.value.rank, nowMs)) {
    yield * accept(entryState, arrival, identity, resolved.value, nowMs)
  } else {
    yield * refusal.refuse(entryState, arrival, identity, receipt.notRun('daemon-full', requestLimit.createLimitFigures(entryState, resolved.value.rank)), settle.DEFAULT_RETRY_AFTER_MS)
  }
}
