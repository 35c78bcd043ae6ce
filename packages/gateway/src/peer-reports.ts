/**
 * Tells peers what this daemon does and takes in what they tell.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import type * as knowledge from './knowledge.js'
import type * as metricsModule from './metrics.js'
import type * as peerPort from './peer-port.js'
import type * as peerTable from './peer-table.js'
import type * as servicePools from './service-pools.js'

/** What reports are made of and where they go. */
export interface Options {
  readonly own: Pick<knowledge.Report, 'from' | 'incarnation' | 'frontAddress' | 'availabilityZone'>
  readonly now: () => number
  readonly port: peerPort.PeerPort
  readonly peers: peerTable.PeerTable
  readonly pools: servicePools.ServicePools
  readonly caps: routing.tokenCap.TokenCaps
  readonly suspects: routing.suspects.Suspects
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly log: eventLog.EventLog
  readonly metrics: metricsModule.Metrics
  readonly isReady: () => boolean
  readonly documentVersion: () => number
  readonly learnTarget: (fact: routing.targetRegistry.Fact, source: string) => void
}

/** Reports to and from peers. */
export interface PeerReports {
  /** Says that there is something new to tell. */
  readonly changed: () => void
  readonly take: (report: knowledge.Report) => void
  readonly close: () => void
}

/** A target's state in one word, for logs. */
export function stateOf (target: routing.targetRegistry.Target | undefined): 'ready' | 'leaving' | 'gone' {
  if (target === undefined) return 'gone'
  return target.leaving ? 'leaving' : 'ready'
}

/** Time over which changes are collected into one report, ms. */
const COLLECT_MS = 40

/** Interval of reports without a change, ms. */
const IDLE_INTERVAL_MS = 200

/** Age up to which crashes are told, ms. */
const CRASH_NEWS_MS = 10_000

/**
 * Starts to tell peers.
 *
 * @example
 * ```ts
 * const reports = createPeerReports(options)
 * reports.changed()
 * ```
 */
export function createPeerReports (options: Options): PeerReports {
  const { caps, now, peers, pools, registry, suspects } = options
  let sequence = 0
  let closed = false
  /** Whether changes are being collected, so that a report will go soon. */
  let collecting = true
  let timer = setTimeout(send, COLLECT_MS)

  function leavingTargets (): readonly (readonly [string, number])[] {
    return registry.facts().filter((fact) => fact.target?.leaving === true).map((fact) => [fact.id, fact.revision] as const)
  }

  function send (): void {
    if (closed) return
    collecting = false
    const nowMs = now()
    sequence += 1
    options.port.send(peers.addresses(), {
      ...options.own,
      sequence,
      ready: options.isReady(),
      documentVersion: options.documentVersion(),
      pools: pools.loads(),
      usedTokens: Object.fromEntries(caps.used()),
      leavingTargets: leavingTargets(),
      crashes: suspects.recent(nowMs, CRASH_NEWS_MS),
      peers: peers.heard(nowMs).map((peer) => peer.report.from)
    })
    options.metrics.count('peer_reports_sent_total')
    timer = setTimeout(send, IDLE_INTERVAL_MS)
  }

  function changed (): void {
    if (collecting || closed) return
    collecting = true
    clearTimeout(timer)
    timer = setTimeout(send, COLLECT_MS)
  }

  function takeLeaving (report: knowledge.Report): void {
    if (report.leavingTargets.length === 0) return
    const facts = new Map(registry.facts().map((fact) => [fact.id, fact]))
    for (const [id, revision] of report.leavingTargets) {
      const known = facts.get(id)
      if (known?.target !== undefined) options.learnTarget({ id, revision, target: { ...known.target, leaving: true } }, report.from)
    }
  }

  function take (report: knowledge.Report): void {
    const nowMs = now()
    const taken = peers.take(report, nowMs)
    if (taken === undefined) return
    const { before } = taken
    if (before === undefined) options.log.change('peer heard', { peer: report.from, incarnation: report.incarnation, documentVersion: report.documentVersion })
    for (const [organisation, tokens] of Object.entries(report.usedTokens)) {
      const known = before?.usedTokens[organisation] ?? 0
      // What a peer used before it was first heard can't be placed in time.
      if (before !== undefined && tokens > known) caps.takeReported(organisation, tokens - known, nowMs)
    }
    for (const [content, crash] of report.crashes) suspects.record(content, crash, nowMs)
    takeLeaving(report)
    pools.takePeer(report.from, report.pools)
  }

  return {
    changed,
    take,
    close: () => {
      closed = true
      clearTimeout(timer)
      options.port.close()
    }
  }
}
