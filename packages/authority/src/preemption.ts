/**
 * Stops running requests of lower tiers to free slots for higher ones.
 *
 * @module
 */
import * as outputs from './outputs.js'
import type * as context from './context.js'
import type * as poolView from './pool-view.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as slot from './slot.js'

/** Time after which a revocation without a reply is resent, milliseconds. */
const RESEND_INTERVAL_MS = 2_000

/** Estimates the prompt tokens whose prefill would be wasted if the request were stopped now. */
export function estimateWastedPrefill (granted: slot.Slot, nowMs: number): number {
  const share = Math.min(1, (nowMs - granted.grantedAtMs) / Math.max(1, granted.expectedFirstTokenMs))
  return (granted.promptTokens - granted.cachedTokens) * share
}

/** Lists the slots of tiers less important than `rank` on a service's targets, including targets that are leaving. */
export function listLowerTierSlots (state: context.Context, rank: protocol.Rank, service: poolView.Service): readonly slot.Slot[] {
  return service.targets.filter((target) => state.slots.countLower(target, rank) > 0)
    .flatMap((target) => state.slots.onTarget(target).filter((granted) => granted.tier > rank))
}

/** Sends a revocation for one request, or resends it when there was no reply. Non-idempotent requests are not stopped. */
export function * revoke (state: context.Context, granted: slot.Slot, nowMs: number): outputs.Outputs {
  if (granted.nonIdempotent) return
  if (granted.revokedAtMs !== undefined && nowMs - granted.revokedAtMs < RESEND_INTERVAL_MS) return
  if (granted.revokedAtMs === undefined) yield outputs.count('preempted')
  state.slots.replace({ ...granted, revokedAtMs: nowMs })
  yield outputs.send(granted.entry, { kind: 'revocation', ask: granted.slotRequestId, cause: 'preempted' })
}

/**
 * Stops as many of the given requests as needed to free `wantedTokens`: the lowest tier first, and within a tier
 * those that waste the least prefill. Non-idempotent requests are not stopped.
 *
 * @example
 * ```ts
 * yield * stop(context, listLowerTierSlots(context, 0, service), 2_000, nowMs)
 * ```
 */
export function * stop (state: context.Context, lowerTierSlots: readonly slot.Slot[], wantedTokens: number, nowMs: number): outputs.Outputs {
  const revocable = lowerTierSlots.filter((granted) => !granted.nonIdempotent)
  let missingTokens = wantedTokens
  for (const granted of revocable) {
    if (granted.revokedAtMs === undefined) continue
    missingTokens -= granted.costTokens
    yield * revoke(state, granted, nowMs)
  }
  const candidates = revocable.filter((granted) => granted.revokedAtMs === undefined)
    .sort((a, b) => b.tier - a.tier || estimateWastedPrefill(a, nowMs) - estimateWastedPrefill(b, nowMs))
  for (const granted of candidates) {
    if (missingTokens <= 0) return
    missingTokens -= granted.costTokens
    yield * revoke(state, granted, nowMs)
  }
}

/** Stops requests of lower tiers on targets that are not leaving, to free slots for a tier. */
export function * preempt (state: context.Context, rank: protocol.Rank, service: poolView.Service, wantedTokens: number, nowMs: number): outputs.Outputs {
  const lowerTierSlots = listLowerTierSlots(state, rank, service).filter((granted) => !state.targets.isLeaving(granted.target))
  yield * stop(state, lowerTierSlots, wantedTokens, nowMs)
}
