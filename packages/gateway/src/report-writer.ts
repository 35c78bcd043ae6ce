/**
 * Writes the reports of one daemon, in the order in which they are sent.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import * as peerMessages from './peer-messages.js'
import type * as peerTable from './peer-table.js'
import type * as reportedTokens from './reported-tokens.js'
import type * as rollouts from './rollouts.js'
import type * as servicePools from './service-pools.js'
import * as targetRows from './target-rows.js'

/** Sources of the reports. */
export interface Options {
  readonly sender: Pick<peerMessages.Report, 'from' | 'incarnation' | 'frontAddress'>
  readonly peers: peerTable.PeerTable
  readonly pools: servicePools.ServicePools
  readonly caps: routing.tokenCap.TokenCaps
  readonly suspects: routing.suspects.Suspects
  readonly targetLimits: routing.targetLimits.TargetLimits
  readonly streams: routing.streamVersions.StreamVersions
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly paths: routing.targetPaths.TargetPaths
  readonly targetPauses: routing.targetPauses.TargetPauses
  /** Without it, versions are not rolled out. */
  readonly rollouts?: Pick<rollouts.Rollouts, 'rows' | 'applyReport'> | undefined
  readonly isReady: () => boolean
  readonly documentVersion: () => number
}

/** Writes reports. */
export interface ReportWriter {
  /** Returns the report of this daemon for its cell, with a listing of members if `withListing` is set. */
  readonly writeForCell: (withListing: boolean, nowMs: number) => peerMessages.Report
  /** Returns the report of the cell for the rest of the fleet. */
  readonly writeForFleet: (nowMs: number) => peerMessages.Report
  /** Counts tokens that another member of the cell has admitted or refused. */
  readonly countCellTokens: (organisation: string, tokens: number, kind: reportedTokens.TokenKind) => void
}

/** Maximum number of members of other cells in a listing, by which daemons with different divisions converge. */
const MAX_LISTED_REMOTE_MEMBERS = 4

/** Number of listings in which evidence about crashes is repeated, in case a report is lost. */
const EVIDENCE_REPETITIONS = 3

/** Maximum number of rows of each kind of evidence in a report, which bounds its size when many targets fail at once. */
const MAX_EVIDENCE_ROWS = 32

/** Maximum number of streams in a report; the others are in the next ones. */
const MAX_STREAM_ROWS = 256

/** Maximum number of limits in a report. */
const MAX_LIMIT_ROWS = 16

/**
 * Creates the writer of one daemon's reports.
 *
 * @example
 * ```ts
 * port.send(addresses, createReportWriter(options).writeForCell(false, nowMs))
 * ```
 */
export function createReportWriter (options: Options): ReportWriter {
  const { caps, paths, peers, pools, registry, streams, suspects, targetLimits } = options
  let sequence = 0
  /** Tokens that members of the cell have reported, by organisation. */
  const cellTotals: Readonly<Record<reportedTokens.TokenKind, Map<string, number>>> = { used: new Map(), refused: new Map() }
  /** Totals in the reports that were sent to the cell, by organisation. */
  const sentTotals: Readonly<Record<reportedTokens.TokenKind, Map<string, number>>> = { used: new Map(), refused: new Map() }
  let lastCellReportMs = -Infinity
  const targetRowWriter = targetRows.createTargetRowWriter(options)

  function createReport (scope: peerMessages.Report['scope'], content: Pick<peerMessages.Report, 'pools' | 'usedTokens' | 'refusedTokens' | 'formerCaps' | 'complete' | 'leavingTargets' | 'departures' | 'pauses' | 'suspects' | 'limits' | 'streams' | 'lostTargets' | 'members'>): peerMessages.Report {
    sequence += 1
    const { era, revision } = registry.position()
    return {
      ...options.sender,
      ...content.complete ? { format: peerMessages.REPORT_FORMAT } : {},
      sequence,
      scope,
      ready: options.isReady(),
      documentVersion: options.documentVersion(),
      targetsPosition: [era, revision],
      rollouts: options.rollouts?.rows(scope) ?? {},
      ...content
    }
  }

  function ownTotals (kind: reportedTokens.TokenKind): ReadonlyMap<string, number> {
    return kind === 'used' ? caps.used() : caps.refused()
  }

  function changedTokens (kind: reportedTokens.TokenKind): Readonly<Record<string, number>> {
    const sent = sentTotals[kind]
    const changed = [...ownTotals(kind)].filter(([organisation, tokens]) => sent.get(organisation) !== tokens)
    for (const [organisation, tokens] of changed) sent.set(organisation, tokens)
    return Object.fromEntries(changed)
  }

  function cellTokens (kind: reportedTokens.TokenKind): Readonly<Record<string, number>> {
    const tokens = new Map(cellTotals[kind])
    for (const [organisation, ownTokens] of ownTotals(kind)) tokens.set(organisation, ownTokens + (tokens.get(organisation) ?? 0))
    return Object.fromEntries(tokens)
  }

  /** Returns this daemon's evidence since its last report, or, with a listing, also earlier one. */
  function ownEvidence (withListing: boolean, nowMs: number): peerMessages.Report['suspects'] {
    const sinceMs = withListing ? listingsSince(nowMs) : lastCellReportMs
    return suspects.select({ sources: ['own'], sinceMs, withAllRefused: withListing, maxRows: MAX_EVIDENCE_ROWS }, nowMs)
  }

  function limits (selection: Omit<routing.targetLimits.Selection, 'maxRows'>): peerMessages.Report['limits'] {
    return targetLimits.select({ ...selection, maxRows: MAX_LIMIT_ROWS }).map(peerMessages.toLimitRow)
  }

  function listingsSince (nowMs: number): number {
    return nowMs - EVIDENCE_REPETITIONS * peers.fleetIntervalMs(nowMs)
  }

  return {
    writeForCell: (withListing, nowMs) => {
      const report = createReport('cell', {
        pools: pools.loads(),
        usedTokens: withListing ? Object.fromEntries(caps.used()) : changedTokens('used'),
        refusedTokens: withListing ? Object.fromEntries(caps.refused()) : changedTokens('refused'),
        formerCaps: caps.formerCaps(nowMs),
        complete: withListing,
        ...targetRowWriter.forCell(withListing, nowMs),
        suspects: ownEvidence(withListing, nowMs),
        limits: limits({ sources: ['own'], sinceMs: lastCellReportMs, withOthers: withListing }),
        streams: streams.takeUnreported(MAX_STREAM_ROWS),
        lostTargets: paths.lost(),
        members: withListing ? peers.listing(nowMs, MAX_LISTED_REMOTE_MEMBERS) : []
      })
      lastCellReportMs = nowMs
      return report
    },
    writeForFleet: (nowMs) => createReport('fleet', {
      pools: {},
      usedTokens: cellTokens('used'),
      refusedTokens: cellTokens('refused'),
      formerCaps: caps.formerCaps(nowMs),
      complete: true,
      ...targetRowWriter.forFleet(),
      suspects: suspects.select({ sources: ['own', 'cell'], sinceMs: listingsSince(nowMs), withAllRefused: true, maxRows: MAX_EVIDENCE_ROWS }, nowMs),
      limits: limits({ sources: ['own', 'cell'], sinceMs: listingsSince(nowMs), withOthers: true }),
      streams: {},
      lostTargets: [],
      members: peers.listing(nowMs, MAX_LISTED_REMOTE_MEMBERS)
    }),
    countCellTokens: (organisation, tokens, kind) => { cellTotals[kind].set(organisation, tokens + (cellTotals[kind].get(organisation) ?? 0)) }
  }
}
