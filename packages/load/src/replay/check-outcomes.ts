/**
 * Checks a replay against the outcomes that its trace stated beforehand.
 *
 * @module
 */
import * as history from '@persimmonhatch/history'
import type * as measure from './measure.js'
import type * as replay from './replay.js'
import * as startOrder from './start-order.js'

/** One stated outcome and what was reached. */
export interface Check {
  readonly name: string
  readonly bound: string
  readonly reached: string
  readonly isMet: boolean
}

const PERCENT = 100
/** Load up to which the latency objectives hold. */
const STATED_LOAD = 1
const ORDER_TOLERANCE = 0.005

function percent (share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`
}

function checkPromises (result: replay.Result): readonly Check[] {
  const sheds = history.tierOrder.tierOrder(result.history)
  const dispatches = history.singleDispatch.singleDispatch(result.history)
  const effects = history.singleEffect.singleEffect(result.history)
  const refusals = history.truthfulRefusal.truthfulRefusal(result.history)
  const toCheck = (name: string, violations: readonly history.history.Violation[]): Check => ({ name, bound: '0 violations', reached: String(violations.length), isMet: violations.length === 0 })
  return [
    toCheck('no shed of a higher tier while a lower runs', sheds),
    toCheck('at most one dispatch', dispatches),
    toCheck('non-idempotent requests run at most once', effects),
    toCheck('refusals are true', refusals)
  ]
}

/** The share that finishes, under overload before the last arrival, must not grow from a more important tier to a less important one; what crashes cut off was no decision and is left out. */
function checkOrder (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const isOverload = result.trace.header.load > STATED_LOAD
  const shares = measures.tiers.filter(({ target }) => target === 'model')
    .map(({ goodTokens, goodTokensDuring, offeredTokens, cutTokens }) => (isOverload ? goodTokensDuring : goodTokens) / Math.max(1, offeredTokens - cutTokens))
  const isOrdered = shares.every((share, index) => index === 0 || share <= (shares[index - 1] as number) + ORDER_TOLERANCE)
  const early = startOrder.countOutOfOrder(result)
  return [
    { name: 'no start of a lower tier while a higher waits', bound: '0 starts', reached: String(early), isMet: early === 0 },
    { name: "tiers' order in finishing", bound: 'shares do not grow', reached: shares.map(percent).join(', '), isMet: isOrdered }
  ]
}

function checkLatency (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const { outcomes, load } = result.trace.header
  if (load > STATED_LOAD) return []
  return measures.tiers.filter(({ target, rank }) => target === 'model' && outcomes.latencyRanks.includes(rank)).map((tier) => ({
    name: `first token within ${outcomes.firstTokenMs} ms and ${outcomes.betweenTokensMs} ms between tokens, rank ${tier.rank}`,
    bound: `>= ${percent(outcomes.withinShare)}`,
    reached: `${percent(tier.withinShare)} (first token p50 ${tier.firstTokenP50Ms} ms, p95 ${tier.firstTokenP95Ms} ms)`,
    isMet: tier.withinShare >= outcomes.withinShare
  }))
}

function atLeast (name: string, bound: number, reached: number): Check {
  return { name, bound: `>= ${percent(bound)}`, reached: percent(reached), isMet: reached >= bound }
}

function checkWaste (result: replay.Result, measures: measure.Measures): Check {
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
 * Checks the promises, the order of tiers, latency at stated load, waste, and goodput under overload.
 *
 * @example
 * ```ts
 * checkOutcomes(result, measure(result)).filter(({ isMet }) => !isMet)
 * ```
 */
export function checkOutcomes (result: replay.Result, measures: measure.Measures): readonly Check[] {
  const { outcomes, load } = result.trace.header
  const always = [
    ...checkPromises(result),
    ...checkOrder(result, measures),
    atLeast('goodput of the top tiers', outcomes.topTierShare, measures.topTierShare),
    checkWaste(result, measures),
    ...checkLatency(result, measures)
  ]
  return load > STATED_LOAD ? [...always, atLeast('goodput as a share of capacity', outcomes.capacityShare, measures.capacityShare)] : always
}

/** Checks goodput weighted by tier against the best baseline. */
export function checkBaselines (factor: number, measures: measure.Measures, baselines: readonly measure.Measures[]): Check {
  const reached = measures.weightedTokens / Math.max(1, ...baselines.map(({ weightedTokens }) => weightedTokens))
  const after = measures.weightedTokensAfter / Math.max(1, ...baselines.map(({ weightedTokensAfter }) => weightedTokensAfter))
  return {
    name: 'goodput weighted by tier against the best baseline',
    bound: `>= ${factor}x`,
    reached: `${reached.toFixed(2)}x (${after.toFixed(2)}x to the end)`,
    isMet: reached >= factor
  }
}
