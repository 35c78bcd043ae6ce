/**
 * Grants slots to waiting requests, in strict order of tiers.
 *
 * @module
 */
import * as isolation from './isolation.js'
import * as outputs from './outputs.js'
import * as place from './place.js'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingRequest from './waiting-request.js'

/** Maximum time that a request may run after its deadline, milliseconds. */
const DEADLINE_GRACE_MS = 60_000

function listFigures (state: context.Context, request: waitingRequest.WaitingRequest, placement: place.Placement, nowMs: number): protocol.Figures {
  return {
    service: request.message.service,
    target: placement.target,
    waitedMs: Math.round(nowMs - request.arrivedAtMs),
    expectedMs: Math.round(placement.expectation.totalMs * placement.slowdown),
    queueTokens: Math.round(state.queue.tier(request.message.tier).backlog(request.message.service).tokens),
    tokensInFlight: Math.round(placement.tokensInFlight),
    cachedTokens: Math.round(placement.cachedTokens),
    slowdown: Math.round(placement.slowdown * 100) / 100
  }
}

/** Grants a slot on the target of a placement. */
export function * grant (state: context.Context, request: waitingRequest.WaitingRequest, placement: place.Placement, nowMs: number): outputs.Outputs {
  const { message } = request
  state.queue.dequeue(request)
  state.pendingRefusals.delete(request.key)
  state.isolated.delete(request.key)
  state.calibration.observe(request.expectedWaitMs, nowMs - request.queuedAtMs)
  const figures = listFigures(state, request, placement, nowMs)
  state.slots.add({
    key: request.key,
    entry: request.entry,
    slotRequestId: message.ask,
    service: message.service,
    organisation: message.organisation,
    tier: message.tier,
    promptTokens: message.promptTokens,
    answerTokens: message.answerTokens,
    costTokens: request.costTokens,
    nonIdempotent: message.nonIdempotent,
    fingerprint: message.fingerprint,
    target: placement.target,
    grantedAtMs: nowMs,
    expiresAtMs: Math.max(nowMs, request.deadlineAtMs) + DEADLINE_GRACE_MS,
    cachedTokens: placement.cachedTokens,
    backlogMs: placement.backlogMs,
    expectedFirstTokenMs: placement.expectation.firstTokenMs,
    expectedTotalMs: placement.expectation.totalMs,
    revokedAtMs: undefined,
    figures
  })
  state.targets.model(placement.target)?.add(request.costTokens, Math.max(0, message.promptTokens - placement.cachedTokens), nowMs)
  state.prefixes.recordPlacement(placement.target, message.prefixes)
  const round = state.entries.get(request.entry)?.round ?? message.round
  yield outputs.send(request.entry, { kind: 'grant', ask: message.ask, target: placement.target, round, figures })
  yield outputs.count('grants')
}

/**
 * Grants slots in one tier. Adds a service without a free slot to `blockedServices`, and its targets to
 * `closedTargets`.
 */
function * grantTier (state: context.Context, rank: protocol.Rank, blockedServices: Set<string>, closedTargets: Set<string>, nowMs: number): outputs.Outputs {
  const isOpen = (service: string): boolean => !blockedServices.has(service)
  for (let request = state.queue.tier(rank).next(isOpen); request !== undefined; request = state.queue.tier(rank).next(isOpen)) {
    if (!state.entries.isFresh(request.entry, nowMs)) {
      state.queue.suspendEntry(request.entry)
      continue
    }
    const service: poolView.Service | undefined = state.view().services.get(request.message.service)
    const placement = service === undefined ? undefined : place.place(state, request, service, closedTargets, nowMs)
    if (placement === undefined) {
      blockedServices.add(request.message.service)
      state.blockedRanks.set(request.message.service, rank)
      for (const target of service?.targets ?? []) closedTargets.add(target)
    } else {
      yield * grant(state, request, placement, nowMs)
    }
  }
}

/**
 * Returns whether a new request can't be granted because an earlier one found no free slot and nothing has changed
 * since.
 *
 * @example
 * ```ts
 * if (!isBlocked(context, request)) yield * grantWaiting(context, nowMs)
 * ```
 */
export function isBlocked (state: context.Context, request: waitingRequest.WaitingRequest): boolean {
  const rank = state.blockedRanks.get(request.message.service)
  return rank !== undefined && rank <= request.message.tier && !state.isolated.has(request.key)
}

/**
 * Grants slots to as many waiting requests as the targets have free slots for. A target that a more important
 * request is waiting for accepts no less important one, even one small enough to fit.
 *
 * @example
 * ```ts
 * for (const output of grantWaiting(context, nowMs)) perform(output)
 * ```
 */
export function * grantWaiting (state: context.Context, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() !== 'settled') return
  const floor = state.floors.tier(nowMs)
  state.blockedRanks.clear()
  const blockedServices = new Set<string>()
  const closedTargets = new Set<string>()
  let blockedRank = Infinity
  for (const rank of state.queue.ranks()) {
    if (rank > floor) break
    yield * grantTier(state, rank, blockedServices, closedTargets, nowMs)
    if (blockedServices.size > 0) blockedRank = Math.min(blockedRank, rank)
  }
  yield * isolation.grantIsolated(state, blockedRank, floor, grant, nowMs)
}
