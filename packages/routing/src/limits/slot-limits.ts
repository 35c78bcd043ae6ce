/**
 * Limits how many requests a target may have in flight: from this daemon, from its cell and from all daemons.
 *
 * @module
 */
import type * as concurrencyLimit from './concurrency-limit.js'
import type * as rateShare from './rate-share.js'
import * as slotShare from './slot-share.js'

/** What the limits of a target depend on. */
export interface LimitedTarget {
  readonly target: { readonly id: string, readonly slots: number }
  /** Share of its slots that this daemon's cell may use. */
  readonly share: number
  /** Share of them if every cell that uses the target takes only its part. */
  readonly part: number
  readonly limit: rateShare.RateLimit | undefined
  /** Learned limit of the requests in flight, which applies to adaptive services. */
  readonly concurrency: Pick<concurrencyLimit.ConcurrencyLimit, 'current' | 'allowedNow'>
  readonly ownRequestIds: readonly number[]
  readonly peerReportedOccupancy: (nowMs: number) => number
  readonly targetReportedOccupancy: (nowMs: number) => number
}

/** The state of the pool and of the fleet that the limits depend on. */
export interface Conditions {
  readonly isEngine: boolean
  /** Whether the targets fall over when they have to reject many requests. */
  readonly isBrittle: boolean
  /** Whether the limits of the targets are learned. */
  readonly learnsLimits: boolean
  readonly reachableDaemons: number
  readonly daemons: number
  readonly cellPosition: rateShare.RingPosition
  /** Mean time that a request takes at a target, ms. */
  readonly serviceTimeMs: number
}

/** Requests queued at an engine, as a share of its slots; they keep it busy until the report of a free slot arrives. */
const ENGINE_QUEUE_SHARE = 0.17

/** Factor on a daemon's fair share of a target's slots while at most half of the daemons are reachable. */
const ISOLATED_SHARE_FACTOR = 1.5

/** Minimum number of requests that a daemon, or its cell, may have at a target. */
const MIN_CONCURRENCY_LIMIT = 2

const MS_PER_S = 1_000

/** Returns the maximum number of requests at a target from all daemons. */
export function declaredBound ({ target: { slots } }: Pick<LimitedTarget, 'target'>, { isEngine }: Pick<Conditions, 'isEngine'>): number {
  return isEngine ? slots + Math.floor(ENGINE_QUEUE_SHARE * slots) : slots
}

/** Returns the maximum number of requests at a target from this daemon and the peers whose reports it receives. */
function cellConcurrencyLimit (target: LimitedTarget, conditions: Conditions): number {
  const { slots } = target.target
  const { reachableDaemons, daemons } = conditions
  if (reachableDaemons * 2 <= daemons) return Math.min(slots, Math.max(MIN_CONCURRENCY_LIMIT, Math.ceil(ISOLATED_SHARE_FACTOR * slots * reachableDaemons / daemons)))
  return target.share === 1 ? declaredBound(target, conditions) : Math.max(MIN_CONCURRENCY_LIMIT, Math.round(target.share * declaredBound(target, conditions)))
}

function ownSlots ({ target, share }: LimitedTarget, { cellPosition }: Conditions): number {
  return slotShare.ownSlots({ target: target.id, slots: share * target.slots }, cellPosition)
}

/** Returns the number of requests that this daemon may send to a target whose limit is learned. */
function learnedFreeSlots (target: LimitedTarget, conditions: Conditions, nowMs: number): number {
  const bound = declaredBound(target, conditions)
  const learned = target.concurrency.current(nowMs)
  // A daemon that is cut off doesn't know what the others have there and learn, so it uses its own part of the declared bound.
  if (learned === undefined || conditions.reachableDaemons * 2 <= conditions.daemons) {
    const own = target.ownRequestIds.length
    return Math.max(0, target.concurrency.allowedNow(target.part * bound / conditions.cellPosition.members, own, nowMs) - own)
  }
  const occupied = target.peerReportedOccupancy(nowMs)
  const available = target.concurrency.allowedNow(Math.min(bound, learned.allowance), occupied, nowMs) - occupied
  return Math.max(0, Math.min(available, Math.ceil(Math.min(bound, learned.total)) - target.targetReportedOccupancy(nowMs)))
}

/**
 * Returns the number of requests that this daemon may send to a target now, as far as its slots decide.
 *
 * @example
 * ```ts
 * const freeSlots = Math.min(allowedSends, freeSlotsAt(record, conditions, nowMs))
 * ```
 */
export function freeSlotsAt (target: LimitedTarget, conditions: Conditions, nowMs: number): number {
  if (conditions.isBrittle) return Math.max(0, ownSlots(target, conditions) - target.ownRequestIds.length)
  if (conditions.learnsLimits) return learnedFreeSlots(target, conditions, nowMs)
  const availableByReports = cellConcurrencyLimit(target, conditions) - target.peerReportedOccupancy(nowMs)
  return Math.max(0, Math.min(availableByReports, declaredBound(target, conditions) - target.targetReportedOccupancy(nowMs)))
}

/**
 * Returns the slots that a target fills with the requests that its rate allows.
 *
 * @example
 * ```ts
 * const slots = records.reduce((sum, record) => sum + usableSlots(record, conditions, nowMs), 0)
 * ```
 */
export function usableSlots (target: LimitedTarget, conditions: Conditions, nowMs: number): number {
  if (conditions.isBrittle) return ownSlots(target, conditions)
  const learned = conditions.learnsLimits ? target.concurrency.current(nowMs) : undefined
  return target.share * Math.min(target.target.slots, learned?.total ?? Infinity, (target.limit?.requestsPerS ?? Infinity) * conditions.serviceTimeMs / MS_PER_S)
}
