/**
 * Compares the outcomes of two versions on the same kinds of requests.
 *
 * @module
 */
import * as outcomesModule from './outcomes.js'

/** How a version compares with the old one. */
export type Finding =
  | { readonly kind: 'no-difference' }
  | { readonly kind: 'failures' | 'times', readonly of: string, readonly samples: number, readonly share: number, readonly oldShare: number }

/**
 * Probability at which a difference counts as chance. A roll-out compares some ten kinds a hundred times, mostly over the same
 * samples, so a good version is rolled back by chance about once in a hundred roll-outs or less.
 */
const CHANCE = 0.000_1

/** Failures beyond the old version's that callers don't notice, as a share: a version that is that much worse is not compared further. */
const TOLERATED_FAILURES = 0.01

/** The same where there are many samples, so that a version that fails rarely is found before it has failed often. */
const TOLERATED_FAILURES_OF_MANY = 0.001
const MANY_FAILURES = 15

/** Factor by which a share of the old version may grow: its own samples scatter, and its targets may differ. */
const TOLERATED_GROWTH = 1.5

/** Doublings by which answers may be slower. "Several times" is three or more; bursts and cold caches cause up to two. */
const TOLERATED_DOUBLINGS = 1

/** Share of the answers that may be slower than that. */
const TOLERATED_SLOW = 0.04

/** Samples of the old version from which its times are known. */
const MIN_OLD_SAMPLES = 8

/**
 * Returns the probability of `count` or more successes in `samples` trials.
 *
 * @example
 * ```ts
 * binomialTail(2, 2, 0.01) // 0.0001
 * ```
 */
export function binomialTail (count: number, samples: number, probability: number): number {
  if (count <= 0 || probability >= 1) return 1
  let logTerm = samples * Math.log1p(-probability)
  let below = 0
  for (let successes = 0; successes < count; successes += 1) {
    below += Math.exp(logTerm)
    logTerm += Math.log((samples - successes) / (successes + 1)) + Math.log(probability) - Math.log1p(-probability)
  }
  // Where nearly everything lies below, the difference from 1 has no digits left, so the tail itself is summed.
  if (below < 0.999) return 1 - below
  let tail = 0
  for (let successes = count; successes <= samples; successes += 1) {
    const term = Math.exp(logTerm)
    tail += term
    if (term < tail * Number.EPSILON) break
    logTerm += Math.log((samples - successes) / (successes + 1)) + Math.log(probability) - Math.log1p(-probability)
  }
  return tail
}

function isUnlikely (count: number, samples: number, tolerated: number): boolean {
  return count > tolerated * samples && binomialTail(count, samples, Math.min(0.999, tolerated)) < CHANCE
}

function compareFailures (of: string, samples: number, failures: number, old: readonly [failures: number, samples: number]): Finding | undefined {
  const [oldFailures, oldSamples] = old
  const oldShare = oldFailures / Math.max(1, oldSamples)
  const isWorse = isUnlikely(failures, samples, TOLERATED_GROWTH * oldShare + TOLERATED_FAILURES) ||
    (failures >= MANY_FAILURES && isUnlikely(failures, samples, TOLERATED_GROWTH * oldShare + TOLERATED_FAILURES_OF_MANY))
  return isWorse ? { kind: 'failures', of, samples, share: failures / samples, oldShare } : undefined
}

/** Compares how many answers take a time or longer with how many of the old version take half of it or longer. */
function compareTimes (of: string, tally: outcomesModule.Tally, old: outcomesModule.Tally): Finding | undefined {
  const samples = outcomesModule.successesOf(tally)
  const oldSamples = outcomesModule.successesOf(old)
  if (oldSamples < MIN_OLD_SAMPLES) return undefined
  const toleratedBuckets = TOLERATED_DOUBLINGS * outcomesModule.BUCKETS_PER_DOUBLING
  for (const bucket of Object.keys(tally[1]).map(Number)) {
    const slow = outcomesModule.countFrom(tally, bucket)
    const oldShare = outcomesModule.countFrom(old, bucket - toleratedBuckets) / oldSamples
    if (isUnlikely(slow, samples, TOLERATED_GROWTH * oldShare + TOLERATED_SLOW)) return { kind: 'times', of, samples, share: slow / samples, oldShare }
  }
  return undefined
}

/**
 * Compares the outcomes of a version with those of the old one: failures and times of each kind, and the failures of all.
 *
 * @example
 * ```ts
 * compare({ 'tags idempotent': [9, { 8: 3 }] }, { 'tags idempotent': [0, { 8: 400 }] }).kind // 'failures'
 * ```
 */
export function compare (outcomes: outcomesModule.Outcomes, old: outcomesModule.Outcomes): Finding {
  let all = { failures: 0, samples: 0, oldFailures: 0, oldSamples: 0 }
  for (const [of, tally] of Object.entries(outcomes)) {
    const oldTally = (Object.hasOwn(old, of) ? old[of] : undefined) ?? [0, {}]
    const [failures] = tally
    const samples = failures + outcomesModule.successesOf(tally)
    const oldSamples = oldTally[0] + outcomesModule.successesOf(oldTally)
    all = { failures: all.failures + failures, samples: all.samples + samples, oldFailures: all.oldFailures + oldTally[0], oldSamples: all.oldSamples + oldSamples }
    const finding = compareFailures(of, samples, failures, [oldTally[0], oldSamples]) ?? compareTimes(of, tally, oldTally)
    if (finding !== undefined) return finding
  }
  return compareFailures('all', all.samples, all.failures, [all.oldFailures, all.oldSamples]) ?? { kind: 'no-difference' }
}
