/**
 * Formats compared replays as tables.
 *
 * @module
 */
import type * as checkOutcomes from './check-outcomes.js'
import type * as measure from './measure.js'

/** Measures of one scheduler. */
export interface Row {
  readonly name: string
  readonly measures: measure.Measures
}

const PERCENT = 100

function percent (share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`
}

/**
 * Formats a Markdown table. The first row is the header.
 *
 * @example
 * ```ts
 * formatTable([["name", "share"], ["random", "55.6%"]])
 * ```
 */
export function formatTable (rows: ReadonlyArray<readonly string[]>): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((cells) => cells[column]?.length ?? 0)))
  const format = (cells: readonly string[]): string => `| ${cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`
  const separator = `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`
  return [format(rows[0] ?? []), separator, ...rows.slice(1).map(format)].join('\n')
}

function formatTierShare ({ goodTokens, offeredTokens }: measure.TierMeasures): string {
  return percent(goodTokens / Math.max(1, offeredTokens))
}

/**
 * Formats a table with one row for each scheduler.
 *
 * @example
 * ```ts
 * formatRows([{ name: 'random', measures }])
 * ```
 */
export function formatRows (rows: readonly Row[]): string {
  const tiers = rows[0]?.measures.tiers ?? []
  const names = tiers.map(({ target, rank }) => `${target} ${rank}`)
  const models = tiers.filter(({ target }) => target === 'model')
  const header = ['scheduler', ...names, 'of capacity', 'thrown away', 'read again', 'weighted', 'weighted to the end', ...models.map(({ rank }) => `first token ${rank} p50/p95 ms`)]
  const lines = rows.map(({ name, measures }) => [
    name,
    ...measures.tiers.map(formatTierShare),
    percent(measures.capacityShare),
    percent(measures.thrownAwayShare),
    percent(measures.repeatedShare),
    String(measures.weightedTokens),
    String(measures.weightedTokensAfter),
    ...measures.tiers.filter(({ target }) => target === 'model').map(({ firstTokenP50Ms, firstTokenP95Ms }) => `${firstTokenP50Ms}/${firstTokenP95Ms}`)
  ])
  return formatTable([header, ...lines])
}

/** Formats a table of expected outcomes. */
export function formatChecks (checks: readonly checkOutcomes.Check[]): string {
  return formatTable([['stated outcome', 'bound', 'reached', 'met'], ...checks.map(({ name, bound, reached, isMet }) => [name, bound, reached, isMet ? 'yes' : 'no'])])
}
