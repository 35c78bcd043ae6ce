/**
 * Checks that a non-idempotent request runs at most once, and that only the death of its daemon cancels it while it runs.
 *
 * @module
 */
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'single-effect'

function findRepeated (request: string, requestRuns: readonly runs.Run[]): readonly history.Violation[] {
  return requestRuns.slice(1).map(({ started }) => ({
    guarantee: GUARANTEE,
    atMs: started.atMs,
    message: `non-idempotent ${request} ran again on ${started.target}`
  }))
}

function findCancelled (request: string, requestRuns: readonly runs.Run[]): readonly history.Violation[] {
  return requestRuns.flatMap(({ started, ended }) => ended?.outcome !== 'cancelled'
    ? []
    : [{ guarantee: GUARANTEE, atMs: ended.atMs, message: `non-idempotent ${request} was cancelled on ${started.target}` }])
}

/** Finds requests that were sent to a daemon that was killed at some time, which closes its connections to targets. */
function findOrphaned (recordedHistory: history.History): ReadonlySet<string> {
  const killed = new Set(recordedHistory.facts.flatMap((fact) => fact.kind === 'process-ended' && fact.code !== 0 ? [fact.daemon] : []))
  return new Set(recordedHistory.facts.flatMap((fact) => fact.kind === 'sent' && killed.has(fact.daemon) ? [fact.request] : []))
}

/**
 * Finds non-idempotent requests that ran more than once or were cancelled while they ran.
 *
 * @example
 * ```ts
 * singleEffect(history) // [] when the guarantee holds
 * ```
 */
export function singleEffect (recordedHistory: history.History): readonly history.Violation[] {
  const orphaned = findOrphaned(recordedHistory)
  const nonIdempotent = [...runs.runsByRequest(recordedHistory)].filter(([, requestRuns]) => requestRuns.some((run) => run.started.nonIdempotent))
  return nonIdempotent.flatMap(([request, requestRuns]) => [
    ...findRepeated(request, requestRuns),
    ...orphaned.has(request) ? [] : findCancelled(request, requestRuns)
  ])
}
