/**
 * Checks that every call ends in exactly one final outcome.
 *
 * @module
 */
import * as calls from './calls.js'
import type * as history from './history.js'

const GUARANTEE = 'final-outcome'

/** Describes the violation of a call. A killed daemon can't respond, so its closed connection is a final outcome. */
function describe (call: calls.Call, killed: ReadonlySet<string>): string | undefined {
  const { request, daemon } = call.sent
  if (call.outcomes.length > 1) return `${request} got ${call.outcomes.length} final outcomes: ${call.outcomes.map((outcome) => outcome.kind).join(', ')}`
  const [outcome] = call.outcomes
  if (outcome === undefined) return `${request} got no final outcome`
  if (outcome.kind === 'disconnected' && outcome.by === 'daemon' && !killed.has(daemon)) return `${request} was cut off by ${daemon}, which was not killed`
  return undefined
}

function findKilled (recordedHistory: history.History): ReadonlySet<string> {
  return new Set(recordedHistory.facts.flatMap((fact) => fact.kind === 'process-ended' && fact.code !== 0 ? [fact.daemon] : []))
}

/**
 * Finds calls with no or with several final outcomes. Expects a history that ended when no call was in progress.
 *
 * @example
 * ```ts
 * finalOutcome(history) // [] when the guarantee holds
 * ```
 */
export function finalOutcome (recordedHistory: history.History): readonly history.Violation[] {
  const killed = findKilled(recordedHistory)
  return calls.calls(recordedHistory).flatMap((call) => {
    const message = describe(call, killed)
    return message === undefined ? [] : [{ guarantee: GUARANTEE, atMs: call.outcomes.at(-1)?.atMs ?? call.sent.atMs, message }]
  })
}
