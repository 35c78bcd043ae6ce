/**
 * Handles load reports of targets.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as releases from './releases.js'
import type * as context from './context.js'
import type * as event from './event.js'

/** Minimum age of a slot at the time of a report, for the report of an idle target to free it, milliseconds. */
const MIN_SLOT_AGE_MS = 5_000

/** Frees slots of vanished entries on a target that reported no requests. */
function * freeVanished (state: context.Context, report: event.LoadReport, nowMs: number): outputs.Outputs {
  for (const granted of state.slots.onTarget(report.target)) {
    const isLive = state.entries.get(granted.entry)?.isLive === true
    if (isLive || granted.grantedAtMs > nowMs - report.ageMs - MIN_SLOT_AGE_MS) continue
    releases.freeSlot(state, granted.key, nowMs)
    yield outputs.count('slots.vanished')
  }
}

/** Handles one load report. */
export function * handleLoad (state: context.Context, report: event.LoadReport, nowMs: number): outputs.Outputs {
  state.targets.model(report.target)?.report(report, nowMs)
  if (report.runningRequests === 0 && report.queuedRequests === 0) yield * freeVanished(state, report, nowMs)
}
