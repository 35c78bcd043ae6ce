/**
 * Error budgets and burn rates over a short and a long window.
 *
 * The error budget is the share of requests that may miss an objective. The burn rate is the share
 * that did, divided by the budget: at 1 the budget lasts exactly for its period, at 2 half as long.
 * A budget counts as burning if the rate exceeds a limit in both windows: the long one shows that the
 * rate is significant, the short one that it still persists. The limit is the rate at which the long
 * window alone uses up a given share of the period's budget.
 *
 * Method: Google, The Site Reliability Workbook, chapter 5, "Alerting on SLOs", multiwindow,
 * multi-burn-rate alerts.
 *
 * @module
 */
import * as burnRecord from './burn-record.js'
import type * as serviceDocument from './service-document.js'

/** Period of the error budget: 30 days, in minutes. */
export const PERIOD_MINUTES = 30 * 24 * 60

/** Share of the period's budget that a long window of up to an hour may use. */
const BUDGET_SHARE_UP_TO_HOUR = 0.02

/** Share of the period's budget that a longer window may use. */
const BUDGET_SHARE_OVER_HOUR = 0.05

const MINUTES_PER_HOUR = 60

/** Objectives with an error budget. */
export type Objective = 'firstToken' | 'betweenTokens' | 'completion' | 'refused'

/** Windows of a report, minutes. */
export interface Windows {
  readonly shortMinutes: number
  readonly longMinutes: number
}

/** Burn of one objective in one window. */
export interface Burn {
  readonly eligible: number
  readonly missed: number
  /** Undefined if there are no eligible requests. */
  readonly rate: number | undefined
}

/** Burn of one objective of one service, tier and organisation. */
export interface Row {
  readonly service: string
  readonly tier: string
  /** Undefined for all organisations together. */
  readonly organisation: string | undefined
  readonly objective: Objective
  /** Share of requests that may miss the objective, percent. */
  readonly budgetPercent: number
  readonly short: Burn
  readonly long: Burn
  readonly isBurning: boolean
  /** Counts over the long window, for the causes of misses. */
  readonly counts: burnRecord.Counts
}

/** Counts of one series over both windows. */
export interface Sum {
  readonly service: string
  readonly tier: string
  readonly organisation: string | undefined
  readonly short: burnRecord.Counts
  readonly long: burnRecord.Counts
}

/**
 * Returns the burn rate above which a budget counts as burning.
 *
 * @example
 * ```ts
 * rateLimit(60) // 14.4
 * ```
 */
export function rateLimit (longMinutes: number): number {
  const share = longMinutes <= MINUTES_PER_HOUR ? BUDGET_SHARE_UP_TO_HOUR : BUDGET_SHARE_OVER_HOUR
  return share * PERIOD_MINUTES / longMinutes
}

/**
 * Computes the burn of one objective in one window. Refused requests are not eligible for latency objectives.
 *
 * @example
 * ```ts
 * computeBurn(counts, 'refused', 1).rate
 * ```
 */
export function computeBurn (counts: burnRecord.Counts, objective: Objective, budgetPercent: number): Burn {
  const eligible = objective === 'refused' ? counts.total : counts.total - counts.refused
  const missed = counts[objective]
  const rate = eligible === 0 ? undefined : (missed / eligible) / (budgetPercent / 100)
  return { eligible, missed, rate }
}

function sumBuckets (buckets: readonly burnRecord.Bucket[], fromMinute: number, toMinute: number): burnRecord.Counts {
  const within = buckets.filter((bucket) => bucket.minute >= fromMinute && bucket.minute <= toMinute)
  return within.reduce<burnRecord.Counts>(burnRecord.addCounts, burnRecord.ZERO_COUNTS)
}

function sumSeries (series: burnRecord.Series, organisation: string | undefined, toMinute: number, windows: Windows): Sum {
  const { service, tier, buckets } = series
  const short = sumBuckets(buckets, toMinute - windows.shortMinutes + 1, toMinute)
  const long = sumBuckets(buckets, toMinute - windows.longMinutes + 1, toMinute)
  return { service, tier, organisation, short, long }
}

/**
 * Sums the records of all daemons for each service, tier and organisation, and for all organisations
 * together. The result does not depend on the order of the records.
 *
 * @example
 * ```ts
 * const sums = sumRecords(records, minuteOf(nowMs), { shortMinutes: 5, longMinutes: 60 })
 * ```
 */
export function sumRecords (records: readonly burnRecord.BurnRecord[], toMinute: number, windows: Windows): readonly Sum[] {
  const sums = new Map<string, Sum>()
  for (const series of records.flatMap((record) => record.series)) {
    for (const organisation of [undefined, series.organisation]) {
      const added = sumSeries(series, organisation, toMinute, windows)
      const key = JSON.stringify([series.service, series.tier, organisation ?? ''])
      const existing = sums.get(key)
      const short = burnRecord.addCounts(existing?.short ?? burnRecord.ZERO_COUNTS, added.short)
      const long = burnRecord.addCounts(existing?.long ?? burnRecord.ZERO_COUNTS, added.long)
      sums.set(key, { ...added, short, long })
    }
  }
  return [...sums].sort(([left], [right]) => left < right ? -1 : 1).map(([, sum]) => sum)
}

/**
 * Yields the objectives of a tier, each with the share of requests that may miss it, percent.
 *
 * @example
 * ```ts
 * [...objectivesOf(tier)] // [{ objective: 'completion', budgetPercent: 5 }, ...]
 * ```
 */
export function * objectivesOf (tier: serviceDocument.Tier): Generator<{ readonly objective: Objective, readonly budgetPercent: number }> {
  const budgetPercent = 100 - tier.objectives.percent
  if (tier.objectives.firstTokenMs !== undefined) yield { objective: 'firstToken', budgetPercent }
  if (tier.objectives.betweenTokensMs !== undefined) yield { objective: 'betweenTokens', budgetPercent }
  yield { objective: 'completion', budgetPercent }
  yield { objective: 'refused', budgetPercent: tier.objectives.refusedPercent }
}

function toRow (sum: Sum, objective: Objective, budgetPercent: number, windows: Windows): Row {
  const { service, tier, organisation } = sum
  const short = computeBurn(sum.short, objective, budgetPercent)
  const long = computeBurn(sum.long, objective, budgetPercent)
  const limit = rateLimit(windows.longMinutes)
  const isBurning = (short.rate ?? 0) > limit && (long.rate ?? 0) > limit
  return { service, tier, organisation, objective, budgetPercent, short, long, isBurning, counts: sum.long }
}

/**
 * Yields one row for each objective of each sum whose service and tier are in a document.
 *
 * @example
 * ```ts
 * const rows = [...burnRows(documents, sums, windows)]
 * ```
 */
export function * burnRows (documents: readonly serviceDocument.ServiceDocument[], sums: readonly Sum[], windows: Windows): Generator<Row> {
  for (const sum of sums) {
    const tiers = documents.find((document) => document.service === sum.service)?.tiers
    const tier = tiers?.find((each) => each.name === sum.tier)
    if (tier === undefined) continue
    for (const { objective, budgetPercent } of objectivesOf(tier)) yield toRow(sum, objective, budgetPercent, windows)
  }
}

/**
 * Returns the burn rate of one objective for each minute, for plots; undefined for minutes in which no eligible request ended.
 *
 * @example
 * ```ts
 * const rates = ratesByMinute(buckets, 'refused', 1, fromMinute, toMinute)
 * ```
 */
export function ratesByMinute (buckets: readonly burnRecord.Bucket[], objective: Objective, budgetPercent: number, fromMinute: number, toMinute: number): readonly (number | undefined)[] {
  return Array.from({ length: toMinute - fromMinute + 1 }, (_, index) => {
    const minute = fromMinute + index
    return computeBurn(sumBuckets(buckets, minute, minute), objective, budgetPercent).rate
  })
}
