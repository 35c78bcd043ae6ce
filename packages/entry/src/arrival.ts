/**
 * Arrivals: a new request is accepted or refused, a resend joins its request or gets its outcome again.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as identity from './identity.js'
import type * as identityLedger from './identity-ledger.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'
import * as terms from './terms.js'

const MILLISECONDS_PER_SECOND = 1_000

function * refuseUnremembered (arrival: event.Arrival, outcome: receipt.Outcome): output.Outputs {
  yield output.count(`entry.outcome.${outcome.reason}`)
  const final = receipt.ofArrival(arrival, arrival.identity ?? '', outcome)
  yield { kind: 'refuse', request: arrival.request, receipt: final, retryAfterMs: 0 }
}

function * passToOwner (own: state.State, arrival: event.Arrival, incarnation: protocol.Incarnation): output.Outputs {
  const owner = own.settings.findMember(incarnation)
  if (owner === undefined || owner.state === 'gone') {
    yield * refuseUnremembered(arrival, { reason: 'outcome-unknown', execution: 'unknown', figures: {} })
    return
  }
  yield output.count('entry.redirects')
  yield { kind: 'redirect', request: arrival.request, address: owner.address }
}

function * joinOrReplay (own: state.State, arrival: event.Arrival, known: identityLedger.Remembered): output.Outputs {
  if (known.fingerprint !== arrival.fingerprint || known.organisation !== arrival.organisation) {
    // The same content under another organisation may be the request that ran.
    const execution = known.fingerprint === arrival.fingerprint ? 'unknown' : 'not-run'
    yield * refuseUnremembered(arrival, { reason: 'identity-reused', execution, figures: {} })
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

function attach (own: state.State, arrival: event.Arrival, original: number): void {
  const joined = own.requests.get(original)
  if (joined === undefined) return
  own.requestOfCaller.set(arrival.request, original)
  own.requests.set(original, { ...joined, callers: new Set([...joined.callers, arrival.request]), abandonedMs: undefined })
}

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

/** Refuses an arrival for good: a late copy of it, under the same identity, is refused as well. */
function * refuse (own: state.State, arrival: event.Arrival, known: string, outcome: receipt.Outcome, retryAfterMs: number): output.Outputs {
  const final = receipt.ofArrival(arrival, known, outcome)
  yield output.count(`entry.outcome.${outcome.reason}`)
  yield { kind: 'refuse', request: arrival.request, receipt: final, retryAfterMs }
  yield { kind: 'settled', receipt: final }
  yield * settle.keep(own, arrival, final, retryAfterMs)
}

function isLessUrgent (left: request.Waiting, right: request.Waiting): boolean {
  if (left.terms.rank !== right.terms.rank) return left.terms.rank > right.terms.rank
  return left.acceptedMs > right.acceptedMs
}

/** The waiting request of the lowest tier below a rank, the latest of them. */
function findDisplaceable (own: state.State, rank: protocol.Rank): request.Waiting | undefined {
  const lower = own.waiting().filter((waiting) => waiting.terms.rank > rank)
  return lower.length === 0 ? undefined : lower.reduce((least, each) => isLessUrgent(each, least) ? each : least)
}

function limitFigures (own: state.State): protocol.Figures {
  const { requestLimit } = own.settings
  return { ahead: own.requests.size, expectedWaitMs: 'unknown', maxWaitMs: 'unknown', requestLimit }
}

/** Makes room under the limit of requests; the outcome says why there is none. */
function * makeRoom (own: state.State, rank: protocol.Rank, nowMs: number): Generator<event.Output, boolean> {
  if (own.requests.size < own.settings.requestLimit) return true
  const displaced = findDisplaceable(own, rank)
  if (displaced === undefined) return false
  yield * settle.giveUp(own, displaced, receipt.notRun('shed', limitFigures(own)), settle.RETRY_AFTER_MS, nowMs)
  return true
}

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

function * admit (own: state.State, arrival: event.Arrival, known: string, nowMs: number): output.Outputs {
  if (own.draining) {
    yield * refuse(own, arrival, known, receipt.notRun('draining', {}), 0)
    return
  }
  const suspect = own.suspects.findRefused(arrival.fingerprint, nowMs)
  if (suspect !== undefined) {
    const figures = { crashes: suspect.crashes, remainingS: Math.ceil(suspect.remainingMs / MILLISECONDS_PER_SECOND) }
    yield * refuse(own, arrival, known, receipt.notRun('suspect-refused', figures), suspect.remainingMs)
    return
  }
  const read = terms.readTerms(arrival, own.services, own.settings.isEligiblePool)
  if (read.isErr()) {
    const { reason, figures } = read.error
    yield * refuse(own, arrival, known, receipt.notRun(reason, figures), reason === 'no-target' ? settle.RETRY_AFTER_MS : 0)
    return
  }
  if (yield * makeRoom(own, read.value.rank, nowMs)) {
    yield * accept(own, arrival, known, read.value, nowMs)
  } else {
    yield * refuse(own, arrival, known, receipt.notRun('shed', limitFigures(own)), settle.RETRY_AFTER_MS)
  }
}

function * handleNew (own: state.State, arrival: event.Arrival, named: identity.Identity, nowMs: number): output.Outputs {
  for (const forgotten of own.ledger.makeRoom()) yield { kind: 'forget', request: forgotten.request }
  const verdict = own.ledger.judge(named.epoch)
  if (verdict === 'expired' || identity.isUnnamed(named)) {
    const figures = { retentionS: protocol.IDENTITY_RETENTION_BEATS * protocol.BEAT_INTERVAL_MS / MILLISECONDS_PER_SECOND }
    yield * refuseUnremembered(arrival, { reason: 'identity-expired', execution: 'unknown', figures })
    return
  }
  if (verdict === 'future') {
    yield * refuseUnremembered(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  remember(own, arrival, named)
  yield output.count('entry.arrivals')
  yield * admit(own, arrival, identity.format(named), nowMs)
}

function * handleUnnamed (own: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  const issued = identity.issueUnnamed(own.settings.incarnation, own.ledger.beat, own.settings.random)
  yield output.count('entry.arrivals')
  yield * admit(own, arrival, identity.format(issued), nowMs)
}

/** Takes in a request that a caller sent. */
export function * handleArrival (own: state.State, arrival: event.Arrival, nowMs: number): output.Outputs {
  if (arrival.identity === undefined) {
    yield * handleUnnamed(own, arrival, nowMs)
    return
  }
  const parsed = identity.parse(arrival.identity)
  if (parsed.isErr()) {
    yield * refuseUnremembered(arrival, receipt.notRun('identity-malformed', {}))
    return
  }
  if (parsed.value.incarnation !== own.settings.incarnation) {
    yield * passToOwner(own, arrival, parsed.value.incarnation)
    return
  }
  const known = own.ledger.find(identity.format(parsed.value))
  if (known === undefined) yield * handleNew(own, arrival, parsed.value, nowMs)
  else yield * joinOrReplay(own, arrival, known)
}
