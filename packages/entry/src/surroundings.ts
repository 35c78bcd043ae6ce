/**
 * Changes around the entry: documents, authorities, and what the process missed while it was suspended.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as holdings from './holdings.js'
import type * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'
import * as termsChange from './terms-change.js'

/** Puts documents in force, also for requests that already wait. */
export function * handleDocuments (
  own: state.State,
  documents: readonly document.serviceDocument.ServiceDocument[],
  nowMs: number
): output.Outputs {
  own.services = new Map(documents.map((each) => [each.service, each]))
  for (const waiting of own.waiting()) yield * termsChange.refreshTerms(own, waiting, nowMs)
}

/**
 * Asks the authorities in force. One that was reconnected may have missed releases and asks. One that
 * others took for gone for a while, and that never learned of it, does not collect what its substitute granted.
 */
export function * handleAuthorities (
  own: state.State,
  authorities: ReadonlyMap<string, protocol.Incarnation>,
  reconnected: readonly protocol.Incarnation[],
  nowMs: number
): output.Outputs {
  own.authorities = new Map(authorities)
  holdings.forgetCollectors(own)
  for (const authority of reconnected) own.rounds.drop(authority)
  for (const [pool, authority] of authorities) {
    const isIgnorant = reconnected.includes(authority) || holdings.isUnknownTo(own, authority, pool)
    if (isIgnorant) yield * holdings.report(own, authority, pool, nowMs)
  }
  const isOutdated = (waiting: request.Waiting): boolean => {
    return waiting.slot === undefined || authorities.get(waiting.slot.pool) !== waiting.slot.authority
  }
  yield * slotRequest.repeatAsks(own, (slot) => reconnected.includes(slot.authority) && authorities.get(slot.pool) === slot.authority, nowMs)
  yield * slotRequest.askAgain(own, isOutdated, nowMs)
}

/** The process was suspended: every grant that was given meanwhile is unusable. */
export function * handleResumed (own: state.State, nowMs: number): output.Outputs {
  own.rounds.clear()
  yield * slotRequest.askAgain(own, () => true, nowMs)
}

/** Takes in news of a content; requests that wait with a refused content are refused at once. */
export function * handleSuspect (own: state.State, news: protocol.SuspectUpdate, nowMs: number): output.Outputs {
  own.suspects.update(news, nowMs)
  const refused = own.suspects.findRefused(news.fingerprint, nowMs)
  if (refused === undefined) return
  const outcome = receipt.notRun('suspect-refused', { crashes: refused.crashes, remainingS: Math.ceil(refused.remainingMs / 1_000) })
  for (const waiting of own.waiting()) {
    if (waiting.arrival.fingerprint === news.fingerprint) yield * settle.giveUp(own, waiting, outcome, refused.remainingMs, nowMs)
  }
}
