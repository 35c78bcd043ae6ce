/**
 * Handles changes in the entry's environment: documents, authorities, suspect content, and a resume after the process was suspended.
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
import * as policyChange from './policy-change.js'

/** Puts documents in force, and applies them to requests that already wait. */
export function * handleDocuments (
  entryState: state.State,
  documents: readonly document.serviceDocument.ServiceDocument[],
  nowMs: number
): output.Outputs {
  entryState.services = new Map(documents.map((each) => [each.service, each]))
  for (const waiting of entryState.waiting()) yield * policyChange.refreshPolicy(entryState, waiting, nowMs)
}

/**
 * Applies a change of authorities. A reconnected authority may have missed releases and slot requests.
 * An authority that other daemons removed for a while without its noticing does not collect the slots that its
 * substitute granted, so those are reported to it.
 */
export function * handleAuthorities (
  entryState: state.State,
  authorities: ReadonlyMap<string, protocol.Incarnation>,
  reconnected: readonly protocol.Incarnation[],
  nowMs: number
): output.Outputs {
  entryState.authorities = new Map(authorities)
  holdings.removeFormerCollectors(entryState)
  for (const authority of reconnected) entryState.rounds.drop(authority)
  for (const [pool, authority] of authorities) {
    const lacksHoldings = reconnected.includes(authority) || holdings.hasUnreportedSlots(entryState, authority, pool)
    if (lacksHoldings) yield * holdings.report(entryState, authority, pool, nowMs)
  }
  const hasFormerAuthority = (waiting: request.Waiting): boolean => {
    return waiting.slotRequest === undefined || authorities.get(waiting.slotRequest.pool) !== waiting.slotRequest.authority
  }
  yield * slotRequest.retrySlotRequests(entryState, (sent) => reconnected.includes(sent.authority) && authorities.get(sent.pool) === sent.authority, nowMs)
  yield * slotRequest.requestSlots(entryState, hasFormerAuthority, nowMs)
}

/** Handles a resume after the process was suspended: grants that were sent meanwhile are unusable. */
export function * handleResumed (entryState: state.State, nowMs: number): output.Outputs {
  entryState.rounds.clear()
  yield * slotRequest.requestSlots(entryState, () => true, nowMs)
}

/** Applies an update about suspect content, and refuses waiting requests whose content is now refused. */
export function * handleSuspect (entryState: state.State, update: protocol.SuspectUpdate, nowMs: number): output.Outputs {
  entryState.suspects.apply(update, nowMs)
  const refused = entryState.suspects.findRefused(update.fingerprint, nowMs)
  if (refused === undefined) return
  const outcome = receipt.notRun('suspect-refused', { crashes: refused.crashes, remainingS: Math.ceil(refused.remainingMs / 1_000) })
  for (const waiting of entryState.waiting()) {
    if (waiting.arrival.fingerprint === update.fingerprint) yield * settle.refuseWaiting(entryState, waiting, outcome, refused.remainingMs, nowMs)
  }
}
