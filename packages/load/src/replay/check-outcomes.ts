/**
 * Checks a replay against the expected outcomes in the header of its trace.
 *
 * @module
 */
import * as history from '@persimmonhatch/history'
import type * as measure from './measure.js'
import type * as replay from './replay.js'
import * as priorityInversions from './priority-inversions.js'

/** One expected outcome and the value reached. */
export interface Check {
  readonly name: string
  readonly bound: string
  readonly reached: string
  readonly isMet: boolean
}

const PERCENT = 100
/** Offered load, as a multiple of capacity, up to which latency objectives apply; above it, overload checks do. */
const OVERLOAD_THRESHOLD = 1
const MAX_SHARE_INCREASE = 0.005

function percent (share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`
}

function checkGuarantees (result: replay.Result): readonly Check[] {
  const tierOrderViolations = history.tierOrder.tierOrder(result.history)
  const dispatchViolations = history.singleDispatch.singleDispatch(result.history)
  const effectViolations = history.singleEffect.singleEffect(result.history)
  const refusalViolations = history.truthfulRefusal.truthfulRefusal(result.history)
  const toCheck = (name: string, violations: readonly history.history.Violation[]): Check => ({ name, bound: '0 violations', reached: String(violations.length), isMet: violations.length === 0 })
  return [
    toCheck('no shed of a higher tier while a lower runs', tierOrderViolations),
    toCheck('at most one dispatch', dispatchViolations),
    toCheck('non-idempotent requests run at most once', effectViolations),
    toCheck('refusals are true', refusalViolations)
  ]
}

/**
 * Checks that no tier finishes a larger share of its tokens than a more important tier. Under overload, only tokens
 * generated before the last arrival count. Requests cut off by a crash are excluded, as no decision ended them.
 */
function checkTierOrder (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const isOverload = result.trace.header.load > OVERLOAD_THRESHOLD
  const shares = measures.tiers.filter(({ target }) => target === 'model')
    .map(({ goodTokens, goodTokensDuring, offeredTokens, cutTokens }) => (isOverload ? goodTokensDuring : goodTokens) / Math.max(1, offeredTokens - cutTokens))
  const isOrdered = shares.every((share, index) => index === 0 || share <= (shares[index - 1] as number) + MAX_SHARE_INCREASE)
  const inversions = priorityInversions.countPriorityInversions(result)
  return [
    { name: 'no start of a lower tier while a higher waits', bound: '0 starts', reached: String(inversions), isMet: inversions === 0 },
    { name: "tiers' order in finishing", bound: 'shares do not grow', reached: shares.map(percent).join(', '), isMet: isOrdered }
  ]
}

function checkLatency (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const { outcomes, load } = result.trace.header
  if (load > OVERLOAD_THRESHOLD) return []
  return measures.tiers.filter(({ target, rank }) => target === 'model' && outcomes.latencyRanks.includes(rank)).map((tier) => ({
    name: `first token within ${outcomes.firstTokenMs} ms and ${outcomes.betweenTokensMs} ms between tokens, rank ${tier.rank}`,
    bound: `>= ${percent(outcomes.withinShare)}`,
    reached: `${percent(tier.withinShare)} (first token p50 ${tier.firstTokenP50Ms} ms, p95 ${tier.firstTokenP95Ms} ms)`,
    isMet: tier.withinShare >= outcomes.withinShare
  }))
}

function checkLowerBound (name: string, bound: number, reached: number): Check {
  return { name, bound: `>= ${percent(bound)}`, reached: percent(reached), isMet: reached >= bound }
}

function checkWastedPrefill (result: replay.Result, measures: measure.Measures): Check {
  const bound = result.trace.header.outcomes.wastedPrefillShare
  const wasted = measures.thrownAwayShare + measures.repeatedShare
  return {
    name: 'wasted prefill',
    bound: `< ${percent(bound)}`,
    reached: `${percent(wasted)} (thrown away ${percent(measures.thrownAwayShare)}, read again ${percent(measures.repeatedShare)})`,
    isMet: wasted < bound
  }
}

/**
 * Checks the guarantees, the order of tiers, wasted prefill, latency at stated load, and goodput under overload.
 *
 * @example
 * ```ts
 * checkOutcomes(result, measure(result)).filter(({ isMet }) => !isMet)
 * ```
 */
export function checkOutcomes (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const { outcomes, load } = result.trace.header
  const commonChecks = [
    ...checkGuarantees(result),
    ...checkTierOrder(result, measures),
    checkLowerBound('goodput of the top tiers', outcomes.topTierShare, measures.topTierShare),
    checkWastedPrefill(result, measures),
    ...checkLatency(result, measures)
  ]
  return load > OVERLOAD_THRESHOLD ? [...commonChecks, checkLowerBound('goodput as a share of capacity', outcomes.capacityShare, measures.capacityShare)] : commonChecks
}

/** Checks the goodput weighted by tier against that of the best baseline. */
export function checkBaselines (factor: number, measures: measure.Measures, baselines: readonly measure.Measures[]): Check {
  const reached = measures.weightedTokens / Math.max(1, ...baselines.map(({ weightedTokens }) => weightedTokens))
  const reachedAfterDrain = measures.weightedTokensAfter / Math.max(1, ...baselines.map(({ weightedTokensAfter }) => weightedTokensAfter))
  return {
    name: 'goodput weighted by tier against the best baseline',
    bound: `>= ${factor}x`,
    reached: `${reached.toFixed(2)}x (${reachedAfterDrain.toFixed(2)}x to the end)`,
    isMet: reached >= factor
  }
}
