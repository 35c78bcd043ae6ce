/**
 * Handles grants: each grant leads to one dispatch or is released as unused.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as holdings from './holdings.js'
import * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

/** Reason why a grant must not be used. */
export type GrantRejection = 'not-waiting' | 'past-deadline' | 'other-authority' | 'stale-round' | 'unknown-target' | 'other-pool' | 'leaving-target'

interface UsableGrant {
  readonly waiting: request.Waiting
  readonly slotRequest: request.SentSlotRequest
  readonly service: document.serviceDocument.ServiceDocument
  readonly target: document.serviceDocument.Target
}

/** Checks a grant against its slot request, the authority, the entry's own clock and the documents in force. */
export function checkGrant (entryState: state.State, from: protocol.Incarnation, grant: protocol.Grant, nowMs: number): neverthrow.Result<UsableGrant, GrantRejection> {
  const waiting = entryState.findBySlotRequest(grant.ask)
  if (waiting === undefined || waiting.state !== 'waiting' || waiting.slotRequest === undefined) return neverthrow.err('not-waiting')
  const sent = waiting.slotRequest
  if (nowMs >= waiting.deadlineAtMs) return neverthrow.err('past-deadline')
  if (sent.authority !== from || entryState.authorities.get(sent.pool) !== from) return neverthrow.err('other-authority')
  if (!entryState.rounds.isFresh(from, grant.round, nowMs)) return neverthrow.err('stale-round')
  const service = entryState.services.get(waiting.arrival.service)
  const target = service?.targets.find((each) => each.name === grant.target)
  if (service === undefined || target === undefined) return neverthrow.err('unknown-target')
  if (target.pool !== sent.pool) return neverthrow.err('other-pool')
  if (entryState.targets.isLeaving(target.name)) return neverthrow.err('leaving-target')
  return neverthrow.ok({ waiting, slotRequest: sent, service, target })
}

function isDuplicate (entryState: state.State, from: protocol.Incarnation, grant: protocol.Grant): boolean {
  const running = entryState.findBySlotRequest(grant.ask)
  return running?.state === 'running' && running.target === grant.target && running.slotRequest.authority === from
}

/** Dispatches a request. From here on it counts as dispatched; it returns to the queue only if the target is unreachable. */
function * dispatch (entryState: state.State, usable: UsableGrant, figures: protocol.Figures, nowMs: number): output.Outputs {
  const running: request.Running = {
    ...usable.waiting,
    state: 'running',
    slotRequest: usable.slotRequest,
    target: usable.target.name,
    dispatchedAtMs: nowMs,
    informedAuthorities: new Set([usable.slotRequest.authority]),
    cancelCause: undefined
  }
  entryState.requests.set(running.arrival.request, running)
  yield output.count('entry.dispatches')
  yield {
    kind: 'dispatch',
    request: running.arrival.request,
    placement: { target: usable.target.name, address: usable.target.address, targetKind: usable.service.kind },
    receipt: receipt.forDispatch(running, figures)
  }
  yield * holdings.reportToCollectors(entryState, usable.slotRequest.authority, usable.slotRequest.pool, nowMs)
}

/** Prepares a new slot request after a grant was released: the authority regards the former one as granted. */
function * requestAnotherSlot (entryState: state.State, from: protocol.Incarnation, slotRequestId: number, cause: GrantRejection, nowMs: number): output.Outputs {
  const waiting = entryState.findBySlotRequest(slotRequestId)
  if (waiting?.state !== 'waiting' || waiting.slotRequest?.authority !== from) return
  slotRequest.postpone(entryState, waiting, nowMs)
  if (cause === 'stale-round') yield * slotRequest.requestSlot(entryState, { ...waiting, slotRequest: undefined }, nowMs)
}

/** Dispatches the request on the granted slot, or releases the slot as unused. */
export function * handleGrant (entryState: state.State, from: protocol.Incarnation, grant: protocol.Grant, nowMs: number): output.Outputs {
  const checked = checkGrant(entryState, from, grant, nowMs)
  if (checked.isOk()) {
    yield * dispatch(entryState, checked.value, grant.figures, nowMs)
    return
  }
  if (isDuplicate(entryState, from, grant)) {
    yield output.count('entry.grants-repeated')
    return
  }
  yield output.count(`entry.grants-unused.${checked.error}`)
  yield output.releaseUnused(from, grant.ask)
  yield * requestAnotherSlot(entryState, from, grant.ask, checked.error, nowMs)
}
