/**
 * Logs and counts when a cap is lowered, when the lower one binds, and when a cell begins and ceases to pace an organisation.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'

const MESSAGES: Readonly<Record<routing.tokenCap.Change['kind'], string>> = { lowered: 'cap lowered', binding: 'lower cap in force', paced: 'cap paced', unpaced: 'cap no longer paced' }

/**
 * Returns a function that is called with each change.
 *
 * @example
 * ```ts
 * const caps = createTokenCaps(options, createCapLog(log, metrics))
 * ```
 */
export function createCapLog (log: Pick<eventLog.EventLog, 'change'>, metrics: Pick<metricsModule.Metrics, 'count'>): (change: routing.tokenCap.Change) => void {
  return ({ kind, ...figures }) => {
    log.change(MESSAGES[kind], figures)
    metrics.count('cap_changes_total', { kind })
  }
}
