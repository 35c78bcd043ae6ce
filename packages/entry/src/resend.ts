/**
 * Handles resends: a caller joins its earlier request, receives the final outcome again, or is redirected to the owner.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as identityLedger from './identity-ledger.js'
import * as output from './output.js'
import * as refusal from './refusal.js'
import type * as state from './state.js'

function addCaller (entryState: state.State, arrival: event.Arrival, original: number): void {
  const joined = entryState.requests.get(original)
  if (joined === undefined) return
  entryState.requestByCaller.set(arrival.request, original)
  entryState.requests.set(original, { ...joined, callers: new Set([...joined.callers, arrival.request]), abandonedAtMs: undefined })
}

/** Handles a resend of a remembered identity. */
export function * joinOrReplay (entryState: state.State, arrival: event.Arrival, remembered: identityLedger.RememberedIdentity): output.Outputs {
  if (remembered.fingerprint !== arrival.fingerprint || remembered.organisation !== arrival.organisation) {
    // The request that ran may be this one, sent under another organisation.
    const execution = remembered.fingerprint === arrival.fingerprint ? 'unknown' : 'not-run'
    yield * refusal.refuseUnrecorded(arrival, { reason: 'identity-reused', execution, figures: {} })
    return
  }
  yield output.count('entry.resends')
  if (remembered.settlement !== undefined && remembered.settlement.receipt.reason !== 'finished') {
    yield { kind: 'refuse', request: arrival.request, ...remembered.settlement }
    return
  }
  addCaller(entryState, arrival, remembered.request)
  yield { kind: 'join', request: arrival.request, original: remembered.request }
}

/** Redirects a caller to the daemon that owns its identity, or refuses it when that daemon is unknown or was removed. */
export function * redirectToOwner (entryState: state.State, arrival: event.Arrival, incarnation: protocol.Incarnation): output.Outputs {
  const owner = entryState.settings.findMember(incarnation)
  if (owner === undefined || owner.state === 'gone') {
    yield * refusal.refuseUnrecorded(arrival, { reason: 'outcome-unknown', execution: 'unknown', figures: {} })
    return
  }
  yield output.count('entry.redirects')
  yield { kind: 'redirect', request: arrival.request, address: owner.address }
}
