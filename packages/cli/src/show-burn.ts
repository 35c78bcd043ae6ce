/**
 * Reports how fast the error budgets of services burn.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as neverthrow from 'neverthrow'
import * as burnPage from './burn-page.js'
import * as burnTable from './burn-table.js'
import * as failure from './failure.js'
import * as message from './message.js'
import type * as session from './session.js'
import * as store from './store.js'

type BurnRecord = document.burnRecord.BurnRecord
type ServiceDocument = document.serviceDocument.ServiceDocument

const MINUTES_PER_HOUR = 60

/** Options of the report. */
export interface Options {
  /** Service to report on; undefined for all services. */
  readonly service: string | undefined
  readonly windows: document.burnRate.Windows
  /** File to write an HTML page to. */
  readonly html: string | undefined
  readonly plot: burnPage.Plot | undefined
}

/** Records that could be read, and the problems of those that could not. */
interface ReadRecords {
  readonly records: readonly BurnRecord[]
  readonly problems: readonly string[]
}

function parseMinutes (text: string): number {
  const found = /^(\d{1,4})([mh])$/.exec(text.trim())
  return found === null ? Number.NaN : Number(found[1]) * (found[2] === 'h' ? MINUTES_PER_HOUR : 1)
}

/**
 * Parses the short and the long window of a report.
 *
 * @example
 * ```ts
 * parseWindows('5m,1h') // ok({ shortMinutes: 5, longMinutes: 60 })
 * ```
 */
export function parseWindows (text: string): neverthrow.Result<document.burnRate.Windows, failure.Failure> {
  const [shortMinutes = Number.NaN, longMinutes = Number.NaN, ...more] = text.split(',').map(parseMinutes)
  const inOrder = shortMinutes >= 1 && longMinutes > shortMinutes && longMinutes <= document.burnRecord.MAX_REPORT_MINUTES
  if (inOrder && more.length === 0) return neverthrow.ok({ shortMinutes, longMinutes })
  const limit = `${document.burnRecord.MAX_REPORT_MINUTES / MINUTES_PER_HOUR}h`
  return neverthrow.err(new failure.Failure('usage', 'wrong-windows', { value: text, limit }))
}

async function readRecords (run: session.Session, fromMinute: number, toMinute: number): Promise<neverthrow.Result<ReadRecords, failure.Failure>> {
  const records: BurnRecord[] = []
  const problems: string[] = []
  for (const window of document.burnRecord.windowsBetween(fromMinute, toMinute)) {
    const listing = await run.ports.keyValue.list(document.burnRecord.windowPrefix(window))
    if (listing.isErr()) return neverthrow.err(store.toReadFailure(listing.error))
    for (const entry of listing.value.entries) {
      document.burnRecord.readRecord(entry.key, entry.value).match((record) => records.push(record), (error) => problems.push(error.message))
    }
  }
  return neverthrow.ok({ records, problems })
}

function selectDocuments (parsed: ReadonlyArray<ServiceDocument | undefined>, service: string | undefined): neverthrow.Result<readonly ServiceDocument[], failure.Failure> {
  const documents = parsed.filter((each) => each !== undefined) as readonly ServiceDocument[]
  if (service === undefined) return neverthrow.ok(documents)
  const found = documents.filter((each) => each.service === service)
  return found.length > 0 ? neverthrow.ok(found) : neverthrow.err(new failure.Failure('notFound', 'unknown-service', { service }))
}

/**
 * Reports error budgets and burn rates as a table and, if requested, as an HTML page.
 *
 * @example
 * ```ts
 * const report = await showBurn(session, { service: 'listings', windows, html: 'burn.html', plot })
 * ```
 */
export function showBurn (run: session.Session, options: Options): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const { windows } = options
    const documents = yield * selectDocuments((yield * store.listServices(run.ports)).map(store.parseContent), options.service)
    const toMinute = document.burnRecord.minuteOf(run.ports.nowMs())
    const { records, problems } = yield * await readRecords(run, toMinute - windows.longMinutes + 1, toMinute)
    const sums = document.burnRate.sumRecords(records, toMinute, windows)
    const rows = [...document.burnRate.burnRows(documents, sums, windows)]
    const text = [rows.length === 0 ? message.formatMessage('no-burn-records', { what: options.service ?? 'any service' }) : burnTable.formatBurnTable(rows, windows), ...problems]
    if (options.html !== undefined) {
      yield * run.files.write(options.html, burnPage.formatPage({ rows, records, windows, toMinute, plot: options.plot }))
      text.push(message.formatMessage('report-written', { file: options.html }))
    }
    return neverthrow.ok({ exit: 'done' as const, text: text.join('\n'), json: { windows, rows, problems } })
  })
}
