/**
 * Handles changes of the documents in force, the entries and authorities, and the targets.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as grants from './grants.js'
import * as holdings from './holdings.js'
import * as outputs from './outputs.js'
import * as poolView from './pool-view.js'
import * as refusals from './refusals.js'
import * as releases from './releases.js'
import type * as context from './context.js'
import type * as event from './event.js'

/** Withdraws grants on a target for requests that may not have been dispatched yet. */
function * withdrawGrants (state: context.Context, target: string, nowMs: number): outputs.Outputs {
  for (const granted of state.slots.onTarget(target)) {
    if (nowMs - granted.grantedAtMs > protocol.GRANT_VALIDITY_MS) continue
    yield outputs.send(granted.entry, { kind: 'revocation', ask: granted.slotRequestId, cause: 'withdrawn' })
    yield outputs.count('grants.withdrawn')
  }
}

/** Handles the documents in force. A target that no document names any more is leaving. */
export function * handleDocuments (state: context.Context, documents: Extract<event.Event, { readonly kind: 'documents' }>['documents'], nowMs: number): outputs.Outputs {
  const previous = new Set([...state.targets.names()].filter((target) => !state.targets.isLeaving(target)))
  const isFirst = state.view().services.size === 0
  state.setView(poolView.readPool(state.options.pool, documents))
  if (isFirst && state.recovery.phase() !== 'idle') holdings.raisePrecautionaryFloor(state, nowMs)
  state.targets.update(state.view())
  state.rates.clear()
  for (const target of previous) if (state.targets.isLeaving(target)) yield * withdrawGrants(state, target, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}

/** Handles an update of a target that is leaving or serving again. */
export function * handleTargetUpdate (state: context.Context, update: protocol.TargetUpdate, nowMs: number): outputs.Outputs {
  if (!state.targets.applyUpdate(update)) return
  state.rates.clear()
  yield outputs.count(`targets.${update.state}`)
  if (update.state === 'leaving') yield * withdrawGrants(state, update.target, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}

function dropAll (state: context.Context, nowMs: number): void {
  for (const request of [...state.queue.all()]) refusals.drop(state, request)
  for (const granted of [...state.slots.all()]) releases.freeSlot(state, granted.key, nowMs)
}

function * handleVanishedEntry (state: context.Context, entry: protocol.Incarnation): outputs.Outputs {
  const requests = state.queue.ofEntry(entry)
  for (const request of requests) refusals.drop(state, request)
  state.queue.resumeEntry(entry)
  yield outputs.count('entries.vanished')
  if (requests.length > 0) yield outputs.count('asks.vanished', requests.length)
}

function * handleAddedEntry (state: context.Context, entry: protocol.Incarnation, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() !== 'idle') yield * holdings.collect(state, entry, nowMs)
  if (state.entries.isFresh(entry, nowMs)) state.queue.resumeEntry(entry)
}

/** Handles the live entries and the authorities of the pools. */
export function * handleMembers (state: context.Context, entries: readonly protocol.Incarnation[], authorities: ReadonlyMap<string, protocol.Incarnation>, nowMs: number): outputs.Outputs {
  for (const [pool, previous] of state.authorities()) if (authorities.get(pool) !== previous) state.floors.forgetPool(pool)
  state.setAuthorities(authorities)
  const wasIdle = state.recovery.phase() === 'idle'
  const { added, vanished } = state.entries.update(entries)
  for (const entry of vanished) yield * handleVanishedEntry(state, entry)
  const isAuthority = authorities.get(state.options.pool) === state.options.incarnation
  if (!isAuthority) {
    if (!wasIdle) {
      state.recovery.stop()
      dropAll(state, nowMs)
      yield outputs.count('retirements')
    }
    return
  }
  for (const entry of added) yield * handleAddedEntry(state, entry, nowMs)
  if (wasIdle) yield * holdings.startRecovery(state, nowMs)
  yield * holdings.settle(state, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}
