/**
 * Logs when a daemon loses contact with half of the fleet, which restricts it to its own share, and when it regains it.
 *
 * @module
 */
import type * as eventLog from './event-log.js'

/**
 * Returns a function that is called with the numbers of live and of all members.
 *
 * @example
 * ```ts
 * const logReach = createReachLog(log)
 * logReach(2, 9)
 * ```
 */
export function createReachLog (log: Pick<eventLog.EventLog, 'change'>): (live: number, members: number) => void {
  let isIsolated = false
  return (live, members) => {
    const wasIsolated = isIsolated
    isIsolated = live * 2 <= members
    if (isIsolated !== wasIsolated) log.change(isIsolated ? 'peers lost' : 'peers regained', { live, members })
  }
}
