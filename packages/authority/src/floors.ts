/**
 * Priority floors: while a floor is active in a pool, no request of a less important tier may start or go on there.
 *
 * This authority raises floors in its own pool and in other pools before it refuses requests; the authorities of
 * other pools raise floors in this one.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** A floor in this pool. */
export interface ActiveFloor {
  readonly tier: protocol.Rank
  readonly untilMs: number
  /** Number of requests below the floor in the last report to the authority that raised it; undefined before the first report. */
  readonly reportedRunning: number | undefined
}

/** A floor that this authority raised in another pool. */
export interface RaisedFloor {
  readonly tier: protocol.Rank
  readonly sentAtMs: number
  /** The most important tier that has needed the floor since it was last sent. */
  readonly neededTier: protocol.Rank
  readonly isReached: boolean
}

/** Floors in one pool, and those that its authority raised in other pools. */
export interface Floors {
  /** The least important tier that may start in this pool now. */
  readonly tier: (nowMs: number) => protocol.Rank
  /** Raises the floor that this authority sets in its own pool, for `holdMs`. */
  readonly raiseLocal: (tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accept: (from: protocol.Incarnation, tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accepted: (nowMs: number) => readonly (readonly [from: protocol.Incarnation, floor: ActiveFloor])[]
  readonly recordReport: (from: protocol.Incarnation, running: number) => void
  /** Requests a floor in another pool for a tier; returns the floor to send now, if any, and records it as sent. */
  readonly raiseRemote: (pool: string, tier: protocol.Rank, nowMs: number) => protocol.Rank | undefined
  /** Records how many requests still run below a floor raised in another pool; returns false when no such floor is active. */
  readonly recordReached: (pool: string, tier: protocol.Rank, running: number, nowMs: number) => boolean
  /** Whether it is certain that no request less important than `tier` runs in the pool. */
  readonly isClear: (pool: string, tier: protocol.Rank, nowMs: number) => boolean
  /** Discards the floor raised in a pool whose authority has changed. */
  readonly forgetPool: (pool: string) => void
}

/** Time for which a floor raised in another pool is active, milliseconds. */
export const FLOOR_HOLD_MS = 4_000
/** Interval at which a floor that is still needed is resent, milliseconds. */
const RAISE_INTERVAL_MS = 1_000
/** End of a floor's active time that is not relied on, because clocks run at different rates, milliseconds. */
const CLOCK_DRIFT_MARGIN_MS = 500
/** Delay after a floor has expired before the next is raised, so that a late reply to the old floor is not mistaken for one to the new, milliseconds. */
const RERAISE_DELAY_MS = 2_000

function isActive (floor: RaisedFloor, nowMs: number): boolean {
  return nowMs < floor.sentAtMs + FLOOR_HOLD_MS - CLOCK_DRIFT_MARGIN_MS
}

/**
 * Creates an empty set of floors.
 *
 * @example
 * ```ts
 * const floors = createFloors()
 * floors.tier(nowMs) // Infinity
 * floors.raiseLocal(1, 1_000, nowMs)
 * floors.tier(nowMs) // 1
 * ```
 */
export function createFloors (): Floors {
  const accepted = new Map<protocol.Incarnation, ActiveFloor>()
  const raised = new Map<string, RaisedFloor>()
  let local: ActiveFloor | undefined

  function listAccepted (nowMs: number): readonly (readonly [protocol.Incarnation, ActiveFloor])[] {
    for (const [from, floor] of accepted) if (floor.untilMs <= nowMs) accepted.delete(from)
    return [...accepted]
  }

  return {
    tier (nowMs) {
      let lowest = local !== undefined && local.untilMs > nowMs ? local.tier : Infinity
      for (const floor of accepted.values()) if (floor.untilMs > nowMs) lowest = Math.min(lowest, floor.tier)
      return lowest
    },
    raiseLocal (tier, holdMs, nowMs) {
      const current = local !== undefined && local.untilMs > nowMs ? local : undefined
      if (current !== undefined && tier > current.tier) return
      const untilMs = Math.max(nowMs + holdMs, current?.tier === tier ? current.untilMs : 0)
      local = { tier, untilMs, reportedRunning: undefined }
    },
    accept (from, tier, holdMs, nowMs) {
      accepted.set(from, { tier, untilMs: nowMs + holdMs, reportedRunning: undefined })
    },
    accepted: listAccepted,
    recordReport (from, running) {
      const floor = accepted.get(from)
      if (floor !== undefined) accepted.set(from, { ...floor, reportedRunning: running })
    },
    raiseRemote (pool, tier, nowMs) {
      const existing = raised.get(pool)
      if (existing !== undefined && !isActive(existing, nowMs)) {
        if (nowMs < existing.sentAtMs + FLOOR_HOLD_MS + RERAISE_DELAY_MS) return undefined
        raised.delete(pool)
      }
      const active = raised.get(pool)
      const neededTier = Math.min(active?.neededTier ?? Infinity, tier)
      if (active !== undefined && active.tier <= tier && nowMs < active.sentAtMs + RAISE_INTERVAL_MS) {
        raised.set(pool, { ...active, neededTier })
        return undefined
      }
      raised.set(pool, { tier: neededTier, sentAtMs: nowMs, neededTier: Infinity, isReached: active?.tier === neededTier && active.isReached })
      return neededTier
    },
    recordReached (pool, tier, running, nowMs) {
      const existing = raised.get(pool)
      if (existing === undefined || existing.tier !== tier || !isActive(existing, nowMs)) return false
      raised.set(pool, { ...existing, isReached: running === 0 })
      return true
    },
    isClear (pool, tier, nowMs) {
      const existing = raised.get(pool)
      return existing !== undefined && existing.isReached && existing.tier <= tier && isActive(existing, nowMs)
    },
    forgetPool: (pool) => raised.delete(pool)
  }
}
