/**
 * Checks that a caller receives the complete response to its own request and never part of another response.
 *
 * @module
 */
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'whole-answer'

function describe (call: calls.Call, requestRuns: readonly runs.Run[]): string | undefined {
  const { request } = call.sent
  const isComplete = call.outcomes.some((outcome) => outcome.kind === 'answered')
  const finished = requestRuns.filter((run) => run.ended?.outcome === 'finished')
  if (isComplete && finished.length === 0) return `${request} was delivered as complete, but no target finished it`
  if (isComplete && !finished.some((run) => run.ended?.answer === call.text)) return `${request} was delivered with other text than its target wrote`
  const isOwn = call.text === '' || requestRuns.some((run) => run.ended === undefined || run.ended.answer.startsWith(call.text))
  return isOwn ? undefined : `${request} received text that its target did not write in this order`
}

/**
 * Finds responses that were wrongly delivered as complete, and text that is not a prefix of the request's own
 * response. Text of runs that have not ended at the end of the history is not checked.
 *
 * @example
 * ```ts
 * completeResponse(history) // [] when the guarantee holds
 * ```
 */
export function completeResponse (recordedHistory: history.History): readonly history.Violation[] {
  const byRequest = runs.runsByRequest(recordedHistory)
  return calls.calls(recordedHistory).flatMap((call) => {
    const message = describe(call, byRequest.get(call.sent.request) ?? [])
    return message === undefined ? [] : [{ guarantee: GUARANTEE, atMs: call.outcomes.at(-1)?.atMs ?? call.sent.atMs, message }]
  })
}
