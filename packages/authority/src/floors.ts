/**
 * Floors: for a time, no tier less important than the floor's may start or go on in a pool.
 *
 * A floor is raised in this pool by its own sheds and by the authorities of other pools, and in other
 * pools on behalf of this one.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** A floor that holds in this pool. */
export interface ActiveFloor {
  readonly tier: protocol.Rank
  readonly untilMs: number
  /** Number of requests below the floor that the holder was last told of; undefined when it was told nothing. */
  readonly reportedRunning: number | undefined
}

/** A floor that this authority raised in another pool. */
export interface RaisedFloor {
  readonly tier: protocol.Rank
  readonly sentAtMs: number
  /** The most important tier that needed the floor since it was last sent. */
  readonly neededTier: protocol.Rank
  readonly isClear: boolean
}

/** Floors that concern one pool. */
export interface Floors {
  /** The lowest tier that may start in this pool now. */
  readonly tier: (nowMs: number) => protocol.Rank
  /** Raises this pool's own floor for a time. */
  readonly raiseLocal: (tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accept: (from: protocol.Incarnation, tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accepted: (nowMs: number) => readonly (readonly [from: protocol.Incarnation, floor: ActiveFloor])[]
  readonly recordReport: (from: protocol.Incarnation, running: number) => void
  /** A tier needs a floor in another pool; gives the floor to send now, if any, and records that it is sent. */
  readonly raiseRemote: (pool: string, tier: protocol.Rank, nowMs: number) => protocol.Rank | undefined
  /** The authority of another pool says that nothing below the floor runs there, or how much does. */
  readonly recordReached: (pool: string, tier: protocol.Rank, running: number, nowMs: number) => boolean
  /** Whether nothing less important than `tier` runs in the pool, for certain. */
  readonly isClear: (pool: string, tier: protocol.Rank, nowMs: number) => boolean
  /** Another daemon became the pool's authority. */
  readonly forgetPool: (pool: string) => void
}

/** Time for which a floor holds, milliseconds. */
export const FLOOR_HOLD_MS = 4_000
/** Interval at which a floor that is still needed is sent again, milliseconds. */
const RAISE_INTERVAL_MS = 1_000
/** Part of the hold that is left unused for clocks that run at different rates, milliseconds. */
const CLOCK_DRIFT_MARGIN_MS = 500
/** Silence after a floor has run out, so that a late answer to it is not taken for one to the next, milliseconds. */
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
 * floors.hold(1, 1_000, nowMs)
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
      raised.set(pool, { tier: neededTier, sentAtMs: nowMs, neededTier: Infinity, isClear: active?.tier === neededTier && active.isClear })
      return neededTier
    },
    recordReached (pool, tier, running, nowMs) {
      const existing = raised.get(pool)
      if (existing === undefined || existing.tier !== tier || !isActive(existing, nowMs)) return false
      raised.set(pool, { ...existing, isClear: running === 0 })
      return true
    },
    isClear (pool, tier, nowMs) {
      const existing = raised.get(pool)
      return existing !== undefined && existing.isClear && existing.tier <= tier && isActive(existing, nowMs)
    },
    forgetPool: (pool) => raised.delete(pool)
  }
}
