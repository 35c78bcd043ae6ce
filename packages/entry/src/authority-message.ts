/**
 * Messages of authorities other than grants.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as grant from './grant.js'
import * as holdings from './holdings.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

function * tryOtherPool (own: state.State, waiting: request.Waiting, slot: request.Slot, refusal: protocol.Refusal, nowMs: number): output.Outputs {
  const exhausted = { ...waiting, slot: undefined, exhaustedPools: [...waiting.exhaustedPools, slot.pool] }
  own.requestOfAsk.delete(slot.ask)
  if (exhausted.terms.pools.every((pool) => exhausted.exhaustedPools.includes(pool))) {
    yield * settle.settle(own, exhausted, receipt.ofRequest(exhausted, receipt.notRun(refusal.reason, refusal.figures), nowMs, undefined), refusal.retryAfterMs)
  } else {
    yield * slotRequest.ask(own, exhausted, nowMs)
  }
}

function * handleRefusal (own: state.State, from: protocol.Incarnation, refusal: protocol.Refusal, nowMs: number): output.Outputs {
  const waiting = own.findByAsk(refusal.ask)
  if (waiting?.state !== 'waiting' || waiting.slot?.authority !== from) {
    yield output.count('entry.refusals-ignored')
    return
  }
  if (refusal.reason === 'no-authority') {
    yield output.count('entry.asks-misdirected')
    slotRequest.postpone(own, waiting, nowMs + protocol.ROUND_INTERVAL_MS)
  } else if (refusal.reason === 'no-target') {
    yield * tryOtherPool(own, waiting, waiting.slot, refusal, nowMs)
  } else {
    const outcome = receipt.notRun(refusal.reason, refusal.figures)
    const final = receipt.ofRequest(waiting, outcome, nowMs, undefined)
    yield * settle.settle(own, waiting, final, refusal.retryAfterMs)
  }
}

function mayRevoke (revoked: request.Request, from: protocol.Incarnation): boolean {
  return revoked.state === 'running' ? revoked.holders.has(from) : revoked.slot?.authority === from
}

function * handleRevocation (own: state.State, from: protocol.Incarnation, revocation: protocol.Revocation, nowMs: number): output.Outputs {
  const revoked = own.findByAsk(revocation.ask)
  if (revoked === undefined || !mayRevoke(revoked, from)) {
    yield output.count('entry.revocations-ignored')
    return
  }
  if (revoked.state === 'waiting') {
    yield output.releaseUnused(from, revocation.ask)
    yield * slotRequest.ask(own, revoked, nowMs)
    return
  }
  if (revocation.cause === 'withdrawn' || revoked.cancelCause !== undefined) return
  if (revoked.terms.nonIdempotent) {
    yield output.count('entry.revocations-refused')
    return
  }
  own.requests.set(revoked.arrival.request, { ...revoked, cancelCause: 'preempted' })
  yield { kind: 'cancel', request: revoked.arrival.request }
}

/** Handles one message of an authority. */
export function * handleMessage (own: state.State, from: protocol.Incarnation, message: event.Received, nowMs: number): output.Outputs {
  switch (message.kind) {
    case 'grant': return yield * grant.handleGrant(own, from, message, nowMs)
    case 'refusal': return yield * handleRefusal(own, from, message, nowMs)
    case 'revocation': return yield * handleRevocation(own, from, message, nowMs)
    case 'collect': return yield * holdings.handleCollect(own, from, message, nowMs)
  }
}
