/**
 * Paces what a cell admits of a cap that several cells share.
 *
 * Cells learn of each other's use once a second or later. If each admitted whatever the cap seems to have left, all of
 * them would admit and refuse at the same moments. Instead a cell admits at its own rate: its part of the cap by the
 * tokens that its callers have asked for recently, of those asked for everywhere. What callers ask for changes slowly and
 * does not depend on what is admitted, so the parts of all cells add up to the cap. A share of what the cap has left,
 * or of what was used too much, corrects the rate.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Time constant of the averages of demand, ms: several intervals of the reports between cells. */
const DEMAND_AVERAGING_MS = 4_000

/** Time in which what the cap has left is given out, in intervals of the reports between cells: less would oscillate, as use is known an interval late. */
const CORRECTION_INTERVALS = 2

/** Minimum of that time, ms. */
const MIN_CORRECTION_MS = 2_000

/** Tokens that a cell may save up when the cap has nothing left, as the time in which its rate yields them, ms. */
const MIN_SAVED_MS = 400

/**
 * Demand that is assumed at all cells together in addition to the measured one, as the time in which the cap yields it:
 * without it, each cell would take the whole cap for its own until the first reports of the others arrive.
 */
const ASSUMED_DEMAND_MS = 250

/** Minimum part of what the cap has left that a cell may use: with the equal part of one of 22 cells, three large requests at a time were refused below the cap. */
const MIN_LEVEL_SHARE = 0.1

/** Demand and pace of one cell for one organisation. */
export interface Pace {
  /** Tokens that callers of the own cell and of the other cells have asked for recently, each with less weight the older it is. */
  readonly cellDemand: number
  readonly fleetDemand: number
  /** The cell's demand as late as the other cells' is known, so that a rise everywhere does not look like a rise here. */
  readonly delayedCellDemand: number
  /** Tokens that the cell may admit now; negative after a request that was larger than what was left. */
  readonly level: number
  readonly atMs: number
}

/** The cap and the fleet that share it. */
export interface Conditions {
  /** Rate that the reachable daemons may use together. */
  readonly tokensPerS: number
  /** Tokens that the cap has left, as far as reported; negative if too many were used. */
  readonly levelTokens: number
  readonly cells: number
  /** Interval of the reports between cells, ms. */
  readonly intervalMs: number
}

/** Returns the pace of a cell without demand. */
export function startPace (level: number, nowMs: number): Pace {
  return { cellDemand: 0, fleetDemand: 0, delayedCellDemand: 0, level, atMs: nowMs }
}

function shareOf ({ delayedCellDemand, fleetDemand }: Pace, { cells, tokensPerS }: Conditions): number {
  const assumed = Math.max(1, tokensPerS * ASSUMED_DEMAND_MS / MS_PER_S)
  return (delayedCellDemand + assumed / cells) / (delayedCellDemand + fleetDemand + assumed)
}

/** Returns the part of what the cap has left that a cell may use; at least an equal one, as demand may move between cells, and room for a few requests at a time. */
function levelShareOf (pace: Pace, conditions: Conditions): number {
  return Math.max(shareOf(pace, conditions), 1 / conditions.cells, MIN_LEVEL_SHARE)
}

/**
 * Returns the rate at which the cell may admit, tokens/s.
 *
 * @example
 * ```ts
 * rateOf(pace, { tokensPerS: 118_000, levelTokens: 0, cells: 8, intervalMs: 1_000 })
 * ```
 */
export function rateOf (pace: Pace, conditions: Conditions): number {
  const { tokensPerS, levelTokens, intervalMs } = conditions
  const correctionPerS = levelTokens * MS_PER_S / Math.max(MIN_CORRECTION_MS, CORRECTION_INTERVALS * intervalMs)
  const correctionShare = correctionPerS > 0 ? levelShareOf(pace, conditions) : shareOf(pace, conditions)
  return Math.max(0, shareOf(pace, conditions) * tokensPerS + correctionShare * correctionPerS)
}

/** Returns the pace at a later time. */
export function advance (pace: Pace, conditions: Conditions, nowMs: number): Pace {
  const elapsedMs = Math.max(0, nowMs - pace.atMs)
  const weight = Math.exp(-elapsedMs / DEMAND_AVERAGING_MS)
  const savedTokens = Math.max(levelShareOf(pace, conditions) * Math.max(0, conditions.levelTokens), shareOf(pace, conditions) * conditions.tokensPerS * MIN_SAVED_MS / MS_PER_S)
  return {
    cellDemand: pace.cellDemand * weight,
    fleetDemand: pace.fleetDemand * weight,
    delayedCellDemand: pace.cellDemand + (pace.delayedCellDemand - pace.cellDemand) * Math.exp(-elapsedMs / Math.max(1, conditions.intervalMs)),
    level: Math.min(savedTokens, pace.level + rateOf(pace, conditions) * elapsedMs / MS_PER_S),
    atMs: nowMs
  }
}
