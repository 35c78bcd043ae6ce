/**
 * Checks that a refusal states truthfully whether the request ran.
 *
 * @module
 */
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'truthful-refusal'

function checkRefusal (request: string, refused: history.Refused, requestRuns: readonly runs.Run[]): readonly history.Violation[] {
  const [first] = requestRuns
  if (refused.execution === 'not-run' && first !== undefined) {
    const message = `${request} was refused as not run (${refused.reason}), but it ran on ${first.started.target}`
    return [{ guarantee: GUARANTEE, atMs: refused.atMs, message }]
  }
  const hadRun = requestRuns.some((run) => run.started.atMs <= refused.atMs)
  if (refused.execution === 'ran' && !hadRun) {
    return [{ guarantee: GUARANTEE, atMs: refused.atMs, message: `${request} was refused as run (${refused.reason}), but no target had received it` }]
  }
  return []
}

/**
 * Finds refusals with a false execution state. A request that runs after its refusal as not run is a violation too.
 *
 * @example
 * ```ts
 * truthfulRefusal(history) // [] when the guarantee holds
 * ```
 */
export function truthfulRefusal (recordedHistory: history.History): readonly history.Violation[] {
  const byRequest = runs.runsByRequest(recordedHistory)
  return calls.calls(recordedHistory).flatMap(({ sent, outcomes }) => outcomes.flatMap((outcome) => outcome.kind === 'refused'
    ? checkRefusal(sent.request, outcome, byRequest.get(sent.request) ?? [])
    : []))
}

/**
 * Counts refusals that leave open whether the request ran. They are no violations, but should be rare.
 *
 * @example
 * ```ts
 * countUnknown(history) // 0
 * ```
 */
export function countUnknown (recordedHistory: history.History): number {
  return recordedHistory.facts.filter((fact) => fact.kind === 'refused' && fact.execution === 'unknown').length
}
