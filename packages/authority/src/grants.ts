/**
 * Grants slots to waiting asks, in strict order of tiers.
 *
 * @module
 */
import * as isolation from './isolation.js'
import * as outputs from './outputs.js'
import * as place from './place.js'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as waitingAsk from './waiting-ask.js'

/** Time for which a request may run after its deadline, milliseconds. */
const DEADLINE_GRACE_MS = 60_000

function listFigures (state: context.Context, ask: waitingAsk.WaitingAsk, placement: place.Placement, nowMs: number): protocol.Figures {
  return {
    service: ask.message.service,
    target: placement.target,
    waitedMs: Math.round(nowMs - ask.arrivedAtMs),
    expectedMs: Math.round(placement.expectation.totalMs * placement.slowdown),
    queueTokens: Math.round(state.queue.tier(ask.message.tier).backlog(ask.message.service).tokens),
    tokensInFlight: Math.round(placement.tokensInFlight),
    cachedTokens: Math.round(placement.cachedTokens),
    slowdown: Math.round(placement.slowdown * 100) / 100
  }
}

/** Grants a slot on a chosen target. */
export function * grant (state: context.Context, ask: waitingAsk.WaitingAsk, placement: place.Placement, nowMs: number): outputs.Outputs {
  const { message } = ask
  state.queue.take(ask)
  state.pending.delete(ask.key)
  state.isolated.delete(ask.key)
  state.calibration.learn(ask.expectedWaitMs, nowMs - ask.queuedAtMs)
  const figures = listFigures(state, ask, placement, nowMs)
  state.slots.add({
    key: ask.key,
    entry: ask.entry,
    ask: message.ask,
    service: message.service,
    organisation: message.organisation,
    tier: message.tier,
    promptTokens: message.promptTokens,
    answerTokens: message.answerTokens,
    costTokens: ask.costTokens,
    nonIdempotent: message.nonIdempotent,
    fingerprint: message.fingerprint,
    target: placement.target,
    grantedAtMs: nowMs,
    expiresAtMs: Math.max(nowMs, ask.deadlineAtMs) + DEADLINE_GRACE_MS,
    cachedTokens: placement.cachedTokens,
    backlogMs: placement.backlogMs,
    expectedFirstTokenMs: placement.expectation.firstTokenMs,
    expectedTotalMs: placement.expectation.totalMs,
    revokedAtMs: undefined,
    figures
  })
  state.targets.model(placement.target)?.add(ask.costTokens, Math.max(0, message.promptTokens - placement.cachedTokens), nowMs)
  state.prefixes.place(placement.target, message.prefixes)
  const round = state.entries.get(ask.entry)?.round ?? message.round
  yield outputs.send(ask.entry, { kind: 'grant', ask: message.ask, target: placement.target, round, figures })
  yield outputs.count('grants')
}

/** Grants in one tier; services that find no room join `blocked`, and their targets `closed`. */
function * grantTier (state: context.Context, rank: protocol.Rank, blocked: Set<string>, closed: Set<string>, nowMs: number): outputs.Outputs {
  const isOpen = (service: string): boolean => !blocked.has(service)
  for (let ask = state.queue.tier(rank).next(isOpen); ask !== undefined; ask = state.queue.tier(rank).next(isOpen)) {
    if (!state.entries.isFresh(ask.entry, nowMs)) {
      state.queue.park(ask.entry)
      continue
    }
    const service: poolView.Service | undefined = state.view().services.get(ask.message.service)
    const placement = service === undefined ? undefined : place.place(state, ask, service, closed, nowMs)
    if (placement === undefined) {
      blocked.add(ask.message.service)
      state.blocked.set(ask.message.service, rank)
      for (const target of service?.targets ?? []) closed.add(target)
    } else {
      yield * grant(state, ask, placement, nowMs)
    }
  }
}

/**
 * Whether an ask that just arrived can't be granted because one before it found no room, and nothing
 * has changed since.
 *
 * @example
 * ```ts
 * if (!isBlocked(context, ask)) yield * grantWaiting(context, nowMs)
 * ```
 */
export function isBlocked (state: context.Context, ask: waitingAsk.WaitingAsk): boolean {
  const rank = state.blocked.get(ask.message.service)
  return rank !== undefined && rank <= ask.message.tier && !state.isolated.has(ask.key)
}

/**
 * Grants as many waiting asks as there is room for. A target that a more important ask waits for is
 * closed to all less important ones, also if they are small enough to fit.
 *
 * @example
 * ```ts
 * for (const output of grantWaiting(context, nowMs)) perform(output)
 * ```
 */
export function * grantWaiting (state: context.Context, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() !== 'settled') return
  const floor = state.floors.tier(nowMs)
  state.blocked.clear()
  const blocked = new Set<string>()
  const closed = new Set<string>()
  let blockedRank = Infinity
  for (const rank of state.queue.ranks()) {
    if (rank > floor) break
    yield * grantTier(state, rank, blocked, closed, nowMs)
    if (blocked.size > 0) blockedRank = Math.min(blockedRank, rank)
  }
  yield * isolation.grantIsolated(state, blockedRank, floor, grant, nowMs)
}
