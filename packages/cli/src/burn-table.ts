/**
 * Formats burn rates as a text table.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as table from './table.js'

type Row = document.burnRate.Row

const OBJECTIVE_LABELS = {
  firstToken: 'first token',
  betweenTokens: 'between tokens',
  completion: 'completion',
  refused: 'refused'
} as const satisfies Readonly<Record<document.burnRate.Objective, string>>

const CAUSE_LABELS = [
  ['waited', 'causeWaited'],
  ['slow target', 'causeStraggler'],
  ['cut', 'causeCut']
] as const

const REFUSAL_CAUSE_LABELS = [
  ['shed', 'causeShed'],
  ['refused', 'causeRefused']
] as const

/** Returns the headings of the columns, with the lengths of the two windows. */
export function headings (windows: document.burnRate.Windows): readonly string[] {
  return ['service', 'tier', 'organisation', 'objective', 'budget', `missed ${windows.longMinutes} min`, `rate ${windows.shortMinutes} min`, `rate ${windows.longMinutes} min`, 'state', 'causes']
}

function formatRate (rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(1)
}

function formatCauses (row: Row): string {
  const causes = row.objective === 'refused' ? REFUSAL_CAUSE_LABELS : CAUSE_LABELS
  const counted = causes.filter(([, name]) => row.counts[name] > 0)
  return counted.map(([label, name]) => `${label} ${row.counts[name]}`).join(', ')
}

/**
 * Formats the cells of one row.
 *
 * @example
 * ```ts
 * cells(row) // ['listings', 'urgent', 'all', 'refused', '1 %', '2 of 110', '10.0', '1.8', 'ok', 'shed 2']
 * ```
 */
export function cells (row: Row): readonly string[] {
  return [
    row.service,
    row.tier,
    row.organisation ?? 'all',
    OBJECTIVE_LABELS[row.objective],
    `${Number(row.budgetPercent.toFixed(3))} %`,
    `${row.long.missed} of ${row.long.eligible}`,
    formatRate(row.short.rate),
    formatRate(row.long.rate),
    row.isBurning ? 'BURNING' : 'ok',
    formatCauses(row)
  ]
}

/**
 * Formats all rows as a table.
 *
 * @example
 * ```ts
 * formatBurnTable(rows, { shortMinutes: 5, longMinutes: 60 })
 * ```
 */
export function formatBurnTable (rows: readonly Row[], windows: document.burnRate.Windows): string {
  return table.formatTable(headings(windows), rows.map(cells))
}
