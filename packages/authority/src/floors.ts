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
export interface HeldFloor {
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
  readonly hold: (tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accept: (from: protocol.Incarnation, tier: protocol.Rank, holdMs: number, nowMs: number) => void
  readonly accepted: (nowMs: number) => readonly (readonly [from: protocol.Incarnation, floor: HeldFloor])[]
  readonly recordReport: (from: protocol.Incarnation, running: number) => void
  /** A tier needs a floor in another pool; gives the floor to send now, if any, and records that it is sent. */
  readonly raise: (pool: string, tier: protocol.Rank, nowMs: number) => protocol.Rank | undefined
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
const HOLD_MARGIN_MS = 500
/** Silence after a floor has run out, so that a late answer to it is not taken for one to the next, milliseconds. */
const QUIET_TIME_MS = 2_000

function isHeld (floor: RaisedFloor, nowMs: number): boolean {
  return nowMs < floor.sentAtMs + FLOOR_HOLD_MS - HOLD_MARGIN_MS
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
  const accepted = new Map<protocol.Incarnation, HeldFloor>()
  const raised = new Map<string, RaisedFloor>()
  let own: HeldFloor | undefined

  function listAccepted (nowMs: number): readonly (readonly [protocol.Incarnation, HeldFloor])[] {
    for (const [from, floor] of accepted) if (floor.untilMs <= nowMs) accepted.delete(from)
    return [...accepted]
  }

  return {
    tier (nowMs) {
      let lowest = own !== undefined && own.untilMs > nowMs ? own.tier : Infinity
      for (const floor of accepted.values()) if (floor.untilMs > nowMs) lowest = Math.min(lowest, floor.tier)
      return lowest
    },
    hold (tier, holdMs, nowMs) {
      const current = own !== undefined && own.untilMs > nowMs ? own : undefined
      if (current !== undefined && tier > current.tier) return
      const untilMs = Math.max(nowMs + holdMs, current?.tier === tier ? current.untilMs : 0)
      own = { tier, untilMs, reportedRunning: undefined }
    },
    accept (from, tier, holdMs, nowMs) {
      accepted.set(from, { tier, untilMs: nowMs + holdMs, reportedRunning: undefined })
    },
    accepted: listAccepted,
    recordReport (from, running) {
      const floor = accepted.get(from)
      if (floor !== undefined) accepted.set(from, { ...floor, reportedRunning: running })
    },
    raise (pool, tier, nowMs) {
      const known = raised.get(pool)
      if (known !== undefined && !isHeld(known, nowMs)) {
        if (nowMs < known.sentAtMs + FLOOR_HOLD_MS + QUIET_TIME_MS) return undefined
        raised.delete(pool)
      }
      const held = raised.get(pool)
      const neededTier = Math.min(held?.neededTier ?? Infinity, tier)
      if (held !== undefined && held.tier <= tier && nowMs < held.sentAtMs + RAISE_INTERVAL_MS) {
        raised.set(pool, { ...held, neededTier })
        return undefined
      }
      raised.set(pool, { tier: neededTier, sentAtMs: nowMs, neededTier: Infinity, isClear: held?.tier === neededTier && held.isClear })
      return neededTier
    },
    recordReached (pool, tier, running, nowMs) {
      const known = raised.get(pool)
      if (known === undefined || known.tier !== tier || !isHeld(known, nowMs)) return false
      raised.set(pool, { ...known, isClear: running === 0 })
      return true
    },
    isClear (pool, tier, nowMs) {
      const known = raised.get(pool)
      return known !== undefined && known.isClear && known.tier <= tier && isHeld(known, nowMs)
    },
    forgetPool: (pool) => raised.delete(pool)
  }
}
