/**
 * Collects from the entries what runs in the pool, after this daemon became its authority.
 *
 * @module
 */
import * as floors from './floors.js'
import * as grants from './grants.js'
import * as outputs from './outputs.js'
import * as refusals from './refusals.js'
import * as releases from './releases.js'
import * as waitingRequest from './waiting-request.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'

/** Interval at which the collect message is resent to entries that have not replied, milliseconds. */
const COLLECT_INTERVAL_MS = 1_000
/** Maximum run time assumed for a request whose deadline is not known, milliseconds. */
const MAX_RUN_MS = 600_000
/** Rank of the most important tier. */
const TOP_RANK = 0

/** Requests the holdings of an entry. */
export function * collect (state: context.Context, entry: protocol.Incarnation, nowMs: number): outputs.Outputs {
  state.entries.recordCollect(entry, nowMs)
  yield outputs.send(entry, { kind: 'collect', pool: state.options.pool })
}

/** Lets only the top tier start while a floor may be active that another pool raised with the previous authority, as this authority does not know those floors. */
export function raisePrecautionaryFloor (state: context.Context, nowMs: number): void {
  const hasOtherPools = [...state.view().services.values()].some((service) => service.otherPools.length > 0)
  if (hasOtherPools) state.floors.raiseLocal(TOP_RANK, floors.FLOOR_HOLD_MS, nowMs)
}

/** Starts to collect holdings from all entries. */
export function * startRecovery (state: context.Context, nowMs: number): outputs.Outputs {
  state.recovery.start(nowMs)
  state.entries.reset()
  raisePrecautionaryFloor(state, nowMs)
  for (const entry of state.entries.live()) yield * collect(state, entry, nowMs)
  yield outputs.count('recoveries')
  yield * settle(state, nowMs)
}

/** Settles once all entries have replied or the settle time is over, and resends the collect message to those that have not replied. */
export function * settle (state: context.Context, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() === 'idle') return
  if (state.recovery.update(state.entries.haveAllReplied(), nowMs)) yield * grants.grantWaiting(state, nowMs)
  if (state.entries.haveAllReplied()) return
  for (const name of state.entries.live()) {
    const entry = state.entries.get(name)
    if (entry === undefined || entry.hasReplied || nowMs - entry.lastCollectAtMs < COLLECT_INTERVAL_MS) continue
    yield * collect(state, name, nowMs)
  }
}

function restoreSlot (state: context.Context, from: protocol.Incarnation, holding: protocol.Holding, nowMs: number): void {
  const key = waitingRequest.keyOf(from, holding.ask)
  const existing = state.slots.get(key)
  if (state.slots.hasEnded(key) || existing?.target === holding.target) return
  if (existing !== undefined) releases.freeSlot(state, key, nowMs)
  const request = state.queue.get(key)
  if (request !== undefined) refusals.drop(state, request)
  const isPlain = state.targets.kind(holding.target) === 'plain'
  const answerTokens = state.responseLengths.estimate(holding.service, holding.answerTokens)
  const costTokens = Math.max(1, isPlain ? holding.answerTokens : holding.promptTokens + answerTokens)
  const expectation = state.targets.model(holding.target)?.estimateIdle(holding.promptTokens, answerTokens)
  const { service, organisation, tier, promptTokens, nonIdempotent, fingerprint, target } = holding
  state.slots.add({
    key,
    entry: from,
    slotRequestId: holding.ask,
    service,
    organisation,
    tier,
    promptTokens,
    answerTokens: holding.answerTokens,
    costTokens,
    nonIdempotent,
    fingerprint,
    target,
    grantedAtMs: nowMs - holding.runningMs,
    expiresAtMs: nowMs + MAX_RUN_MS,
    cachedTokens: 0,
    backlogMs: 0,
    expectedFirstTokenMs: expectation?.firstTokenMs ?? 0,
    expectedTotalMs: expectation?.totalMs ?? 0,
    revokedAtMs: undefined,
    figures: { service, target }
  })
  state.targets.model(target)?.add(costTokens, 0, nowMs)
  if (state.suspects.get(fingerprint, nowMs)?.update.state === 'suspect') state.reservations.reserve(target, key)
}

/** Frees slots that the entry did not list although it must have held them when it replied; returns their number. */
function reconcile (state: context.Context, from: protocol.Incarnation, holdings: readonly protocol.Holding[], collectedAtMs: number, validityMs: number, nowMs: number): number {
  const listed = new Set(holdings.map((holding) => waitingRequest.keyOf(from, holding.ask)))
  let freed = 0
  for (const granted of state.slots.ofEntry(from)) {
    if (listed.has(granted.key) || granted.grantedAtMs >= collectedAtMs - validityMs) continue
    releases.freeSlot(state, granted.key, nowMs)
    freed += 1
  }
  return freed
}

/** Handles an entry's reply to a collect message. A duplicate or late reply changes nothing. */
export function * handleHoldings (state: context.Context, from: protocol.Incarnation, message: protocol.Holdings, validityMs: number, nowMs: number): outputs.Outputs {
  const isExpected = state.recovery.phase() !== 'idle' && state.entries.get(from)?.isLive === true
  if (message.pool !== state.options.pool || !isExpected) {
    yield outputs.count('foreign.holdings')
    return
  }
  const collectedAtMs = state.entries.recordReply(from, state.recovery.startedAtMs())
  if (collectedAtMs === undefined) yield outputs.count('unknown.holdings')
  for (const holding of message.holdings) restoreSlot(state, from, holding, nowMs)
  const freed = collectedAtMs === undefined ? 0 : reconcile(state, from, message.holdings, collectedAtMs, validityMs, nowMs)
  if (freed > 0) yield outputs.count('reconciled', freed)
  yield * settle(state, nowMs)
}
