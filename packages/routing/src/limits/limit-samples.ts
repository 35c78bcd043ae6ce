/**
 * Samples of how long a target takes, with what it had in flight meanwhile.
 *
 * @module
 */
import type * as concurrencyCurve from './concurrency-curve.js'

/** What is known of a target at one moment. */
export interface TargetState {
  /** Requests in flight from all daemons; undefined if other cells use the target and it has not reported recently. */
  readonly inFlight: number | undefined
  /** Integral of the requests in flight over time, if they are known at every time. */
  readonly inFlightMs: number | undefined
  readonly atMs: number
  /** How long work takes there at the moment, relative to the usual time. */
  readonly workFactor: number
}

/** Weight of the time between two events: those of one stream are not independent of each other. */
export const STEP_WEIGHT = 0.2

/** Integral of the requests in flight over time. */
export interface OccupancySum {
  readonly value: number
  /** Counts what was in flight up to a time, and what is from then on; undefined if that is unknown. */
  readonly advance: (inFlight: number | undefined, nowMs: number) => void
}

/** Creates the integral at 0. */
export function createOccupancySum (): OccupancySum {
  let value = 0
  let inFlight = 0
  let atMs = 0
  return {
    get value () { return value },
    advance: (next, nowMs) => {
      value += inFlight * Math.max(0, nowMs - atMs)
      atMs = nowMs
      inFlight = next ?? inFlight
    }
  }
}

function meanInFlight (begun: TargetState, ended: TargetState): number | undefined {
  if (begun.inFlightMs !== undefined && ended.inFlightMs !== undefined && ended.atMs > begun.atMs) return (ended.inFlightMs - begun.inFlightMs) / (ended.atMs - begun.atMs)
  const known = [begun.inFlight, ended.inFlight].filter((inFlight) => inFlight !== undefined)
  return known.length === 0 ? undefined : known.reduce((sum, each) => sum + each, 0) / known.length
}

/**
 * Returns the sample of a request that took a time between two moments; undefined if what was in flight is unknown.
 *
 * @example
 * ```ts
 * sampleOf(94, { inFlight: 4, workFactor: 1 }, { inFlight: 6, workFactor: 1 }) // 94 ms with 5 in flight
 * ```
 */
export function sampleOf (elapsedMs: number, begun: TargetState, ended: TargetState): concurrencyCurve.Sample | undefined {
  const inFlight = meanInFlight(begun, ended)
  if (inFlight === undefined || elapsedMs <= 0) return undefined
  return { inFlight, time: elapsedMs * 2 / (begun.workFactor + ended.workFactor), weight: 1 }
}
