/**
 * Arrivals: the identity decides whether a request is new, a resend, or another daemon's.
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

function remember (own: state.State, arrival: event.Arrival, named: identity.Identity): void {
  own.ledger.add({
    identity: identity.format(named),
    epoch: named.epoch,
    request: arrival.request,
    fingerprint: arrival.fingerprint,
    organisation: arrival.organisation,
    settlement: undefined
  })
}

function * handleNew (own: state.State, arrival: event.Arrival, named: identity.Identity, nowMs: number): output.Outputs {
  for (const forgotten of own.ledger.makeRoom()) yield { kind: 'forget', request: forgotten.request }
  const verdict = own.ledger.judge(named.epoch)
  if (verdict === 'expired' || identity.isUnnamed(named)) {
    const figures = { retentionS: protocol.IDENTITY_RETENTION_HEARTBEATS * protocol.HEARTBEAT_INTERVAL_MS / MILLISECONDS_PER_SECOND }
    yield * refusal.refuseUnremembered(arrival, { reason: 'identity-expired', execution: 'unknown', figures })
    return
  }
  if (verdict === 'future') {
    yield * refusal.refuseUnremembered(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  remember(own, arrival, named)
  yield output.count('entry.arrivals')
  yield * admission.admit(own, arrival, identity.format(named), nowMs)
}

function * handleUnnamed (own: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  const issued = identity.issueUnnamed(own.settings.incarnation, own.ledger.beat, own.settings.random)
  yield output.count('entry.arrivals')
  yield * admission.admit(own, arrival, identity.format(issued), nowMs)
}

/** Takes in a request that a caller sent. */
export function * handleArrival (own: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  if (arrival.identity === undefined) {
    yield * handleUnnamed(own, arrival, nowMs)
    return
  }
  const parsed = identity.parse(arrival.identity)
  if (parsed.isErr()) {
    yield * refusal.refuseUnremembered(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  if (parsed.value.incarnation !== own.settings.incarnation) {
    yield * resend.passToOwner(own, arrival, parsed.value.incarnation)
    return
  }
  const known = own.ledger.find(identity.format(parsed.value))
  if (known === undefined) yield * handleNew(own, arrival, parsed.value, nowMs)
  else yield * resend.joinOrReplay(own, arrival, known)
}
