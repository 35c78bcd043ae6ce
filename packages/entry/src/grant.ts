/**
 * Grants: each leads to one dispatch or is released as unused.
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

/** Why a grant must not be used. */
export type Unusable = 'not-waiting' | 'past-deadline' | 'other-authority' | 'stale-round' | 'unknown-target' | 'other-pool' | 'leaving-target'

interface Usable {
  readonly waiting: request.Waiting
  readonly slot: request.Slot
  readonly service: document.serviceDocument.ServiceDocument
  readonly target: document.serviceDocument.Target
}

/** Checks a grant against the ask, the authority, the entry's own clock and the documents in force. */
export function checkGrant (own: state.State, from: protocol.Incarnation, grant: protocol.Grant, nowMs: number): neverthrow.Result<Usable, Unusable> {
  const waiting = own.findByAsk(grant.ask)
  if (waiting === undefined || waiting.state !== 'waiting' || waiting.slot === undefined) return neverthrow.err('not-waiting')
  const slot = waiting.slot
  if (nowMs >= waiting.deadlineAtMs) return neverthrow.err('past-deadline')
  if (slot.authority !== from || own.authorities.get(slot.pool) !== from) return neverthrow.err('other-authority')
  if (!own.rounds.isFresh(from, grant.round, nowMs)) return neverthrow.err('stale-round')
  const service = own.services.get(waiting.arrival.service)
  const target = service?.targets.find((each) => each.name === grant.target)
  if (service === undefined || target === undefined) return neverthrow.err('unknown-target')
  if (target.pool !== slot.pool) return neverthrow.err('other-pool')
  if (own.targets.isLeaving(target.name)) return neverthrow.err('leaving-target')
  return neverthrow.ok({ waiting, slot, service, target })
}

function isRepeated (own: state.State, from: protocol.Incarnation, grant: protocol.Grant): boolean {
  const running = own.findByAsk(grant.ask)
  return running?.state === 'running' && running.target === grant.target && running.slot.authority === from
}

/** From here on the request counts as dispatched: no path leads back but an unreachable target. */
function * dispatch (own: state.State, usable: Usable, figures: protocol.Figures, nowMs: number): output.Outputs {
  const running: request.Running = {
    ...usable.waiting,
    state: 'running',
    slot: usable.slot,
    target: usable.target.name,
    dispatchedMs: nowMs,
    holders: new Set([usable.slot.authority]),
    cancelCause: undefined
  }
  own.requests.set(running.arrival.request, running)
  yield output.count('entry.dispatches')
  yield {
    kind: 'dispatch',
    request: running.arrival.request,
    placement: { target: usable.target.name, address: usable.target.address, targetKind: usable.service.kind },
    receipt: receipt.ofDispatch(running, figures)
  }
  yield * holdings.reportToCollectors(own, usable.slot.authority, usable.slot.pool, nowMs)
}

/** The authority counts a released grant as given, so the request needs a new ask. */
function * askForAnother (own: state.State, from: protocol.Incarnation, ask: number, cause: Unusable, nowMs: number): output.Outputs {
  const waiting = own.findByAsk(ask)
  if (waiting?.state !== 'waiting' || waiting.slot?.authority !== from) return
  slotRequest.postpone(own, waiting, nowMs)
  if (cause === 'stale-round') yield * slotRequest.ask(own, { ...waiting, slot: undefined }, nowMs)
}

/** Dispatches on a granted slot, or gives it back. */
export function * handleGrant (own: state.State, from: protocol.Incarnation, grant: protocol.Grant, nowMs: number): output.Outputs {
  const checked = checkGrant(own, from, grant, nowMs)
  if (checked.isOk()) {
    yield * dispatch(own, checked.value, grant.figures, nowMs)
    return
  }
  if (isRepeated(own, from, grant)) {
    yield output.count('entry.grants-repeated')
    return
  }
  yield output.count(`entry.grants-unused.${checked.error}`)
  yield output.releaseUnused(from, grant.ask)
  yield * askForAnother(own, from, grant.ask, checked.error, nowMs)
}
