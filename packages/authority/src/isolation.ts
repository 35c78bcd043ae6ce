/**
 * Runs suspected requests alone: nothing is placed beside one, and its target is drained first.
 *
 * @module
 */
import * as outputs from './outputs.js'
import type * as context from './context.js'
import type * as place from './place.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingRequest from './waiting-request.js'

/** Grants an ask that was taken out of turn. */
export type Grant = (state: context.Context, request: waitingRequest.WaitingRequest, placement: place.Placement, nowMs: number) => outputs.Outputs

/** Targets that may be drained for suspected requests at the same time. */
const MAX_DRAINING_TARGETS = 1

function listIsolated (state: context.Context): readonly waitingRequest.WaitingRequest[] {
  const requests: waitingRequest.WaitingRequest[] = []
  for (const key of state.isolated) {
    const request = state.queue.get(key)
    if (request === undefined) state.isolated.delete(key)
    else requests.push(request)
  }
  return requests.sort((a, b) => a.message.tier - b.message.tier || a.arrivedAtMs - b.arrivedAtMs)
}

function countDraining (state: context.Context): number {
  let count = 0
  for (const key of state.reservations.keys()) if (state.slots.get(key) === undefined) count += 1
  return count
}

function findTarget (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): string | undefined {
  let best: string | undefined
  let fewestTokens = Infinity
  for (const target of state.view().services.get(request.message.service)?.targets ?? []) {
    const tokens = state.targets.model(target)?.tokensInFlight() ?? Infinity
    const isUsable = state.targets.readiness(target, nowMs) !== 'closed' && !state.reservations.isReserved(target)
    if (!isUsable || tokens >= fewestTokens) continue
    best = target
    fewestTokens = tokens
  }
  return best
}

function toPlacement (state: context.Context, request: waitingRequest.WaitingRequest, target: string): place.Placement | undefined {
  const model = state.targets.model(target)
  if (model === undefined) return undefined
  const answerTokens = state.responseLengths.estimate(request.message.service, request.message.answerTokens)
  const expectation = model.estimateIdle(request.message.promptTokens, answerTokens)
  return { target, cachedTokens: 0, backlogMs: 0, expectation, tokensInFlight: 0, slowdown: state.targets.slowdown(target) }
}

function isEmpty (state: context.Context, target: string): boolean {
  return (state.targets.model(target)?.requests() ?? 0) === 0
}

/** The target that an ask is to run on: the one that is drained for it, unless another is empty already. */
function reserve (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): string | undefined {
  const reserved = state.reservations.targetOf(request.key)
  const isReservedUsable = reserved !== undefined && state.targets.readiness(reserved, nowMs) !== 'closed'
  if (isReservedUsable && isEmpty(state, reserved)) return reserved
  const found = findTarget(state, request, nowMs)
  if (isReservedUsable && (found === undefined || !isEmpty(state, found))) return reserved
  state.reservations.release(request.key)
  if (found === undefined || countDraining(state) >= MAX_DRAINING_TARGETS) return undefined
  state.reservations.reserve(found, request.key)
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
  for (const request of listIsolated(state)) {
    if (request.message.tier > blockedRank || request.message.tier > floor) {
      state.reservations.release(request.key)
      continue
    }
    const target = reserve(state, request, nowMs)
    if (target === undefined || state.reservations.isClosedTo(target, request.key) || state.slots.onTarget(target).length > 0) continue
    const placement = toPlacement(state, request, target)
    if (placement === undefined || !state.entries.isFresh(request.entry, nowMs)) continue
    yield * grant(state, request, placement, nowMs)
    yield outputs.count('isolated')
  }
}
