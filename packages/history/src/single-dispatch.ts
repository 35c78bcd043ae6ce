/**
 * Checks that a request is dispatched to a target at most once.
 *
 * @module
 */
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'single-dispatch'

function findRepeated (recordedHistory: history.History): readonly history.Violation[] {
  return [...runs.runsByRequest(recordedHistory)].flatMap(([request, requestRuns]) => requestRuns.slice(1).map(({ started }) => ({
    guarantee: GUARANTEE,
    atMs: started.atMs,
    message: `${request} reached ${started.target} after it had reached ${requestRuns[0]?.started.target ?? 'a target'}`
  })))
}

/** Finds requests that a target received although no caller had sent them before. */
function findUnsent (recordedHistory: history.History): readonly history.Violation[] {
  const sentRequests = new Set<string>()
  const violations: history.Violation[] = []
  for (const fact of recordedHistory.facts) {
    if (fact.kind === 'sent') sentRequests.add(fact.request)
    if (fact.kind !== 'run-started' || sentRequests.has(fact.request)) continue
    violations.push({ guarantee: GUARANTEE, atMs: fact.atMs, message: `${fact.request} reached ${fact.target}, but no caller had sent it` })
  }
  return violations
}

/**
 * Finds requests that targets received more than once, or that nobody sent.
 *
 * @example
 * ```ts
 * singleDispatch(history) // [] when the guarantee holds
 * ```
 */
export function singleDispatch (recordedHistory: history.History): readonly history.Violation[] {
  return [...findRepeated(recordedHistory), ...findUnsent(recordedHistory)]
}
