/**
 * Every call ends in exactly one final outcome.
 *
 * @module
 */
import * as calls from './calls.js'
import type * as history from './history.js'

const PROMISE = 'final-outcome'

/** A daemon that was killed can't answer, so the end of its connection is the final outcome. */
function describe (call: calls.Call, killed: ReadonlySet<string>): string | undefined {
  const { request, daemon } = call.sent
  if (call.finals.length > 1) return `${request} got ${call.finals.length} final outcomes: ${call.finals.map((final) => final.kind).join(', ')}`
  const [final] = call.finals
  if (final === undefined) return `${request} got no final outcome`
  if (final.kind === 'disconnected' && final.by === 'daemon' && !killed.has(daemon)) return `${request} was cut off by ${daemon}, which was not killed`
  return undefined
}

function findKilled (of: history.History): ReadonlySet<string> {
  return new Set(of.facts.flatMap((fact) => fact.kind === 'process-ended' && fact.code !== 0 ? [fact.daemon] : []))
}

/**
 * Finds calls with no or with several final outcomes. Judges histories that ended when nothing was in progress.
 *
 * @example
 * ```ts
 * finalOutcome(history) // [] when the promise was kept
 * ```
 */
export function finalOutcome (of: history.History): readonly history.Violation[] {
  const killed = findKilled(of)
  return calls.calls(of).flatMap((call) => {
    const message = describe(call, killed)
    return message === undefined ? [] : [{ promise: PROMISE, atMs: call.finals.at(-1)?.atMs ?? call.sent.atMs, message }]
  })
}
