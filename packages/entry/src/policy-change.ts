/**
 * Applies changed documents to requests that already wait.
 *
 * @module
 */
import type * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'
import * as requestPolicy from './request-policy.js'

function hasSameSlotRequest (left: requestPolicy.RequestPolicy, right: requestPolicy.RequestPolicy): boolean {
  return left.rank === right.rank &&
    left.organisation === right.organisation &&
    left.nonIdempotent === right.nonIdempotent &&
    left.answerTokens === right.answerTokens
}

function * applyPolicy (entryState: state.State, waiting: request.Waiting, policy: requestPolicy.RequestPolicy, nowMs: number): output.Outputs {
  const exhaustedPools = policy.pools.every((pool) => waiting.exhaustedPools.includes(pool)) ? [] : waiting.exhaustedPools
  const updated = { ...waiting, policy, exhaustedPools }
  entryState.requests.set(waiting.arrival.request, updated)
  const keepsPool = waiting.slotRequest !== undefined && policy.pools.includes(waiting.slotRequest.pool)
  if (!keepsPool || !hasSameSlotRequest(waiting.policy, policy)) yield * slotRequest.requestSlot(entryState, updated, nowMs)
}

/** Applies the documents in force to a waiting request: it keeps waiting, requests another slot, or is refused as not run. */
export function * refreshPolicy (entryState: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  const resolved = requestPolicy.resolvePolicy(waiting.arrival, entryState.services, entryState.settings.isEligiblePool)
  if (resolved.isOk()) yield * applyPolicy(entryState, waiting, resolved.value, nowMs)
  else yield * settle.refuseWaiting(entryState, waiting, receipt.notRun(resolved.error.reason, resolved.error.figures), settle.DEFAULT_RETRY_AFTER_MS, nowMs)
}
