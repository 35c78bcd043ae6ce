/**
 * Samples and limits of a target in reports to peers.
 *
 * @module
 */
import type * as concurrencyCurve from './concurrency-curve.js'

/** Samples of one kind as reported: the squared deviations from the means, then of each bin the requests in flight, the weight and the mean; in hundredths except the requests. */
export type CurveRow = readonly number[]

/** What a daemon reports about a target: its own samples, and the limit if it joins the samples of the cell. */
export type LimitRow = readonly [curves: readonly CurveRow[], ...limit: readonly [rank: number, limit: number, allowance: number] | readonly []]

const HUNDREDTHS = 100

/** Returns the sum of the squared deviations from the means of the bins. */
function residualOf ({ bins, squares }: concurrencyCurve.Curve): number {
  return Math.max(0, [...bins.values()].reduce((sum, { weight, sum: binSum }) => sum - binSum * binSum / weight, squares))
}

/** Returns a row of residual and means: rounding the large sums that a fit subtracts from each other would add noise to it. */
export function toRow (curve: concurrencyCurve.Curve): CurveRow {
  const cells = [...curve.bins].filter(([, { weight }]) => weight >= 1 / HUNDREDTHS)
    .flatMap(([inFlight, { weight, sum }]) => [inFlight, Math.round(weight * HUNDREDTHS), Math.round(sum / weight * HUNDREDTHS)])
  return [Math.round(residualOf(curve) * HUNDREDTHS), ...cells]
}

/** Returns the samples in a row. */
export function ofRow ([residual = 0, ...cells]: CurveRow): concurrencyCurve.Curve {
  const bins = new Map<number, concurrencyCurve.Bin>()
  let squares = residual / HUNDREDTHS
  for (let index = 0; index + 2 < cells.length; index += 3) {
    const [inFlight = 0, hundredths = 0, mean = 0] = cells.slice(index, index + 3)
    const weight = hundredths / HUNDREDTHS
    const sum = weight * mean / HUNDREDTHS
    if (weight <= 0) continue
    bins.set(Math.max(1, Math.round(inFlight)), { weight, sum })
    squares += sum * sum / weight
  }
  return { bins, squares }
}

/** Returns a limit in hundredths. */
export function toHundredths (limit: number): number {
  return Math.round(limit * HUNDREDTHS)
}

/** Returns the limit in hundredths as requests. */
export function ofHundredths (hundredths: number): number {
  return hundredths / HUNDREDTHS
}
