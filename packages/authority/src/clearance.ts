/**
 * Decides whether a request may be refused for lack of capacity: only when no request of a lower tier
 * runs on any target of the service, in this pool or in another.
 *
 * @module
 */
import * as floors from './floors.js'
import * as outputs from './outputs.js'
import * as preemption from './preemption.js'
import type * as context from './context.js'
import type * as event from './event.js'
import type * as poolView from './pool-view.js'
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which no lower tier starts in this pool after a refusal was considered, milliseconds. */
const LOCAL_FLOOR_MS = 1_000

function sumBacklogTokens (state: context.Context, rank: protocol.Rank, service: poolView.Service): number {
  let tokens = 0
  for (const other of state.queue.ranks()) {
    if (other > rank) continue
    for (const overlapping of service.overlappingServices) tokens += state.queue.tier(other).backlog(overlapping).tokens
  }
  return tokens
}

function * clearPool (state: context.Context, pool: string, rank: protocol.Rank, nowMs: number): Generator<event.Output, boolean> {
  const other = state.authorities().get(pool)
  if (other === undefined) {
    yield outputs.count('clearance.authority-missing')
    return false
  }
  const tier = state.floors.raiseRemote(pool, rank, nowMs)
  if (tier !== undefined) yield outputs.send(other, { kind: 'floor', pool, tier, holdMs: floors.FLOOR_HOLD_MS })
  return state.floors.isClear(pool, rank, nowMs)
}

/**
 * Stops requests of lower tiers so that a request of this tier may be refused. Returns whether the refusal is
 * allowed now; false while that is not known, so that the request keeps waiting.
 *
 * @example
 * ```ts
 * if (yield * clearLowerTiers(context, 0, service, 2_000, nowMs)) yield * refuse(context, request, 'shed', nowMs)
 * ```
 */
export function * clearLowerTiers (state: context.Context, rank: protocol.Rank, service: poolView.Service, costTokens: number, nowMs: number): Generator<event.Output, boolean> {
  if (state.recovery.phase() !== 'settled' || !state.entries.haveAllReplied()) return false
  state.floors.raiseLocal(rank, LOCAL_FLOOR_MS, nowMs)
  const lowerTierSlots = preemption.listLowerTierSlots(state, rank, service)
  if (lowerTierSlots.length > 0) {
    yield * preemption.stop(state, lowerTierSlots, Math.max(costTokens, sumBacklogTokens(state, rank, service)), nowMs)
    return false
  }
  let isClear = true
  for (const pool of service.otherPools) {
    const isPoolClear = yield * clearPool(state, pool, rank, nowMs)
    isClear = isClear && isPoolClear
  }
  return isClear
}
