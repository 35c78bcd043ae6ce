/**
 * Times of requests at a target as a function of the requests in flight there, and the concurrency that they allow.
 *
 * The curve has a knee: up to it, more requests in flight cost each of them little; beyond it, they take so much longer
 * that the target completes no more than before. The knee is fitted on logarithms, so that neither the speed of the target
 * nor the unit of the samples matters. Samples lose weight as they age, which makes the fit follow a target that changes.
 *
 * @module
 */

/** Sums of the logarithms of the samples with the same number of requests in flight. */
export interface Bin {
  readonly weight: number
  readonly sum: number
}

/** Samples of a target, by the number of requests in flight. */
export interface Curve {
  readonly bins: ReadonlyMap<number, Bin>
  /** Sum of the squares of all samples. */
  readonly squares: number
}

/** One sample: the time that a request took with so many requests in flight, or its ratio to what is expected. */
export interface Sample {
  readonly inFlight: number
  readonly time: number
  readonly weight: number
}

export const EMPTY_CURVE: Curve = { bins: new Map(), squares: 0 }

/** Time after which a sample counts half, ms: short against the 3 s in which a slower target must be noticed, and longer if there are few. */
export const MIN_HALF_LIFE_MS = 700
const MAX_HALF_LIFE_MS = 2_000

/** Weight of all samples below which they count for longer. */
const ENOUGH_WEIGHT = 20

/** Weight below which a bin is dropped. */
const MIN_BIN_WEIGHT = 0.02

/** Minimum weight of all samples from which a knee is fitted. */
const MIN_FIT_WEIGHT = 8

/** Elasticities of the time beyond the knee: 1 where requests queue, 2 where they also hinder each other. */
const STEEP_ELASTICITIES = [1, 2] as const

/** Elasticities of the time up to the knee; below 1, the target completes more with more requests in flight. */
const GENTLE_ELASTICITIES = [0, 0.25] as const

/** Deviation of the logarithms that is assumed at least, so that a few equal samples don't prove a knee. */
const MIN_DEVIATION = 0.1

/** Improvement of the squared error, in variances, from which a lower knee is accepted: the 0.95 quantile of chi-squared with one degree of freedom. */
const SIGNIFICANT_IMPROVEMENT = 1.5

/** Standard error of the elasticity up to which a knee is fitted: it tells an elasticity of 0 from one of 1. */
const MAX_ELASTICITY_ERROR = 0.6

/** Returns the curve with a sample added; earlier ones lose weight so that all have at most `maxWeight`. */
export function addSample (curve: Curve, { inFlight, time, weight }: Sample, maxWeight: number): Curve {
  const total = weightOf(curve) + weight
  const { bins, squares } = total > maxWeight ? scale(curve, maxWeight / total) : curve
  const value = Math.log(Math.max(Number.MIN_VALUE, time))
  const key = Math.max(1, Math.round(inFlight))
  const bin = bins.get(key) ?? { weight: 0, sum: 0 }
  return { bins: new Map(bins).set(key, { weight: bin.weight + weight, sum: bin.sum + weight * value }), squares: squares + weight * value * value }
}

function scale ({ bins, squares }: Curve, factor: number): Curve {
  const scaled = [...bins].map(([inFlight, { weight, sum }]) => [inFlight, { weight: weight * factor, sum: sum * factor }] as const)
  return { bins: new Map(scaled.filter(([, { weight }]) => weight >= MIN_BIN_WEIGHT)), squares: squares * factor }
}

/** Returns the curve as it counts after a time. */
export function age (curve: Curve, elapsedMs: number, halfLifeMs: number): Curve {
  return elapsedMs <= 0 ? curve : scale(curve, 0.5 ** (elapsedMs / halfLifeMs))
}

/** Returns the time after which a sample counts half, given the weight of all samples of the cell. */
export function halfLifeMs (weight: number): number {
  return Math.min(MAX_HALF_LIFE_MS, Math.max(MIN_HALF_LIFE_MS, MIN_HALF_LIFE_MS * ENOUGH_WEIGHT / weight))
}

/** Returns one curve of the samples of several. */
export function join (curves: readonly Curve[]): Curve {
  const bins = new Map<number, Bin>()
  let squares = 0
  for (const curve of curves) {
    squares += curve.squares
    for (const [inFlight, { weight, sum }] of curve.bins) {
      const bin = bins.get(inFlight) ?? { weight: 0, sum: 0 }
      bins.set(inFlight, { weight: bin.weight + weight, sum: bin.sum + sum })
    }
  }
  return { bins, squares }
}

/** Returns the weight of all samples. */
export function weightOf ({ bins }: Curve): number {
  return [...bins.values()].reduce((sum, { weight }) => sum + weight, 0)
}

interface Shape {
  readonly knee: number
  readonly gentle: number
  readonly steep: number
}

/** Returns the squared error of a shape, at the speed that fits it best. */
function errorOf ({ bins, squares }: Curve, { knee, gentle, steep }: Shape): number {
  let weights = 0
  let sum = 0
  let error = squares
  for (const [inFlight, bin] of bins) {
    const offset = gentle * Math.log(Math.min(inFlight, knee)) + steep * Math.log(Math.max(inFlight, knee) / knee)
    weights += bin.weight
    sum += bin.sum - offset * bin.weight
    error += offset * (offset * bin.weight - 2 * bin.sum)
  }
  return weights === 0 ? 0 : Math.max(0, error - sum * sum / weights)
}

function bestErrorAt (curve: Curve, knee: number): number {
  const errors = GENTLE_ELASTICITIES.flatMap((gentle) => STEEP_ELASTICITIES.map((steep) => errorOf(curve, { knee, gentle, steep })))
  return Math.min(...errors)
}

/** Means of the logarithms of the samples with at most so many requests in flight. */
export interface Level {
  readonly inFlight: number
  readonly time: number
}

/** Returns the mean of the samples with at most `maxInFlight` requests in flight; undefined without such samples. */
export function levelOf ({ bins }: Curve, maxInFlight = Infinity): Level | undefined {
  let weights = 0
  let inFlight = 0
  let time = 0
  for (const [key, { weight, sum }] of bins) {
    if (key > maxInFlight) continue
    weights += weight
    inFlight += weight * Math.log(key)
    time += sum
  }
  return weights === 0 ? undefined : { inFlight: inFlight / weights, time: time / weights }
}

/** Returns the sum of the squared deviations of the logarithm of the requests in flight. */
function spreadOf ({ bins }: Curve, { inFlight }: Level): number {
  return [...bins].reduce((sum, [key, { weight }]) => sum + weight * (Math.log(key) - inFlight) ** 2, 0)
}

/**
 * Returns the highest knee that the samples don't contradict, at most `bound`; undefined if they are too few or too much
 * alike to tell.
 *
 * @example
 * ```ts
 * const limit = highestKnee(curve, target.slots)
 * ```
 */
export function highestKnee (curve: Curve, bound: number): number | undefined {
  const level = levelOf(curve)
  const weight = weightOf(curve)
  if (level === undefined || weight < MIN_FIT_WEIGHT) return undefined
  const errors = Array.from({ length: bound }, (_, index) => bestErrorAt(curve, index + 1))
  const best = Math.min(...errors)
  const variance = Math.max(best / weight, MIN_DEVIATION ** 2)
  if (variance > MAX_ELASTICITY_ERROR ** 2 * spreadOf(curve, level)) return undefined
  return 1 + errors.findLastIndex((error) => error - best <= SIGNIFICANT_IMPROVEMENT * variance)
}
