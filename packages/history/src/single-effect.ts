/**
 * A non-idempotent request runs at most once, and nothing stops it once it runs.
 *
 * @module
 */
import type * as history from './history.js'
import * as runs from './runs.js'

const PROMISE = 'single-effect'

function judge (request: string, all: readonly runs.Run[]): readonly history.Violation[] {
  const repeated = all.slice(1).map(({ started }) => ({
    promise: PROMISE,
    atMs: started.atMs,
    message: `non-idempotent ${request} ran again on ${started.target}`
  }))
  const stopped = all.flatMap(({ started, ended }) => ended?.outcome !== 'cancelled'
    ? []
    : [{ promise: PROMISE, atMs: ended.atMs, message: `non-idempotent ${request} was cancelled on ${started.target}` }])
  return [...repeated, ...stopped]
}

/**
 * Finds non-idempotent requests that ran more than once or were cancelled while they ran.
 *
 * @example
 * ```ts
 * singleEffect(history) // [] when the promise was kept
 * ```
 */
export function singleEffect (of: history.History): readonly history.Violation[] {
  const nonIdempotent = [...runs.runsByRequest(of)].filter(([, all]) => all.some((run) => run.started.nonIdempotent))
  return nonIdempotent.flatMap(([request, all]) => judge(request, all))
}
