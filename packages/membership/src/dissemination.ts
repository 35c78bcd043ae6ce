/**
 * Applies updates and queues them for dissemination.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as updateOrder from './update-order.js'
import type * as updateStore from './update-store.js'
import type * as membershipState from './state.js'

/** Daemon that sent the update; undefined if it originates at this daemon. */
export type Sender = protocol.Incarnation | undefined

// Pools, and the addresses for most callers, lie within one region, so updates about members of other regions are not urgent.
function isUrgent (state: membershipState.State, update: protocol.Update, nowMs: number): boolean {
  if (update.kind !== 'member') return true
  return update.state !== 'alive' && update.region === state.localMember.toUpdate(nowMs).region
}

function disseminate (state: membershipState.State, update: protocol.Update, nowMs: number): void {
  const key = updateOrder.keyOf(update)
  state.rumors.add(key)
  if (isUrgent(state, update, nowMs)) state.urgent.add(key, nowMs)
}

/**
 * Disseminates the local member immediately.
 *
 * @example
 * ```ts
 * announceLocalMember(state, nowMs)
 * ```
 */
export function announceLocalMember (state: membershipState.State, nowMs: number): void {
  const key = updateOrder.keyOf(state.localMember.toUpdate(nowMs))
  state.rumors.add(key)
  state.urgent.add(key, nowMs)
}

function * applyLocalUpdate (state: membershipState.State, update: protocol.MemberUpdate, nowMs: number): Generator<event.Output, void> {
  const current = state.localMember.toUpdate(nowMs)
  if (update.state !== 'gone' || current.state === 'gone' || update.beat < current.beat) return
  state.localMember.refute(update.beat, nowMs)
  announceLocalMember(state, nowMs)
  yield { kind: 'count', counter: 'membership.refutations', value: 1 }
}

function * applyMemberUpdate (state: membershipState.State, update: protocol.MemberUpdate, from: Sender, nowMs: number): Generator<event.Output, void> {
  const isKnown = state.table.find(update.incarnation) !== undefined
  const change = state.table.accept(update, nowMs)
  if (change === 'none') return
  state.seeds.remove(update.incarnation)
  state.suspicions.clearByHeartbeat(update.incarnation, update.beat)
  if (change === 'heartbeat') return
  if (!isKnown) state.confirmation.memberAdded(nowMs)
  // The other daemons already have what a joining daemon receives about third members.
  const isAuthoritative = from === update.incarnation || update.state !== 'alive'
  if (isAuthoritative || state.confirmation.isConfirmed(nowMs)) disseminate(state, update, nowMs)
  yield { kind: 'update-applied', update }
}

function * applyStoredUpdate (state: membershipState.State, update: updateStore.StoredUpdate, nowMs: number): Generator<event.Output, void> {
  if (!state.store.accept(update, nowMs)) return
  disseminate(state, update, nowMs)
  yield { kind: 'update-applied', update }
}

/**
 * Applies an update; ignores one that is not newer than the stored one.
 *
 * @example
 * ```ts
 * yield * applyUpdate(state, { kind: 'revision', service: 'listings', revision: 7 }, undefined, nowMs)
 * ```
 */
export function * applyUpdate (state: membershipState.State, update: protocol.Update, from: Sender, nowMs: number): Generator<event.Output, void> {
  if (update.kind !== 'member') yield * applyStoredUpdate(state, update, nowMs)
  else if (update.incarnation === state.localMember.incarnation) yield * applyLocalUpdate(state, update, nowMs)
  else yield * applyMemberUpdate(state, update, from, nowMs)
}
