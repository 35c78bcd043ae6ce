/**
 * Enforces the limit on requests that wait or run at one time.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import type * as state from './state.js'

function hasLowerPriority (left: request.Waiting, right: request.Waiting): boolean {
  if (left.policy.rank !== right.policy.rank) return left.policy.rank > right.policy.rank
  return left.acceptedAtMs > right.acceptedAtMs
}

/** Finds the waiting request to displace: the latest one of the lowest tier, if that tier is below a rank. */
function findDisplaceable (entryState: state.State, rank: protocol.Rank): request.Waiting | undefined {
  const lower = entryState.waiting().filter((waiting) => waiting.policy.rank > rank)
  return lower.length === 0 ? undefined : lower.reduce((lowest, each) => hasLowerPriority(each, lowest) ? each : lowest)
}

/** Returns the figures of a refusal at the limit for a request of a rank. */
export function createLimitFigures (entryState: state.State, rank: protocol.Rank): protocol.Figures {
  const { requestLimit } = entryState.settings
  const ahead = [...entryState.requests.values()].filter((each) => each.policy.rank <= rank).length
  return { ahead, requestLimit }
}

/** Makes room for a request of a rank. At the limit it displaces a waiting request of a lower tier, and returns false when there is none. */
export function * ensureCapacity (entryState: state.State, rank: protocol.Rank, nowMs: number): Generator<event.Output, boolean> {
  if (entryState.requests.size < entryState.settings.requestLimit) return true
  const displaced = findDisplaceable(entryState, rank)
  if (displaced === undefined) return false
  yield * settle.refuseWaiting(entryState, displaced, receipt.notRun('daemon-full', createLimitFigures(entryState, displaced.policy.rank)), settle.DEFAULT_RETRY_AFTER_MS, nowMs)
  return true
}
