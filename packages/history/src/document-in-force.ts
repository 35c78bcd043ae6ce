/**
 * Checks that an accepted change to a service document is in force everywhere within `IN_FORCE_LIMIT_MS` and
 * never reverts, and that operators receive true reports about it.
 *
 * @module
 */
import type * as history from './history.js'

const GUARANTEE = 'document-in-force'

/** Time from the acceptance of a change until every daemon must apply it, milliseconds. */
export const IN_FORCE_LIMIT_MS = 5_000

function isDocumentObserved (fact: history.Fact): fact is history.DocumentObserved {
  return fact.kind === 'document-observed'
}

function isDocumentAccepted (fact: history.Fact): fact is history.DocumentAccepted {
  return fact.kind === 'document-accepted'
}

function isIsolationChanged (fact: history.Fact): fact is history.IsolationChanged {
  return fact.kind === 'isolation-begun' || fact.kind === 'isolation-ended'
}

/** Returns when the daemon's last isolation before a moment ended; `Infinity` while it lasts, `-Infinity` if there was none. */
function isolatedUntilMs (changes: readonly history.IsolationChanged[], daemon: string, atMs: number): number {
  const last = changes.findLast((change) => change.daemon === daemon && change.atMs <= atMs)
  if (last === undefined) return -Infinity
  return last.kind === 'isolation-begun' ? Infinity : last.atMs
}

/** Returns the lowest revision that a daemon may apply at a moment. */
function dueRevision (accepted: readonly history.DocumentAccepted[], reachableSinceMs: number, atMs: number): number {
  const due = accepted.filter((each) => Math.max(each.atMs, reachableSinceMs) + IN_FORCE_LIMIT_MS < atMs)
  return Math.max(0, ...due.map((each) => each.revision))
}

function describe (observed: history.DocumentObserved, previousRevision: number, due: number, accepted: readonly history.DocumentAccepted[]): string | undefined {
  const { daemon, service, revision } = observed
  if (revision < previousRevision) return `${daemon} went back from revision ${previousRevision} of ${service} to ${revision}`
  if (revision < due) return `${daemon} applies revision ${revision} of ${service}, but ${due} was accepted long before`
  const wasAccepted = accepted.some((each) => each.revision === revision && each.atMs <= observed.atMs)
  return wasAccepted ? undefined : `${daemon} applies revision ${revision} of ${service}, which was never accepted`
}

function findOutdated (recordedHistory: history.History): readonly history.Violation[] {
  const isolations = recordedHistory.facts.filter(isIsolationChanged)
  const allAccepted = recordedHistory.facts.filter(isDocumentAccepted)
  const latest = new Map<string, number>()
  return recordedHistory.facts.filter(isDocumentObserved).flatMap((observed) => {
    const key = `${observed.daemon} ${observed.service}`
    const previous = latest.get(key) ?? 0
    latest.set(key, Math.max(previous, observed.revision))
    const accepted = allAccepted.filter((each) => each.service === observed.service)
    const due = dueRevision(accepted, isolatedUntilMs(isolations, observed.daemon, observed.atMs), observed.atMs)
    const message = describe(observed, previous, due, accepted)
    return message === undefined ? [] : [{ guarantee: GUARANTEE, atMs: observed.atMs, message }]
  })
}

/** Finds revisions that the platform accepted although they were not higher than one that it accepted before. */
function findReverted (recordedHistory: history.History): readonly history.Violation[] {
  const latest = new Map<string, number>()
  return recordedHistory.facts.filter(isDocumentAccepted).flatMap((accepted) => {
    const previous = latest.get(accepted.service) ?? 0
    latest.set(accepted.service, Math.max(previous, accepted.revision))
    if (accepted.revision > previous) return []
    return [{ guarantee: GUARANTEE, atMs: accepted.atMs, message: `revision ${accepted.revision} of ${accepted.service} was accepted after ${previous}` }]
  })
}

function findFalseReports (recordedHistory: history.History): readonly history.Violation[] {
  return recordedHistory.facts.flatMap((fact) => {
    if (fact.kind !== 'change-reported') return []
    const wasAccepted = recordedHistory.facts.some((each) => isDocumentAccepted(each) && each.service === fact.service && each.change === fact.change)
    if (wasAccepted === fact.accepted) return []
    const message = `change ${fact.change} of ${fact.service} was reported as ${fact.accepted ? 'accepted' : 'not accepted'}, which is false`
    return [{ guarantee: GUARANTEE, atMs: fact.atMs, message }]
  })
}

/**
 * Finds daemons that apply outdated or unknown revisions, reverted documents, and false reports to operators.
 *
 * @example
 * ```ts
 * documentInForce(history) // [] when the guarantee holds
 * ```
 */
export function documentInForce (recordedHistory: history.History): readonly history.Violation[] {
  return [...findOutdated(recordedHistory), ...findReverted(recordedHistory), ...findFalseReports(recordedHistory)]
}
