/**
 * The permission of a daemon to send requests to a version, which the deciding daemon renews and which expires.
 *
 * @module
 */
import * as decision from './decision.js'

/** The state of a roll-out as the deciding daemon has last confirmed it. */
export interface Grant {
  /** Number of the order; a later order has a greater one. */
  readonly order: number
  readonly to: string
  /** Rises with each renewal. */
  readonly sequence: number
  readonly stage: decision.Stage
  readonly isHeld: boolean
  /** Time for which it still holds, ms. The final stages always hold. */
  readonly remainingMs: number
}

/** The latest grant of a service at one daemon. */
export interface GrantHolder {
  /** Applies a grant unless it is older; returns whether it is new. */
  readonly apply: (grant: Grant, nowMs: number) => boolean
  /** Returns the grant with what is left of it, for reports; undefined if none was received. */
  readonly latest: (nowMs: number) => Grant | undefined
  /** Returns whether the latest grant is in force. */
  readonly isInForce: (nowMs: number) => boolean
}

/**
 * Time between two calls from which the process counts as having been suspended, ms. Messages that it reads then may have waited
 * as long, so together with this time a permission still ends within the time for a roll-back.
 */
const SUSPENDED_MS = 1_000

/** Time in which messages that waited during a suspension are read, ms. */
const BACKLOG_MS = 500

interface HeldGrant {
  readonly grant: Grant
  readonly untilMs: number
}

function isLater (grant: Grant, other: Grant): boolean {
  return grant.order === other.order ? grant.sequence > other.sequence : grant.order > other.order
}

/**
 * Creates the holder of a daemon that has received no grant.
 *
 * @example
 * ```ts
 * holder.apply({ order: 41, to: 'v2', sequence: 3, stage: 'trial', isHeld: false, remainingMs: 2_600 }, nowMs)
 * if (holder.isInForce(nowMs)) send()
 * ```
 */
export function createGrantHolder (): GrantHolder {
  let held: HeldGrant | undefined
  let lastMs: number | undefined
  /** Until then, grants may be older than they look. */
  let backlogUntilMs = -Infinity

  function noteTime (nowMs: number): void {
    if (lastMs !== undefined && nowMs - lastMs > SUSPENDED_MS) backlogUntilMs = nowMs + BACKLOG_MS
    lastMs = nowMs
  }

  function apply (grant: Grant, nowMs: number): boolean {
    noteTime(nowMs)
    if (held !== undefined && !isLater(grant, held.grant)) return false
    const mayBeOld = nowMs < backlogUntilMs && !decision.isFinal(grant.stage)
    held = { grant, untilMs: mayBeOld ? -Infinity : nowMs + grant.remainingMs }
    return true
  }

  function isInForce (nowMs: number): boolean {
    noteTime(nowMs)
    return held !== undefined && (decision.isFinal(held.grant.stage) || nowMs < held.untilMs)
  }

  return {
    apply,
    isInForce,
    latest: (nowMs) => {
      noteTime(nowMs)
      return held === undefined ? undefined : { ...held.grant, remainingMs: Math.max(0, Math.round(held.untilMs - nowMs)) }
    }
  }
}
