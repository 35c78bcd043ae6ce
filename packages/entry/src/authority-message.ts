/**
 * Handles the messages of authorities, other than grants.
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

function * tryOtherPool (entryState: state.State, waiting: request.Waiting, sent: request.SentSlotRequest, refusal: protocol.Refusal, nowMs: number): output.Outputs {
  const updated = { ...waiting, slotRequest: undefined, exhaustedPools: [...waiting.exhaustedPools, sent.pool] }
  entryState.requestBySlotRequest.delete(sent.id)
  if (updated.policy.pools.every((pool) => updated.exhaustedPools.includes(pool))) {
    yield * settle.settle(entryState, updated, receipt.forRequest(updated, receipt.notRun(refusal.reason, refusal.figures), nowMs, undefined), refusal.retryAfterMs)
  } else {
    yield * slotRequest.requestSlot(entryState, updated, nowMs)
  }
}

function * handleRefusal (entryState: state.State, from: protocol.Incarnation, refusal: protocol.Refusal, nowMs: number): output.Outputs {
  const waiting = entryState.findBySlotRequest(refusal.ask)
  if (waiting?.state !== 'waiting' || waiting.slotRequest?.authority !== from) {
    yield output.count('entry.refusals-ignored')
    return
  }
  if (refusal.reason === 'no-authority') {
    yield output.count('entry.asks-misdirected')
    slotRequest.postpone(entryState, waiting, nowMs + protocol.ROUND_INTERVAL_MS)
  } else if (refusal.reason === 'no-target') {
    yield * tryOtherPool(entryState, waiting, waiting.slotRequest, refusal, nowMs)
  } else {
    const outcome = receipt.notRun(refusal.reason, refusal.figures)
    const finalReceipt = receipt.forRequest(waiting, outcome, nowMs, undefined)
    yield * settle.settle(entryState, waiting, finalReceipt, refusal.retryAfterMs)
  }
}

function canRevoke (revoked: request.Request, from: protocol.Incarnation): boolean {
  return revoked.state === 'running' ? revoked.informedAuthorities.has(from) : revoked.slotRequest?.authority === from
}

function * handleRevocation (entryState: state.State, from: protocol.Incarnation, revocation: protocol.Revocation, nowMs: number): output.Outputs {
  const revoked = entryState.findBySlotRequest(revocation.ask)
  if (revoked === undefined || !canRevoke(revoked, from)) {
    yield output.count('entry.revocations-ignored')
    return
  }
  if (revoked.state === 'waiting') {
    yield output.releaseUnused(from, revocation.ask)
    yield * slotRequest.requestSlot(entryState, revoked, nowMs)
    return
  }
  if (revocation.cause === 'withdrawn' || revoked.cancelCause !== undefined) return
  if (revoked.policy.nonIdempotent) {
    yield output.count('entry.revocations-refused')
    return
  }
  entryState.requests.set(revoked.arrival.request, { ...revoked, cancelCause: 'preempted' })
  yield { kind: 'cancel', request: revoked.arrival.request }
}

/** Handles one message from an authority. */
export function * handleMessage (entryState: state.State, from: protocol.Incarnation, message: event.ReceivedMessage, nowMs: number): output.Outputs {
  switch (message.kind) {
    case 'grant': return yield * grant.handleGrant(entryState, from, message, nowMs)
    case 'refusal': return yield * handleRefusal(entryState, from, message, nowMs)
    case 'revocation': return yield * handleRevocation(entryState, from, message, nowMs)
    case 'collect': return yield * holdings.handleCollect(entryState, from, message, nowMs)
  }
}
