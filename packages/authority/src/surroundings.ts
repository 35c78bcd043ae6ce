/**
 * Takes changes of the documents, the members and the targets.
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

/** Takes back grants on a target that may not have been dispatched yet. */
function * withdrawGrants (state: context.Context, target: string, nowMs: number): outputs.Outputs {
  for (const granted of state.slots.onTarget(target)) {
    if (nowMs - granted.grantedAtMs > protocol.GRANT_VALIDITY_MS) continue
    yield outputs.send(granted.entry, { kind: 'revocation', ask: granted.ask, cause: 'withdrawn' })
    yield outputs.count('grants.withdrawn')
  }
}

/** Takes the documents in force. A target that no document names any more is leaving. */
export function * handleDocuments (state: context.Context, documents: Extract<event.Event, { readonly kind: 'documents' }>['documents'], nowMs: number): outputs.Outputs {
  const before = new Set([...state.targets.names()].filter((target) => !state.targets.isLeaving(target)))
  const isFirst = state.view().services.size === 0
  state.setView(poolView.readPool(state.options.pool, documents))
  if (isFirst && state.recovery.phase() !== 'idle') holdings.holdUnknownFloors(state, nowMs)
  state.targets.update(state.view())
  state.rates.clear()
  for (const target of before) if (state.targets.isLeaving(target)) yield * withdrawGrants(state, target, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}

/** Takes news of a target that is leaving or has returned. */
export function * handleTargetNews (state: context.Context, news: protocol.TargetNews, nowMs: number): outputs.Outputs {
  if (!state.targets.takeNews(news)) return
  state.rates.clear()
  yield outputs.count(`targets.${news.state}`)
  if (news.state === 'leaving') yield * withdrawGrants(state, news.target, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}

function forgetAll (state: context.Context, nowMs: number): void {
  for (const ask of [...state.queue.all()]) refusals.drop(state, ask)
  for (const granted of [...state.slots.all()]) releases.freeSlot(state, granted.key, nowMs)
}

function * handleVanished (state: context.Context, entry: protocol.Incarnation): outputs.Outputs {
  const asks = state.queue.entryAsks(entry)
  for (const ask of asks) refusals.drop(state, ask)
  state.queue.unpark(entry)
  yield outputs.count('entries.vanished')
  if (asks.length > 0) yield outputs.count('asks.vanished', asks.length)
}

function * handleAdded (state: context.Context, entry: protocol.Incarnation, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() !== 'idle') yield * holdings.collect(state, entry, nowMs)
  if (state.entries.isFresh(entry, nowMs)) state.queue.unpark(entry)
}

/** Takes the live entries and the authorities of the pools. */
export function * handleMembers (state: context.Context, entries: readonly protocol.Incarnation[], authorities: ReadonlyMap<string, protocol.Incarnation>, nowMs: number): outputs.Outputs {
  for (const [pool, before] of state.authorities()) if (authorities.get(pool) !== before) state.floors.forgetPool(pool)
  state.setAuthorities(authorities)
  const wasIdle = state.recovery.phase() === 'idle'
  const { added, vanished } = state.entries.update(entries)
  for (const entry of vanished) yield * handleVanished(state, entry)
  const isAuthority = authorities.get(state.options.pool) === state.options.incarnation
  if (!isAuthority) {
    if (!wasIdle) {
      state.recovery.stop()
      forgetAll(state, nowMs)
      yield outputs.count('retirements')
    }
    return
  }
  for (const entry of added) yield * handleAdded(state, entry, nowMs)
  if (wasIdle) yield * holdings.startRecovery(state, nowMs)
  yield * holdings.settle(state, nowMs)
  yield * grants.grantWaiting(state, nowMs)
}
