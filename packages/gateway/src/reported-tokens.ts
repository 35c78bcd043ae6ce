/**
 * Takes in what peers say they have admitted against the caps of organisations.
 *
 * A report names the totals that have changed since the one before, and in every listing all of them, so a
 * lost datagram delays a count until the next listing at most. Several members of another cell may tell the
 * same tokens while members come and go; only one of them counts at a time.
 *
 * What a peer used while it was silent is not counted when it is heard again: its share of the rate was left
 * to it for that time, and to count it at once would refuse requests that are within the cap.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as peerMessages from './peer-messages.js'
import * as peerTable from './peer-table.js'

/** Whom the news are for. */
export interface Options {
  readonly caps: Pick<routing.tokenCap.TokenCaps, 'applyReported'>
  /** Counts tokens that a member of the own cell has admitted. */
  readonly countCellTokens: (organisation: string, tokens: number) => void
  /** A name for the cell of a peer; undefined when it is in no other cell. */
  readonly cellOf: (peer: string, nowMs: number) => string | undefined
  /** Interval at which cells tell each other, ms. */
  readonly intervalMs: (nowMs: number) => number
}

/** Intervals after which a cell is silent. */
const TIMEOUT_INTERVALS = 2.2

/** Intervals without a word after which another member of a cell may tell what the cell has used. */
const TAKEOVER_INTERVALS = 1.5

/** Takes reports in the order in which they were sent. */
export interface ReportedTokens {
  readonly apply: (report: peerMessages.Report, nowMs: number) => void
}

interface Reporter {
  readonly from: string
  readonly reportedMs: number
}

interface Totals {
  readonly incarnation: string
  readonly scope: peerMessages.Report['scope']
  /** Whether organisations that are not named have used nothing. */
  readonly complete: boolean
  readonly reportedMs: number
  readonly tokens: ReadonlyMap<string, number>
}

/**
 * Creates the taker.
 *
 * @example
 * ```ts
 * const news = createTokenNews({ caps, countCellTokens, cellOf, intervalMs })
 * news.take(report, nowMs)
 * ```
 */
export function createReportedTokens (options: Options): ReportedTokens {
  const totals = new Map<string, Totals>()
  /** Whose word counts for each other cell. */
  const reporters = new Map<string, Reporter>()

  function timeoutMs (scope: peerMessages.Report['scope'], nowMs: number): number {
    return scope === 'cell' ? peerTable.PEER_TIMEOUT_MS : TIMEOUT_INTERVALS * options.intervalMs(nowMs)
  }

  /** Whether the totals of a report are counted; those of others are kept, so that one of them can take over. */
  function isReporter ({ from, scope }: peerMessages.Report, nowMs: number): boolean {
    if (scope === 'cell') return true
    const cell = options.cellOf(from, nowMs)
    if (cell === undefined) return false
    const reporter = reporters.get(cell)
    if (reporter !== undefined && reporter.from !== from && nowMs - reporter.reportedMs < TAKEOVER_INTERVALS * options.intervalMs(nowMs)) return false
    reporters.set(cell, { from, reportedMs: nowMs })
    return true
  }

  /** Counts what has been used since the totals that were known. */
  function count ({ scope, usedTokens }: peerMessages.Report, previous: Totals, nowMs: number): void {
    for (const [organisation, tokens] of Object.entries(usedTokens)) {
      // What a peer used before its totals were known can't be placed in time.
      const used = tokens - (previous.tokens.get(organisation) ?? (previous.complete ? 0 : tokens))
      if (used === 0) continue
      options.caps.applyReported(organisation, used, nowMs)
      if (scope === 'cell') options.countCellTokens(organisation, used)
    }
  }

  function apply (report: peerMessages.Report, nowMs: number): void {
    const { from, incarnation, scope, complete, usedTokens } = report
    const existing = totals.get(from)
    const previous = existing?.incarnation === incarnation && existing.scope === scope ? existing : undefined
    const isCounted = isReporter(report, nowMs)
    if (isCounted && previous !== undefined && nowMs - previous.reportedMs < timeoutMs(scope, nowMs)) count(report, previous, nowMs)
    totals.set(from, {
      incarnation,
      scope,
      complete: complete || previous?.complete === true,
      reportedMs: nowMs,
      tokens: new Map([...previous?.tokens ?? [], ...Object.entries(usedTokens)])
    })
  }

  return { apply }
}
