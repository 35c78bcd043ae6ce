/**
 * Handles arriving requests. The identity determines whether a request is new, a resend, or owned by another daemon.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as admission from './admission.js'
import type * as event from './event.js'
import * as identity from './identity.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import * as refusal from './refusal.js'
import * as resend from './resend.js'
import type * as state from './state.js'

const MILLISECONDS_PER_SECOND = 1_000

function remember (entryState: state.State, arrival: event.Arrival, parsedIdentity: identity.Identity): void {
  entryState.ledger.add({
    identity: identity.format(parsedIdentity),
    epoch: parsedIdentity.epoch,
    request: arrival.request,
    fingerprint: arrival.fingerprint,
    organisation: arrival.organisation,
    settlement: undefined
  })
}

function * handleNew (entryState: state.State, arrival: event.Arrival, parsedIdentity: identity.Identity, nowMs: number): output.Outputs {
  for (const forgotten of entryState.ledger.forgetOldest()) yield { kind: 'forget', request: forgotten.request }
  const epochStatus = entryState.ledger.checkEpoch(parsedIdentity.epoch)
  if (epochStatus === 'expired' || identity.isReceiptOnly(parsedIdentity)) {
    const figures = { retentionS: protocol.IDENTITY_RETENTION_HEARTBEATS * protocol.HEARTBEAT_INTERVAL_MS / MILLISECONDS_PER_SECOND }
    yield * refusal.refuseUnrecorded(arrival, { reason: 'identity-expired', execution: 'unknown', figures })
    return
  }
  if (epochStatus === 'future') {
    yield * refusal.refuseUnrecorded(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  remember(entryState, arrival, parsedIdentity)
  yield output.count('entry.arrivals')
  yield * admission.admit(entryState, arrival, identity.format(parsedIdentity), nowMs)
}

function * handleWithoutIdentity (entryState: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  const issued = identity.issueReceiptIdentity(entryState.settings.incarnation, entryState.ledger.heartbeat, entryState.settings.random)
  yield output.count('entry.arrivals')
  yield * admission.admit(entryState, arrival, identity.format(issued), nowMs)
}

/** Handles a request that a caller sent. */
export function * handleArrival (entryState: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  if (arrival.identity === undefined) {
    yield * handleWithoutIdentity(entryState, arrival, nowMs)
    return
  }
  const parsed = identity.parse(arrival.identity)
  if (parsed.isErr()) {
    yield * refusal.refuseUnrecorded(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  if (parsed.value.incarnation !== entryState.settings.incarnation) {
    yield * resend.redirectToOwner(entryState, arrival, parsed.value.incarnation)
    return
  }
  const remembered = entryState.ledger.find(identity.format(parsed.value))
  if (remembered === undefined) yield * handleNew(entryState, arrival, parsed.value, nowMs)
  else yield * resend.joinOrReplay(entryState, arrival, remembered)
}
