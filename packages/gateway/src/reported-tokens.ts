/**
 * Applies the tokens that peers report as admitted to the caps of organisations.
 *
 * A report contains the totals that have changed since the previous one, and with every listing all of them, so
 * a lost datagram delays a count until the next listing at most. Several members of another cell may report the
 * same tokens while members join and leave; only one of them is counted at a time.
 *
 * Tokens that a peer used while it was unresponsive are not counted later: its share of the rate was reserved
 * for it during that time, and counting them at once would refuse requests that are within the cap.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as peerMessages from './peer-messages.js'
import * as peerTable from './peer-table.js'

/** Consumers of the reported tokens. */
export interface Options {
  readonly caps: Pick<routing.tokenCap.TokenCaps, 'applyReported' | 'applyReportedRefusals' | 'applyFormerCaps'>
  /** Counts tokens that a member of the own cell has admitted, or refused because of a cap. */
  readonly countCellTokens: (organisation: string, tokens: number, kind: TokenKind) => void
  /** Returns a name for the cell of a peer; undefined if it is in no other cell. */
  readonly cellOf: (peer: string, nowMs: number) => string | undefined
  /** Returns the interval of reports between cells, ms. */
  readonly intervalMs: (nowMs: number) => number
}

/** Whether tokens were admitted or refused. */
export type TokenKind = 'used' | 'refused'

/** Number of intervals without a report after which a cell has timed out. */
const TIMEOUT_INTERVALS = 2.2

/** Number of intervals without a report after which another member of a cell may become its reporter. */
const TAKEOVER_INTERVALS = 1.5

/** Applies reports, in the order in which they were sent. */
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
  /** Whether organisations without a total have used nothing. */
  readonly complete: boolean
  readonly reportedMs: number
  readonly tokens: Readonly<Record<TokenKind, ReadonlyMap<string, number>>>
}

/**
 * Creates the state for the tokens that all peers report.
 *
 * @example
 * ```ts
 * const reportedTokens = createReportedTokens({ caps, countCellTokens, cellOf, intervalMs })
 * reportedTokens.apply(report, nowMs)
 * ```
 */
export function createReportedTokens (options: Options): ReportedTokens {
  const totals = new Map<string, Totals>()
  /** The member whose totals are counted, by cell. */
  const reporters = new Map<string, Reporter>()

  function timeoutMs (scope: peerMessages.Report['scope'], nowMs: number): number {
    return scope === 'cell' ? peerTable.PEER_TIMEOUT_MS : TIMEOUT_INTERVALS * options.intervalMs(nowMs)
  }

  /** Returns whether the totals of a report are counted; those of others are recorded, so that one of them can take over. */
  function isReporter ({ from, scope }: peerMessages.Report, nowMs: number): boolean {
    if (scope === 'cell') return true
    const cell = options.cellOf(from, nowMs)
    if (cell === undefined) return false
    const reporter = reporters.get(cell)
    if (reporter !== undefined && reporter.from !== from && nowMs - reporter.reportedMs < TAKEOVER_INTERVALS * options.intervalMs(nowMs)) return false
    reporters.set(cell, { from, reportedMs: nowMs })
    return true
  }

  /** Counts the tokens of a kind since the previous totals. */
  function count ({ scope, usedTokens, refusedTokens }: peerMessages.Report, kind: TokenKind, previous: Totals, nowMs: number): void {
    for (const [organisation, total] of Object.entries(kind === 'used' ? usedTokens : refusedTokens)) {
      // It is unknown when a peer used the tokens in its first total, so they are not counted.
      const tokens = total - (previous.tokens[kind].get(organisation) ?? (previous.complete ? 0 : total))
      if (tokens === 0) continue
      if (kind === 'used') options.caps.applyReported(organisation, tokens, nowMs, scope)
      else options.caps.applyReportedRefusals(organisation, tokens, nowMs, scope)
      if (scope === 'cell') options.countCellTokens(organisation, tokens, kind)
    }
  }

  function apply (report: peerMessages.Report, nowMs: number): void {
    const { from, incarnation, scope, complete, usedTokens, refusedTokens } = report
    options.caps.applyFormerCaps(report.formerCaps, nowMs)
    const existing = totals.get(from)
    const previous = existing?.incarnation === incarnation && existing.scope === scope ? existing : undefined
    const isCounted = isReporter(report, nowMs)
    if (isCounted && previous !== undefined && nowMs - previous.reportedMs < timeoutMs(scope, nowMs)) {
      count(report, 'used', previous, nowMs)
      count(report, 'refused', previous, nowMs)
    }
    totals.set(from, {
      incarnation,
      scope,
      complete: complete || previous?.complete === true,
      reportedMs: nowMs,
      tokens: {
        used: new Map([...previous?.tokens.used ?? [], ...Object.entries(usedTokens)]),
        refused: new Map([...previous?.tokens.refused ?? [], ...Object.entries(refusedTokens)])
      }
    })
  }

  return { apply }
}
