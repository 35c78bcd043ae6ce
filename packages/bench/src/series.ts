/**
 * Measures one quantity at several sizes, several times.
 *
 * @module
 */
import * as fit from './fit.js'

/** What to measure. */
export interface Plan {
  readonly role: string
  readonly quantity: string
  readonly unit: string
  /** What the size counts. */
  readonly sizeOf: string
  readonly sizes: readonly number[]
  /** Repetitions at each size; `DEFAULT_REPEATS` when left out. */
  readonly repeats?: number
  readonly sample: (size: number) => number | Promise<number>
}

/** All samples at one size. */
export interface Sampled {
  readonly size: number
  readonly median: number
  readonly lowest: number
  readonly highest: number
}

/** A measured quantity with the line through its medians. */
export interface Series extends Omit<Plan, 'sample' | 'repeats'> {
  readonly repeats: number
  readonly points: readonly Sampled[]
  readonly line: fit.Line
}

/** Repetitions at each size. */
export const DEFAULT_REPEATS = 3

function summarise (size: number, values: readonly number[]): Sampled {
  return { size, median: fit.median(values), lowest: Math.min(...values), highest: Math.max(...values) }
}

/**
 * Measures a plan. All sizes are measured once before any is measured again, so that a disturbance of
 * the machine does not fall on one size only.
 *
 * @example
 * ```ts
 * const series = await measure({ role: 'entry', quantity: 'CPU per request', unit: 'us', sizeOf: 'waiting', sizes: [0, 100, 200, 400], sample })
 * ```
 */
export async function measure (plan: Plan): Promise<Series> {
  const { sample, repeats = DEFAULT_REPEATS, ...described } = plan
  const values = new Map<number, number[]>(plan.sizes.map((size) => [size, []]))
  for (let repeat = 0; repeat < repeats; repeat++) {
    for (const size of plan.sizes) values.get(size)?.push(await sample(size))
  }
  const points = plan.sizes.map((size) => summarise(size, values.get(size) ?? []))
  const line = fit.fitLine(points.map((point) => ({ size: point.size, value: point.median })))
  return { ...described, repeats, points, line }
}
