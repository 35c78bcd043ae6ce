/**
 * Formats measured series as text.
 *
 * @module
 */
import type * as series from './series.js'

function formatNumber (value: number): string {
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en-US')
  return Number(value.toPrecision(3)).toString()
}

function formatPoint (point: series.SampleSummary): string {
  return `${point.size}: ${formatNumber(point.median)} (${formatNumber(point.lowest)} to ${formatNumber(point.highest)})`
}

/**
 * Yields the lines of one series: what was measured, the fitted line, and the median and range at each size.
 *
 * @example
 * ```ts
 * for (const line of formatSeries(measured)) console.log(line)
 * ```
 */
export function * formatSeries (measured: series.Series): Generator<string> {
  const { role, quantity, unit, sizeOf, line, points, repeats } = measured
  yield `${role}: ${quantity}`
  yield `  ${formatNumber(line.intercept)} ${unit} + ${formatNumber(line.slope)} ${unit} for each of ${sizeOf}, r2 ${line.r2.toFixed(3)}, ${repeats} repeats`
  yield `  ${points.map(formatPoint).join('; ')}`
}
