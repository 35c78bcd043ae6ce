/**
 * Measured series as text.
 *
 * @module
 */
import type * as series from './series.js'

function round (value: number): string {
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en-US')
  return Number(value.toPrecision(3)).toString()
}

function describePoint (point: series.Sampled): string {
  return `${point.size}: ${round(point.median)} (${round(point.lowest)} to ${round(point.highest)})`
}

/**
 * The lines of one series: what was measured, the fitted line, and the median and range at each size.
 *
 * @example
 * ```ts
 * for (const line of describeSeries(measured)) console.log(line)
 * ```
 */
export function * describeSeries (measured: series.Series): Generator<string> {
  const { role, quantity, unit, sizeOf, line, points, repeats } = measured
  yield `${role}: ${quantity}`
  yield `  ${round(line.intercept)} ${unit} + ${round(line.slope)} ${unit} for each of ${sizeOf}, r2 ${line.r2.toFixed(3)}, ${repeats} repeats`
  yield `  ${points.map(describePoint).join('; ')}`
}
