/**
 * Formats burn rates as a self-contained HTML page.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as burnTable from './burn-table.js'
import * as changeText from './change-text.js'

type Row = document.burnRate.Row

const MS_PER_MINUTE = 60_000

const STYLE = `
body { font: 15px sans-serif; margin: 2em }
table { border-collapse: collapse }
td, th { border-bottom: 1px solid #ccc; padding: 0.3em 0.8em; text-align: left }
.burning { background: #fdd }`

/** Curve of a plot with a value for each minute; undefined where there is none. */
export interface Curve {
  readonly title: string
  readonly fromMinute: number
  readonly values: readonly (number | undefined)[]
  /** Rate above which a budget counts as burning. */
  readonly limit: number
}

/** Renders a curve as SVG markup. */
export type Plot = (curve: Curve) => string

/** Content of the page. */
export interface PageContent {
  readonly rows: readonly Row[]
  readonly records: readonly document.burnRecord.BurnRecord[]
  readonly windows: document.burnRate.Windows
  readonly toMinute: number
  /** Undefined for a page with the table only. */
  readonly plot: Plot | undefined
}

/**
 * Escapes text for HTML.
 *
 * @example
 * ```ts
 * escapeHtml('a < b') // 'a &lt; b'
 * ```
 */
export function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

function formatRow (row: Row): string {
  const cells = burnTable.cells(row).map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')
  return `<tr${row.isBurning ? ' class="burning"' : ''}>${cells}</tr>`
}

function formatTable (page: PageContent): string {
  const head = burnTable.headings(page.windows).map((heading) => `<th>${escapeHtml(heading)}</th>`).join('')
  return `<table>\n<tr>${head}</tr>\n${page.rows.map(formatRow).join('\n')}\n</table>`
}

function toCurve (page: PageContent, row: Row): Curve {
  const series = page.records.flatMap((record) => record.series).filter((each) => each.service === row.service && each.tier === row.tier)
  const fromMinute = page.toMinute - page.windows.longMinutes + 1
  const buckets = series.flatMap((each) => each.buckets)
  const values = document.burnRate.ratesByMinute(buckets, row.objective, row.budgetPercent, fromMinute, page.toMinute)
  const title = `${row.service}, tier ${row.tier}: ${row.objective}`
  return { title, fromMinute, values, limit: document.burnRate.rateLimit(page.windows.longMinutes) }
}

function formatPlots (page: PageContent): string {
  const { plot } = page
  if (plot === undefined) return ''
  const rows = page.rows.filter((row) => row.organisation === undefined)
  return rows.map((row) => `<figure>${plot(toCurve(page, row))}</figure>`).join('\n')
}

/**
 * Formats the page.
 *
 * @example
 * ```ts
 * files.write('burn.html', formatPage({ rows, records, windows, toMinute, plot }))
 * ```
 */
export function formatPage (page: PageContent): string {
  const limit = document.burnRate.rateLimit(page.windows.longMinutes).toFixed(1)
  const until = changeText.formatTime(page.toMinute * MS_PER_MINUTE)
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>${STYLE}
</style>
<h1>Service-level burn</h1>
<p>Until ${until}. The burn rate is the share of requests that missed an objective, divided by the allowed share.
At 1 the budget of 30 days lasts exactly 30 days. A budget is burning when both windows are over ${limit}.</p>
${formatTable(page)}
${formatPlots(page)}
</html>
`
}
