/**
 * Checks that a target that is leaving receives no new work after `LEAVING_LIMIT_MS`.
 *
 * @module
 */
import type * as history from './history.js'

const GUARANTEE = 'leaving-target'

/** Time from the first sign that a target is leaving until no new request may reach it, milliseconds. */
export const LEAVING_LIMIT_MS = 3_000

/**
 * Finds runs that started on a leaving target after the limit. A repeated sign does not extend the limit.
 *
 * @example
 * ```ts
 * leavingTarget(history) // [] when the guarantee holds
 * ```
 */
export function leavingTarget (recordedHistory: history.History): readonly history.Violation[] {
  const leavingSinceMs = new Map<string, number>()
  const violations: history.Violation[] = []
  for (const fact of recordedHistory.facts) {
    if (fact.kind === 'target-leaving') leavingSinceMs.set(fact.target, leavingSinceMs.get(fact.target) ?? fact.atMs)
    if (fact.kind === 'target-returned') leavingSinceMs.delete(fact.target)
    if (fact.kind !== 'run-started') continue
    const lateMs = fact.atMs - (leavingSinceMs.get(fact.target) ?? Infinity)
    if (lateMs <= LEAVING_LIMIT_MS) continue
    violations.push({ guarantee: GUARANTEE, atMs: fact.atMs, message: `${fact.request} reached ${fact.target} ${lateMs} ms after it began to leave` })
  }
  return violations
}
