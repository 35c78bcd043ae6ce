/**
 * Runs suspected requests alone: nothing is placed beside one, and its target is drained first.
 *
 * @module
 */
import * as outputs from './outputs.js'
import type * as context from './context.js'
import type * as place from './place.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingAsk from './waiting-ask.js'

/** Grants an ask that was taken out of turn. */
export type Grant = (state: context.Context, ask: waitingAsk.WaitingAsk, placement: place.Placement, nowMs: number) => outputs.Outputs

/** Targets that may be drained for suspected requests at the same time. */
const MAX_DRAINING = 1

function listIsolated (state: context.Context): readonly waitingAsk.WaitingAsk[] {
  const asks: waitingAsk.WaitingAsk[] = []
  for (const key of state.isolated) {
    const ask = state.queue.get(key)
    if (ask === undefined) state.isolated.delete(key)
    else asks.push(ask)
  }
  return asks.sort((left, right) => left.message.tier - right.message.tier || left.arrivedAtMs - right.arrivedAtMs)
}

function countDraining (state: context.Context): number {
  let count = 0
  for (const key of state.reservations.keys()) if (state.slots.get(key) === undefined) count += 1
  return count
}

function findTarget (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): string | undefined {
  let best: string | undefined
  let fewest = Infinity
  for (const target of state.view().services.get(ask.message.service)?.targets ?? []) {
    const tokens = state.targets.model(target)?.knownTokens() ?? Infinity
    const isUsable = state.targets.readiness(target, nowMs) !== 'closed' && !state.reservations.isReserved(target)
    if (!isUsable || tokens >= fewest) continue
    best = target
    fewest = tokens
  }
  return best
}

function toPlacement (state: context.Context, ask: waitingAsk.WaitingAsk, target: string): place.Placement | undefined {
  const model = state.targets.model(target)
  if (model === undefined) return undefined
  const answerTokens = state.answers.expect(ask.message.service, ask.message.answerTokens)
  const expectation = model.expect(ask.message.promptTokens, answerTokens)
  return { target, cachedTokens: 0, backlogMs: 0, expectation, tokensInFlight: 0, slowdown: state.targets.slowdown(target) }
}

function isEmpty (state: context.Context, target: string): boolean {
  return (state.targets.model(target)?.requests() ?? 0) === 0
}

/** The target that an ask is to run on: the one that is drained for it, unless another is empty already. */
function reserve (state: context.Context, ask: waitingAsk.WaitingAsk, nowMs: number): string | undefined {
  const reserved = state.reservations.targetOf(ask.key)
  const isKept = reserved !== undefined && state.targets.readiness(reserved, nowMs) !== 'closed'
  if (isKept && isEmpty(state, reserved)) return reserved
  const found = findTarget(state, ask, nowMs)
  if (isKept && (found === undefined || !isEmpty(state, found))) return reserved
  state.reservations.release(ask.key)
  if (found === undefined || countDraining(state) >= MAX_DRAINING) return undefined
  state.reservations.reserve(found, ask.key)
  return found
}

/**
 * Drains targets for suspected requests and grants those whose target is empty. A suspected request
 * gives its target back while more important asks find no room (`blockedRank`).
 *
 * @example
 * ```ts
 * yield * grantIsolated(context, Infinity, Infinity, grant, nowMs)
 * ```
 */
export function * grantIsolated (state: context.Context, blockedRank: protocol.Rank, floor: protocol.Rank, grant: Grant, nowMs: number): outputs.Outputs {
  if (state.isolated.size === 0) return
  for (const ask of listIsolated(state)) {
    if (ask.message.tier > blockedRank || ask.message.tier > floor) {
      state.reservations.release(ask.key)
      continue
    }
    const target = reserve(state, ask, nowMs)
    if (target === undefined || state.reservations.isClosedTo(target, ask.key) || state.slots.onTarget(target).length > 0) continue
    const placement = toPlacement(state, ask, target)
    if (placement === undefined || !state.entries.isFresh(ask.entry, nowMs)) continue
    yield * grant(state, ask, placement, nowMs)
    yield outputs.count('isolated')
  }
}
