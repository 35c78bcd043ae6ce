/**
 * Groups the facts of a history by run on a target.
 *
 * @module
 */
import type * as history from './history.js'

/** One run of a request on a target. */
export interface Run {
  readonly started: history.RunStarted
  /** Undefined if the run had not ended at the end of the history. */
  readonly ended: history.RunEnded | undefined
}

/**
 * Groups the facts that targets observed by run.
 *
 * @example
 * ```ts
 * runs(history)[0]?.ended?.outcome // 'finished'
 * ```
 */
export function runs (recordedHistory: history.History): readonly Run[] {
  const byRun = new Map<number, Run>()
  for (const fact of recordedHistory.facts) {
    if (fact.kind === 'run-started') byRun.set(fact.run, { started: fact, ended: undefined })
    if (fact.kind !== 'run-ended') continue
    const run = byRun.get(fact.run)
    if (run !== undefined) byRun.set(fact.run, { ...run, ended: fact })
  }
  return [...byRun.values()]
}

/**
 * Groups runs by the name of their request.
 *
 * @example
 * ```ts
 * runsByRequest(history).get('reserve-7')?.length // 1
 * ```
 */
export function runsByRequest (recordedHistory: history.History): ReadonlyMap<string, readonly Run[]> {
  const byRequest = new Map<string, readonly Run[]>()
  for (const run of runs(recordedHistory)) {
    const { request } = run.started
    byRequest.set(request, [...byRequest.get(request) ?? [], run])
  }
  return byRequest
}
