/**
 * Tables of compared replays.
 *
 * @module
 */
import type * as checkOutcomes from './check-outcomes.js'
import type * as measure from './measure.js'

/** One scheduler's figures. */
export interface Row {
  readonly name: string
  readonly measures: measure.Measures
}

const PERCENT = 100

function percent (share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`
}

/**
 * A table in Markdown; the first line is the head.
 *
 * @example
 * ```ts
 * formatTable([["name", "share"], ["random", "55.6%"]])
 * ```
 */
export function formatTable (lines: ReadonlyArray<readonly string[]>): string {
  const widths = (lines[0] ?? []).map((_, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)))
  const format = (line: readonly string[]): string => `| ${line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`
  const rule = `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`
  return [format(lines[0] ?? []), rule, ...lines.slice(1).map(format)].join('\n')
}

function tierCell ({ goodTokens, offeredTokens }: measure.TierFigures): string {
  return percent(goodTokens / Math.max(1, offeredTokens))
}

/**
 * A table with one line for each scheduler.
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
  const head = ['scheduler', ...names, 'of capacity', 'thrown away', 'read again', 'weighted', 'weighted to the end', ...models.map(({ rank }) => `first token ${rank} p50/p95 ms`)]
  const lines = rows.map(({ name, measures }) => [
    name,
    ...measures.tiers.map(tierCell),
    percent(measures.capacityShare),
    percent(measures.thrownAwayShare),
    percent(measures.repeatedShare),
    String(measures.weightedTokens),
    String(measures.weightedTokensAfter),
    ...measures.tiers.filter(({ target }) => target === 'model').map(({ firstTokenP50Ms, firstTokenP95Ms }) => `${firstTokenP50Ms}/${firstTokenP95Ms}`)
  ])
  return formatTable([head, ...lines])
}

/** A table of stated outcomes. */
export function formatChecks (checks: readonly checkOutcomes.Check[]): string {
  return formatTable([['stated outcome', 'bound', 'reached', 'met'], ...checks.map(({ name, bound, reached, isMet }) => [name, bound, reached, isMet ? 'yes' : 'no'])])
}
