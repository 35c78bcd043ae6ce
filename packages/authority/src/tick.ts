/**
 * Periodic checks of an authority.
 *
 * @module
 */
import * as floorMessages from './floor-messages.js'
import * as grants from './grants.js'
import * as holdings from './holdings.js'
import * as outputs from './outputs.js'
import * as overload from './overload.js'
import * as refusals from './refusals.js'
import * as releases from './releases.js'
import type * as context from './context.js'
import type * as slot from './slot.js'

/** Interval of the slower checks, milliseconds. */
const SLOW_CHECK_INTERVAL_MS = 500
/** Time for which a daemon that is not yet the authority keeps slot requests that arrived too early, milliseconds. */
const EARLY_REQUEST_RETENTION_MS = 10_000
/** Interval at which an entry with uncertain slots is sent a collect message, milliseconds. */
const RECOLLECT_INTERVAL_MS = 5_000
/** Age above which a grant can no longer be used, including the time for its messages, milliseconds. */
const UNCERTAIN_AFTER_MS = 3_000
/** Factor by which a slot must exceed its expected time for its release to count as possibly lost. */
const UNCERTAIN_FACTOR = 3
/** Factor by which a running request must exceed its expected time to count as late. */
const OVERDUE_FACTOR = 2

/** Returns whether the grant or the release of a slot may have been lost. */
function isUncertain (state: context.Context, granted: slot.Slot, nowMs: number): boolean {
  const ageMs = nowMs - granted.grantedAtMs
  if (ageMs <= UNCERTAIN_AFTER_MS) return false
  const isUnwanted = granted.revokedAtMs !== undefined || state.targets.isLeaving(granted.target)
  return isUnwanted || ageMs > Math.max(RECOLLECT_INTERVAL_MS, UNCERTAIN_FACTOR * granted.expectedTotalMs)
}

function * expireSlots (state: context.Context, nowMs: number): outputs.Outputs {
  for (const granted of [...state.slots.all()]) {
    const entry = state.entries.get(granted.entry)
    if (entry?.isLive === true) {
      const isDue = isUncertain(state, granted, nowMs) && nowMs - entry.lastCollectAtMs > RECOLLECT_INTERVAL_MS
      if (isDue) yield * holdings.collect(state, granted.entry, nowMs)
      continue
    }
    if (granted.expiresAtMs > nowMs) continue
    releases.freeSlot(state, granted.key, nowMs)
    yield outputs.count('slots.expired')
  }
}

function observeOverdue (state: context.Context, nowMs: number): void {
  for (const granted of state.slots.all()) {
    const factor = (nowMs - granted.grantedAtMs) / Math.max(1, granted.expectedTotalMs)
    if (factor > OVERDUE_FACTOR) state.targets.model(granted.target)?.observeOverdue(factor, nowMs)
  }
}

function * runSlowChecks (state: context.Context, nowMs: number): outputs.Outputs {
  observeOverdue(state, nowMs)
  state.targets.updateSlowdowns(nowMs)
  state.suspects.expire(nowMs)
  state.slots.expire(nowMs)
  yield * expireSlots(state, nowMs)
  yield * overload.shedTails(state, nowMs)
}

function * dropEarlyRequests (state: context.Context, nowMs: number): outputs.Outputs {
  for (const request of [...state.queue.all()]) {
    if (nowMs - request.queuedAtMs < EARLY_REQUEST_RETENTION_MS) continue
    refusals.drop(state, request)
    yield outputs.count('asks.dropped')
  }
}

/** Handles a tick; runs the slower checks when `isSlowDue`. */
export function * handleTick (state: context.Context, isSlowDue: boolean, nowMs: number): outputs.Outputs {
  if (state.recovery.phase() === 'idle') {
    yield * dropEarlyRequests(state, nowMs)
    return
  }
  yield * holdings.settle(state, nowMs)
  yield * floorMessages.enforceFloors(state, nowMs)
  yield * grants.grantWaiting(state, nowMs)
  if (state.recovery.phase() !== 'settled') return
  yield * overload.checkPendingRefusals(state, nowMs)
  yield * overload.checkDeadlines(state, nowMs)
  yield * overload.preemptForHeads(state, nowMs)
  if (isSlowDue) yield * runSlowChecks(state, nowMs)
}

/**
 * Creates a function that returns true once per interval of the slower checks.
 *
 * @example
 * ```ts
 * const isSlowDue = createSlowCheck()
 * isSlowDue(0) // true
 * isSlowDue(100) // false
 * ```
 */
export function createSlowCheck (): (nowMs: number) => boolean {
  let lastMs = -Infinity
  return (nowMs) => {
    if (nowMs - lastMs < SLOW_CHECK_INTERVAL_MS) return false
    lastMs = nowMs
    return true
  }
}
