/**
 * A refusal that says that a request was not run is true, and so is one that says that it ran.
 *
 * @module
 */
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'truthful-refusal'

function checkRefusal (request: string, refused: history.Refused, all: readonly runs.Run[]): readonly history.Violation[] {
  const [first] = all
  if (refused.execution === 'not-run' && first !== undefined) {
    const message = `${request} was refused as not run (${refused.reason}), but it ran on ${first.started.target}`
    return [{ promise: GUARANTEE, atMs: refused.atMs, message }]
  }
  const hadRun = all.some((run) => run.started.atMs <= refused.atMs)
  if (refused.execution === 'ran' && !hadRun) {
    return [{ promise: GUARANTEE, atMs: refused.atMs, message: `${request} was refused as run (${refused.reason}), but no target had received it` }]
  }
  return []
}

/**
 * Finds refusals that were not true, also when the request ran only after its refusal.
 *
 * @example
 * ```ts
 * truthfulRefusal(history) // [] when the promise was kept
 * ```
 */
export function truthfulRefusal (recordedHistory: history.History): readonly history.Violation[] {
  const byRequest = runs.runsByRequest(recordedHistory)
  return calls.calls(recordedHistory).flatMap(({ sent, outcomes }) => outcomes.flatMap((outcome) => outcome.kind === 'refused'
    ? checkRefusal(sent.request, outcome, byRequest.get(sent.request) ?? [])
    : []))
}

/**
 * Counts refusals that leave the caller without knowledge; they are true, and meant to be rare.
 *
 * @example
 * ```ts
 * countUnknown(history) // 0
 * ```
 */
export function countUnknown (recordedHistory: history.History): number {
  return recordedHistory.facts.filter((fact) => fact.kind === 'refused' && fact.execution === 'unknown').length
}
