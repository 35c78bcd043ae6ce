/**
 * Resends: a caller joins its running request, gets its final outcome again, or is sent to its owner.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as identityLedger from './identity-ledger.js'
import * as output from './output.js'
import * as refusal from './refusal.js'
import type * as state from './state.js'

function attach (own: state.State, arrival: event.Arrival, original: number): void {
  const joined = own.requests.get(original)
  if (joined === undefined) return
  own.requestOfCaller.set(arrival.request, original)
  own.requests.set(original, { ...joined, callers: new Set([...joined.callers, arrival.request]), abandonedMs: undefined })
}

/** Answers a resend of a remembered identity. */
export function * joinOrReplay (own: state.State, arrival: event.Arrival, known: identityLedger.Remembered): output.Outputs {
  if (known.fingerprint !== arrival.fingerprint || known.organisation !== arrival.organisation) {
    // The same content under another organisation may be the request that ran.
    const execution = known.fingerprint === arrival.fingerprint ? 'unknown' : 'not-run'
    yield * refusal.refuseUnremembered(arrival, { reason: 'identity-reused', execution, figures: {} })
    return
  }
  yield output.count('entry.resends')
  if (known.settlement !== undefined && known.settlement.receipt.reason !== 'finished') {
    yield { kind: 'refuse', request: arrival.request, ...known.settlement }
    return
  }
  attach(own, arrival, known.request)
  yield { kind: 'join', request: arrival.request, original: known.request }
}

/** Passes a caller on to the daemon that owns its identity, while that is known and not gone. */
export function * passToOwner (own: state.State, arrival: event.Arrival, incarnation: protocol.Incarnation): output.Outputs {
  const owner = own.settings.findMember(incarnation)
  if (owner === undefined || owner.state === 'gone') {
    yield * refusal.refuseUnremembered(arrival, { reason: 'outcome-unknown', execution: 'unknown', figures: {} })
    return
  }
  yield output.count('entry.redirects')
  yield { kind: 'redirect', request: arrival.request, address: owner.address }
}
