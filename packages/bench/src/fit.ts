/**
 * Fits lines to measured points.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** The line `intercept + slope * size`, with its coefficient of determination. */
export interface Line {
  readonly slope: number
  readonly intercept: number
  /** Share of the variance that the line explains: 1 if every point lies on it. */
  readonly r2: number
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/**
 * Fits a line by ordinary least squares: slope = cov(x, y) / var(x); r2 = 1 - residual sum of squares / total sum of squares.
 * Source: N. R. Draper, H. Smith, "Applied Regression Analysis", 3rd edition, 1998, sections 1.2 and 1.3.
 *
 * @example
 * ```ts
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }]) // { slope: 2, intercept: 1, r2: 1 }
 * ```
 */
export function fitLine (points: readonly Point[]): Line {
  const meanSize = mean(points.map((point) => point.size))
  const meanValue = mean(points.map((point) => point.value))
  const covariance = mean(points.map((point) => (point.size - meanSize) * (point.value - meanValue)))
  const variance = mean(points.map((point) => (point.size - meanSize) ** 2))
  const slope = variance === 0 ? 0 : covariance / variance
  const intercept = meanValue - slope * meanSize
  const residual = mean(points.map((point) => (point.value - intercept - slope * point.size) ** 2))
  const total = mean(points.map((point) => (point.value - meanValue) ** 2))
  return { slope, intercept, r2: total === 0 ? 1 : 1 - residual / total }
}

/**
 * Returns the median: the middle value, or the mean of the two middle values if their number is even.
 *
 * @example
 * ```ts
 * median([4, 1, 9]) // 4
 * ```
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const upper = sorted[Math.floor(sorted.length / 2)] ?? NaN
  const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? NaN
  return (upper + lower) / 2
}
