/**
 * Sends reports to peers and handles the reports of peers.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import * as peerMessages from './peer-messages.js'
import type * as metricsModule from './metrics.js'
import type * as peerPort from './peer-port.js'
import * as reportWriter from './report-writer.js'
import * as reportedTokens from './reported-tokens.js'
import * as targetRows from './target-rows.js'
import type * as targetStates from './target-states.js'

/** Sources and destinations of reports. */
export interface Options extends reportWriter.Options {
  readonly now: () => number
  readonly port: peerPort.PeerPort
  readonly log: eventLog.EventLog
  readonly metrics: metricsModule.Metrics
  readonly targetStates: Pick<targetStates.TargetStates, 'depart' | 'applyPause' | 'limitsChanged'>
  /** Called with the version of the document in each report. */
  readonly onDocumentVersion: (version: number) => void
  readonly applyTarget: (versioned: routing.targetRegistry.VersionedTarget, source: string) => void
}

/** Reports to and from peers. */
export interface PeerReports {
  /** Schedules a report because the state has changed. */
  readonly changed: () => void
  /** Sends reports to all cells out of turn. */
  readonly announce: () => void
  readonly handle: (report: peerMessages.Report) => void
  readonly close: () => void
}

/** Intervals of reports, ms. */
interface ReportIntervals {
  /** Time for which changes are collected into one report. */
  readonly collectMs: number
  /** Interval of reports without changes. */
  readonly idleMs: number
}

const SINGLE_CELL_INTERVALS: ReportIntervals = { collectMs: 40, idleMs: 200 }

/** Longer intervals, so that VMs with a small share of a core and of a network link keep most of it for requests. */
const MULTI_CELL_INTERVALS: ReportIntervals = { collectMs: 70, idleMs: 300 }

/** Collects the peers that are heard for the first time, and logs them together; many are when a fleet starts. */
function createHeardLog (log: eventLog.EventLog): { readonly add: (report: peerMessages.Report) => void, readonly flush: () => void } {
  let heard: readonly peerMessages.Report[] = []
  return {
    add: (report) => { heard = [...heard, report] },
    flush: () => {
      if (heard.length > 0) log.change('peers heard', { peers: heard.map(({ from, incarnation, documentVersion }) => [from, incarnation, documentVersion].join(' ')) })
      heard = []
    }
  }
}

/**
 * Starts to send reports to peers.
 *
 * @example
 * ```ts
 * const reports = createPeerReports(options)
 * reports.changed()
 * ```
 */
export function createPeerReports (options: Options): PeerReports {
  const { caps, now, peers, pools, streams, suspects, targetLimits } = options
  let closed = false
  /** Whether changes are being collected, so that a report will be sent soon. */
  let collecting = true
  let lastListingMs = -Infinity
  const heard = createHeardLog(options.log)
  const writer = reportWriter.createReportWriter(options)
  const tokenReports = reportedTokens.createReportedTokens({
    caps,
    countCellTokens: writer.countCellTokens,
    cellOf: (peer, nowMs) => peers.cellOf(peer, nowMs),
    intervalMs: (nowMs) => peers.fleetIntervalMs(nowMs)
  })
  let timer = setTimeout(send, SINGLE_CELL_INTERVALS.collectMs)

  function intervals (): ReportIntervals {
    return peers.isSingleCell(now()) ? SINGLE_CELL_INTERVALS : MULTI_CELL_INTERVALS
  }

  function sendTo (addresses: readonly string[], report: peerMessages.Report): void {
    if (addresses.length === 0) return
    const bytes = options.port.send(addresses, report)
    options.metrics.count('peer_reports_sent_total', { scope: report.scope }, addresses.length)
    options.metrics.count('peer_report_bytes_sent_total', { scope: report.scope }, bytes * addresses.length)
  }

  function send (): void {
    if (closed) return
    heard.flush()
    collecting = false
    const nowMs = now()
    const recipients = peers.recipients(nowMs)
    const withListing = nowMs - lastListingMs >= peers.fleetIntervalMs(nowMs)
    sendTo(recipients.cell, writer.writeForCell(withListing, nowMs))
    if (withListing) {
      lastListingMs = nowMs
      sendTo(recipients.fleet, writer.writeForFleet(nowMs))
    }
    timer = setTimeout(send, intervals().idleMs)
  }

  function changed (): void {
    if (collecting || closed) return
    collecting = true
    clearTimeout(timer)
    timer = setTimeout(send, intervals().collectMs)
  }

  function announce (): void {
    if (closed) return
    changed()
    const { fleet } = peers.recipients(now())
    if (fleet.length > 0) sendTo(fleet, writer.writeForFleet(now()))
  }

  function applyLimits (report: peerMessages.Report, nowMs: number): void {
    const changed = report.limits.map(peerMessages.limitStatementOf).filter((statement) => targetLimits.apply(statement, report.scope, nowMs))
    if (changed.length > 0) options.targetStates.limitsChanged(changed.map(({ target }) => target), report.from)
  }

  function handle (report: peerMessages.Report): void {
    const nowMs = now()
    const acceptance = peers.accept(report, nowMs)
    if (acceptance === 'old') return
    if (acceptance === 'new') heard.add(report)
    options.onDocumentVersion(report.documentVersion)
    tokenReports.apply(report, nowMs)
    suspects.applyReport(report.suspects, report.scope, nowMs)
    applyLimits(report, nowMs)
    streams.applyReport(report.streams, nowMs)
    options.rollouts?.applyReport(report)
    targetRows.applyTargetRows(report, options)
    if (report.scope !== 'cell') return
    pools.applyPeerLoads(report.from, report.pools)
    options.paths.applyReport(report.from, report.lostTargets)
  }

  return {
    changed,
    announce,
    handle,
    close: () => {
      closed = true
      clearTimeout(timer)
      options.port.close()
    }
  }
}
