/**
 * Measures a quantity repeatedly at several sizes.
 *
 * @module
 */
import * as fit from './fit.js'

/** Describes a measurement. */
export interface Plan {
  readonly role: string
  readonly quantity: string
  readonly unit: string
  /** Unit of the size, such as members or requests. */
  readonly sizeOf: string
  readonly sizes: readonly number[]
  /** Repetitions at each size; defaults to `DEFAULT_REPEATS`. */
  readonly repeats?: number
  readonly sample: (size: number) => number | Promise<number>
}

/** Median and range of the samples at one size. */
export interface SampleSummary {
  readonly size: number
  readonly median: number
  readonly lowest: number
  readonly highest: number
}

/** A measured quantity and the line fitted to its medians. */
export interface Series extends Omit<Plan, 'sample' | 'repeats'> {
  readonly repeats: number
  readonly points: readonly SampleSummary[]
  readonly line: fit.Line
}

/** Default number of repetitions at each size. */
export const DEFAULT_REPEATS = 3

function summarise (size: number, values: readonly number[]): SampleSummary {
  return { size, median: fit.median(values), lowest: Math.min(...values), highest: Math.max(...values) }
}

/**
 * Runs a measurement. Every size is measured once before any is repeated, so that a temporary disturbance doesn't
 * affect a single size only.
 *
 * @example
 * ```ts
 * const series = await measure({ role: 'entry', quantity: 'CPU per request', unit: 'us', sizeOf: 'waiting', sizes: [0, 100, 200, 400], sample })
 * ```
 */
export async function measure (plan: Plan): Promise<Series> {
  const { sample, repeats = DEFAULT_REPEATS, ...metadata } = plan
  const values = new Map<number, number[]>(plan.sizes.map((size) => [size, []]))
  for (let repeat = 0; repeat < repeats; repeat++) {
    for (const size of plan.sizes) values.get(size)?.push(await sample(size))
  }
  const points = plan.sizes.map((size) => summarise(size, values.get(size) ?? []))
  const line = fit.fitLine(points.map((point) => ({ size: point.size, value: point.median })))
  return { ...metadata, repeats, points, line }
}
