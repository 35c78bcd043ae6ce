/**
 * Requests that already wait when the documents in force change.
 *
 * @module
 */
import type * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'
import * as terms from './terms.js'

function isSameAsk (left: terms.Terms, right: terms.Terms): boolean {
  return left.rank === right.rank &&
    left.organisation === right.organisation &&
    left.nonIdempotent === right.nonIdempotent &&
    left.answerTokens === right.answerTokens
}

function * applyTerms (own: state.State, waiting: request.Waiting, changed: terms.Terms, nowMs: number): output.Outputs {
  const exhaustedPools = changed.pools.every((pool) => waiting.exhaustedPools.includes(pool)) ? [] : waiting.exhaustedPools
  const updated = { ...waiting, terms: changed, exhaustedPools }
  own.requests.set(waiting.arrival.request, updated)
  const keepsPool = waiting.slot !== undefined && changed.pools.includes(waiting.slot.pool)
  if (!keepsPool || !isSameAsk(waiting.terms, changed)) yield * slotRequest.ask(own, updated, nowMs)
}

/** Applies the documents in force to a waiting request: it waits on, asks anew, or is refused as not run. */
export function * refreshTerms (own: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  const read = terms.readTerms(waiting.arrival, own.services, own.settings.isEligiblePool)
  if (read.isOk()) yield * applyTerms(own, waiting, read.value, nowMs)
  else yield * settle.giveUp(own, waiting, receipt.notRun(read.error.reason, read.error.figures), settle.RETRY_AFTER_MS, nowMs)
}
