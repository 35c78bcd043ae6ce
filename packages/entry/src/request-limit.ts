/**
 * The limit on requests that wait or run at one time.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import type * as state from './state.js'

function isLessUrgent (left: request.Waiting, right: request.Waiting): boolean {
  if (left.terms.rank !== right.terms.rank) return left.terms.rank > right.terms.rank
  return left.acceptedMs > right.acceptedMs
}

/** The waiting request of the lowest tier below a rank, the latest of them. */
function findDisplaceable (own: state.State, rank: protocol.Rank): request.Waiting | undefined {
  const lower = own.waiting().filter((waiting) => waiting.terms.rank > rank)
  return lower.length === 0 ? undefined : lower.reduce((least, each) => isLessUrgent(each, least) ? each : least)
}

/** The figures of a refusal at the limit for a request of a rank. */
export function limitFigures (own: state.State, rank: protocol.Rank): protocol.Figures {
  const { requestLimit } = own.settings
  const ahead = [...own.requests.values()].filter((each) => each.terms.rank <= rank).length
  return { ahead, requestLimit }
}

/** Makes room for a request of a rank, by displacing a less important one if need be; false when there is none. */
export function * makeRoom (own: state.State, rank: protocol.Rank, nowMs: number): Generator<event.Output, boolean> {
  if (own.requests.size < own.settings.requestLimit) return true
  const displaced = findDisplaceable(own, rank)
  if (displaced === undefined) return false
  yield * settle.giveUp(own, displaced, receipt.notRun('daemon-full', limitFigures(own, displaced.terms.rank)), settle.RETRY_AFTER_MS, nowMs)
  return true
}
