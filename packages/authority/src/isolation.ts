/**
 * Runs suspect requests alone: their target is drained first, and no other request is placed there meanwhile.
 *
 * @module
 */
import * as outputs from './outputs.js'
import type * as context from './context.js'
import type * as place from './place.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingRequest from './waiting-request.js'

/** Grants a slot to a request outside the order of the queue. */
export type Grant = (state: context.Context, request: waitingRequest.WaitingRequest, placement: place.Placement, nowMs: number) => outputs.Outputs

/** Targets that may be drained for suspect requests at the same time. */
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
  let emptiest: string | undefined
  let fewestTokens = Infinity
  for (const target of state.view().services.get(request.message.service)?.targets ?? []) {
    const tokens = state.targets.model(target)?.tokensInFlight() ?? Infinity
    const isUsable = state.targets.readiness(target, nowMs) !== 'closed' && !state.reservations.isReserved(target)
    if (!isUsable || tokens >= fewestTokens) continue
    emptiest = target
    fewestTokens = tokens
  }
  return emptiest
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

/** Reserves a target for a request: keeps the one that is being drained for it, unless another is already empty. */
function reserve (state: context.Context, request: waitingRequest.WaitingRequest, nowMs: number): string | undefined {
  const reserved = state.reservations.targetOf(request.key)
  const isReservedUsable = reserved !== undefined && state.targets.readiness(reserved, nowMs) !== 'closed'
  if (isReservedUsable && isEmpty(state, reserved)) return reserved
  const candidate = findTarget(state, request, nowMs)
  if (isReservedUsable && (candidate === undefined || !isEmpty(state, candidate))) return reserved
  state.reservations.release(request.key)
  if (candidate === undefined || countDraining(state) >= MAX_DRAINING_TARGETS) return undefined
  state.reservations.reserve(candidate, request.key)
  return candidate
}

/**
 * Drains targets for suspect requests and grants slots to those whose target is empty. A suspect request
 * releases its target while more important requests find no free slot (`blockedRank`).
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
