/**
 * Handles priority floors that the authorities of other pools raise here, and their replies to floors raised there.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as preemption from './preemption.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'

function isAuthority (state: context.Context, from: protocol.Incarnation): boolean {
  return [...state.authorities().values()].includes(from)
}

/** Stops requests below the accepted floors, and reports to the authorities that raised them how many still run. */
export function * enforceFloors (state: context.Context, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() !== 'settled' || !state.entries.haveAllReplied()) return
  for (const [from, floor] of state.floors.accepted(nowMs)) {
    const lowerTierSlots = [...state.slots.all()].filter((granted) => granted.tier > floor.tier)
    for (const granted of lowerTierSlots) yield * preemption.revoke(state, granted, nowMs)
    const isRevocable = lowerTierSlots.some((granted) => !granted.nonIdempotent)
    if (isRevocable || floor.reportedRunning === lowerTierSlots.length) continue
    state.floors.recordReport(from, lowerTierSlots.length)
    yield outputs.send(from, { kind: 'floor-reached', pool: state.options.pool, tier: floor.tier, running: lowerTierSlots.length })
  }
}

/** Handles a floor that another pool's authority raises in this pool. */
export function * handleFloor (state: context.Context, from: protocol.Incarnation, message: protocol.Floor, nowMs: number): outputs.Outputs {
  if (message.pool !== state.options.pool || !isAuthority(state, from) || state.recovery.phase() === 'idle') {
    yield outputs.count('foreign.floor')
    return
  }
  state.floors.accept(from, message.tier, message.holdMs, nowMs)
  yield outputs.count('floors.accepted')
  yield * enforceFloors(state, nowMs)
}

/** Handles the report of another pool's authority on how many requests still run below a floor raised there. */
export function * handleFloorReached (state: context.Context, from: protocol.Incarnation, message: protocol.FloorReached, nowMs: number): outputs.Outputs {
  const isFromAuthority = state.authorities().get(message.pool) === from
  const isAccepted = isFromAuthority && state.floors.recordReached(message.pool, message.tier, message.running, nowMs)
  yield outputs.count(isAccepted ? 'floors.reached' : 'foreign.floor-reached')
}
