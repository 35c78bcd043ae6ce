/**
 * Connects the routing core, the listeners and the peers of one daemon.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import * as admission from './admission.js'
import * as capLog from './cap-log.js'
import * as connectionLimit from './connection-limit.js'
import type * as contextModule from './context.js'
import * as endpoint from './endpoint.js'
import * as documentInForce from './document-in-force.js'
import * as eventLog from './event-log.js'
import * as frontServer from './front-server.js'
import type * as gatewayOptions from './gateway-options.js'
import * as gracefulStop from './graceful-stop.js'
import * as incarnation from './incarnation.js'
import * as loopDelay from './loop-delay.js'
import type * as peerMessages from './peer-messages.js'
import * as metricsModule from './metrics.js'
import * as peerPort from './peer-port.js'
import * as peerReports from './peer-reports.js'
import * as peerTable from './peer-table.js'
import * as reachLog from './reach-log.js'
import * as rolloutsModule from './rollouts.js'
import type * as rolloutStore from './rollout-store.js'
import * as servicePools from './service-pools.js'
import * as streamRecords from './stream-records.js'
import * as targetChanges from './target-changes.js'
import * as targetClient from './target-client.js'
import * as targetRoutes from './target-routes.js'
import * as targetStates from './target-states.js'
import * as unexpectedErrors from './unexpected-errors.js'

/** Interval of the ticks of the pools, ms. */
const TICK_MS = 30

/** Interval at which targets and the state of the fleet are refreshed, ms. */
const REFRESH_MS = 100

/**
 * The gateway of one daemon: its state and the operations on it.
 *
 * @example
 * ```ts
 * const gateway = new Gateway(options)
 * await gateway.open()
 * gateway.adopt(document, 'store')
 * ```
 */
export class Gateway {
  readonly metrics = metricsModule.createMetrics()
  private readonly now = (): number => performance.now()
  readonly log: eventLog.EventLog
  private readonly registry = routing.targetRegistry.createTargetRegistry()
  /** Returns the position of the store up to which the changes of targets are applied. */
  readonly targetsPosition = this.registry.position
  private readonly suspects = new routing.suspects.Suspects((refused, isRefused) => { this.logSuspect(refused, isRefused) })
  private readonly targetPauses = routing.targetPauses.createTargetPauses(Math.random)
  private readonly targetLimits = routing.targetLimits.createTargetLimits((target) => this.registry.startOf(target))
  private readonly incarnation = incarnation.createIncarnation()
  private readonly inForce: documentInForce.DocumentInForce
  private readonly streamRecords: streamRecords.StreamRecords
  private readonly peers: peerTable.PeerTable
  private readonly caps: routing.tokenCap.TokenCaps
  private readonly budget: routing.retryBudget.RetryBudget
  private tolerances: gatewayOptions.Tolerances
  private readonly clients: targetClient.TargetClients
  readonly routes: targetRoutes.TargetRoutes
  private readonly targetStates: targetStates.TargetStates
  private readonly targetChanges: targetChanges.TargetChanges
  private readonly rollouts: rolloutsModule.Rollouts | undefined
  private readonly pools: servicePools.ServicePools
  private readonly context: contextModule.Context
  private readonly timers: NodeJS.Timeout[] = []
  private readonly maxRemainingMs = admission.createMaxRemaining()
  private reports: peerReports.PeerReports | undefined
  private port: peerPort.PeerPort | undefined
  private front: frontServer.FrontServer | undefined
  private readonly gracefulStop: gracefulStop.GracefulStop
  private stopped: Promise<void> | undefined
  private closed = false
  private readonly loopDelay = loopDelay.createLoopDelay({ intervalMs: TICK_MS, metrics: this.metrics, onDelayed: (delayMs) => { this.log.change('event loop delayed', { delayMs, open: this.openRequests() }) } })
  private readonly logReach: (live: number, members: number) => void

  constructor (private readonly options: gatewayOptions.Options) {
    this.log = eventLog.openEventLog({
      fields: { daemon: options.name },
      now: this.now,
      output: process.stdout,
      countDropped: (lines) => { this.metrics.count('log_lines_dropped_total', {}, lines) }
    })
    this.logReach = reachLog.createReachLog(this.log)
    this.inForce = documentInForce.createDocumentInForce({ now: this.now, log: this.log, metrics: this.metrics })
    this.peers = new peerTable.PeerTable(options.peerAddress, Math.random)
    this.tolerances = options.tolerances
    this.caps = routing.tokenCap.createTokenCaps(options.tolerances.tokenCaps, capLog.createCapLog(this.log, this.metrics))
    this.budget = routing.retryBudget.createRetryBudget(options.tolerances.retryBudget)
    this.clients = targetClient.openTargetClients({
      connectionLimit: (address) => connectionLimit.connectionLimit(address, { targets: this.registry.versionedTargets(), services: this.inForce.document()?.services ?? [], daemons: this.daemons() }),
      countConnection: () => { this.metrics.count('target_connections_total') }
    })
    this.routes = targetRoutes.createTargetRoutes({
      now: this.now,
      random: Math.random,
      registry: this.registry,
      pauses: this.targetPauses,
      peers: this.peers,
      clients: this.clients,
      log: this.log,
      metrics: this.metrics,
      changed: () => { this.reports?.changed() }
    })
    this.rollouts = options.rollouts === undefined ? undefined : this.createRollouts(options.rollouts)
    this.pools = servicePools.createServicePools({
      now: this.now,
      random: Math.random,
      registry: this.registry,
      limitOf: this.targetLimits.limitOf,
      pauses: this.targetPauses,
      ...servicePools.createStateLog(this.log),
      versionsOf: this.rollouts?.versionsOf,
      onSilent: this.routes.paths.suspect,
      changed: () => { this.reports?.changed() }
    })
    this.targetStates = targetStates.createTargetStates({
      registry: this.registry,
      limits: this.targetLimits,
      pauses: this.targetPauses,
      address: options.peerAddress,
      now: this.now,
      isLost: this.routes.paths.isLost,
      log: this.log,
      metrics: this.metrics,
      changed: () => {
        this.refreshTargets()
        this.reports?.changed()
      }
    })
    this.gracefulStop = gracefulStop.createGracefulStop({
      now: this.now,
      graceMs: () => this.tolerances.graceMs,
      openRequests: () => this.openRequests() + this.routes.carried(),
      front: () => this.front,
      onBegin: () => { this.reports?.changed() },
      log: this.log
    })
    this.streamRecords = this.createStreamRecords()
    this.targetChanges = targetChanges.createTargetChanges({
      log: this.log,
      apply: () => {
        this.streamRecords.observe(this.registry.versionedTargets())
        this.refreshTargets()
      },
      defer: (run) => { setImmediate(run) }
    })
    this.context = this.createContext()
  }

  /** Opens the listeners and starts sending reports to peers. */
  async open (): Promise<void> {
    const { frontAddress, peerAddress } = this.options
    const startMs = Math.round(this.now())
    const port = await peerPort.openPeerPort({
      address: peerAddress,
      onReport: (report) => { this.reports?.handle(report) },
      onQuestion: (question) => { this.streamRecords.directory.handleQuestion(question) },
      onAnswer: (answer) => { this.streamRecords.directory.handleAnswer(answer) },
      countMalformed: () => { this.metrics.count('peer_messages_malformed_total') },
      onError: (message, error) => { unexpectedErrors.record(this, error, { message }) }
    })
    this.port = port
    this.reports = this.createReports(port)
    this.front = await frontServer.openFrontServer(this.context, frontAddress)
    this.loopDelay.start(this.now())
    this.timers.push(setInterval(() => { this.tick() }, TICK_MS), setInterval(() => { this.refresh() }, REFRESH_MS))
    this.log.change('started', { startMs, frontAddress, peerAddress })
  }

  /** Applies changed settings; requests in flight continue. */
  configure (tolerances: gatewayOptions.Tolerances): void {
    this.tolerances = tolerances
    this.caps.configure(tolerances.tokenCaps)
    this.budget.configure(tolerances.retryBudget)
    this.log.change('settings reloaded', { ...tolerances })
  }

  /** Adopts a document if it is newer than the one in force. */
  adopt (newDocument: routing.document.RoutingDocument, source: string): void {
    if (!this.inForce.adopt(newDocument, source)) return
    this.caps.adopt(newDocument.organisations, this.now(), newDocument.version)
    this.pools.adopt(newDocument.services)
    this.front?.adoptLimits()
    this.refreshTargets()
    this.reports?.changed()
  }

  /** Applies a target's state from a peer. */
  applyTarget (versioned: routing.targetRegistry.VersionedTarget, peer: string): void {
    if (this.registry.apply(versioned, this.now())) this.handleTargetChange(versioned, peer)
  }

  /** Applies the next change from the watch on the store. */
  applyStoreTarget (versioned: routing.targetRegistry.VersionedTarget): void {
    if (this.registry.applyChange(versioned, this.now())) this.handleTargetChange(versioned, 'store')
    this.registry.advanceTo(versioned)
  }

  /** Applies a listing of all targets. */
  applyTargetListing (listing: routing.targetRegistry.TargetListing): void {
    this.registry.applyListing(listing, this.now())
    const { era, revision, targets, isProvisional } = listing
    this.log.change('targets listed', { targets: targets.length, era, revision, isProvisional })
    this.streamRecords.observe(this.registry.versionedTargets())
    this.refreshTargets()
  }

  /** Takes an operator's order to roll out a version. */
  takeRolloutOrder (order: rolloutStore.Order): void {
    this.rollouts?.takeOrder(order)
  }

  /** Adds an endpoint at which a peer may be reachable; one that can't be is logged and left out. */
  addPeer (address: string): void {
    if (endpoint.isEndpoint(address)) this.peers.discover(address, this.now())
    else this.log.change('peer address unreadable', { address: endpoint.shortened(address) })
  }

  isReady (): boolean {
    return this.inForce.document() !== undefined && this.gracefulStop.sinceMs() === undefined && this.registry.versionedTargets().some((versioned) => versioned.target !== undefined)
  }

  private isAdvertised (): boolean {
    return this.isReady() && !this.routes.isLeftToPeers()
  }

  /** Returns the front addresses that callers should use. */
  addresses (): readonly string[] {
    const others = this.peers.frontAddresses(this.now())
    return this.isAdvertised() || others.length === 0 ? [this.options.frontAddress, ...others] : others
  }

  /** Returns up to `maxAddresses` front addresses for the callers of an availability zone; every daemon returns the same ones. */
  addressesFor (availabilityZone: string, maxAddresses: number): readonly string[] {
    const availabilityZones = new Set(this.registry.versionedTargets().flatMap(({ target }) => target === undefined ? [] : [target.availabilityZone]))
    return routing.cell.selectNames(this.addresses(), { group: availabilityZone, groups: [...availabilityZones], maxNames: maxAddresses })
  }

  /** Returns the state for peers that can't reach the store. */
  sharedState (): peerMessages.SharedState {
    return { document: this.inForce.document(), targetsPosition: this.registry.position(), targets: this.registry.versionedTargets() }
  }

  /** Returns the endpoints of the peers that hold the targets as of a later position, and the first one's position. */
  peersWithLaterTargets (): peerTable.LaterTargets {
    return this.peers.withLaterTargets(this.registry.position(), this.now())
  }

  /** Applies the state of a peer. */
  applySharedState (state: peerMessages.SharedState, peer: string): void {
    if (state.document !== undefined) this.adopt(state.document, peer)
    for (const versioned of state.targets) this.applyTarget(versioned, peer)
    this.registry.advanceTo(state.targetsPosition)
  }

  /** Returns the endpoints of reachable peers in the cell. */
  reachablePeers (): readonly string[] {
    return this.peers.reachablePeers(this.now()).map((peer) => peer.report.from)
  }

  /** Returns the endpoints of the peers with a newer document, the most recently heard first. */
  peersWithNewerDocument (): readonly string[] {
    const version = this.inForce.version()
    return this.peers.recentPeers(this.now()).filter((peer) => peer.report.documentVersion > version).map((peer) => peer.report.from)
  }

  /** Returns for how long a watch of the store may wait without a change, ms. */
  watchWaitMs (): number {
    return this.peers.watchWaitMs(this.now())
  }

  /** Whether a request has arrived since the start of the process. */
  hasServed (): boolean {
    return this.front?.hasServed() ?? false
  }

  /** Stops gracefully within the grace period; settles when the process may exit. */
  async stop (): Promise<void> {
    this.stopped ??= this.gracefulStop.run().then(() => this.close())
    await this.stopped
  }

  /** Closes everything immediately. */
  async close (): Promise<void> {
    if (this.closed) return
    this.closed = true
    for (const timer of this.timers) clearInterval(timer)
    for (const part of [this.reports, this.front, this.routes]) part?.close()
    await this.clients.close()
  }

  private handleTargetChange (versioned: routing.targetRegistry.VersionedTarget, source: string): void {
    this.targetChanges.add(versioned, source)
    if (versioned.target?.leaving === false) return
    this.refreshTargets()
    this.reports?.changed()
  }

  private tick (): void {
    const nowMs = this.now()
    this.loopDelay.record(nowMs)
    this.pools.tick()
    this.routes.probe()
  }

  private daemons (): number {
    return Math.max(routing.rateShare.MIN_ASSUMED_MEMBERS, this.peers.memberCount(this.now()))
  }

  private openRequests (): number {
    return this.front?.open() ?? 0
  }

  private refreshTargets (): void {
    this.rollouts?.refreshTargets()
    this.pools.refreshTargets(this.peers.place(this.now()), this.now())
  }

  private refresh (): void {
    const nowMs = this.now()
    const [live, members] = [this.peers.liveCount(nowMs), this.peers.memberCount(nowMs)]
    this.pools.setFleet(live, members)
    this.caps.setReach(this.peers.reach(nowMs))
    this.caps.tick(nowMs)
    this.refreshTargets()
    this.targetLimits.retain(new Set(this.registry.versionedTargets().flatMap(({ id, target }) => target === undefined ? [] : [id])), nowMs)
    this.routes.retain()
    this.streamRecords.tick()
    this.rollouts?.tick()
    this.logReach(live, members)
    const peerGauges = { peers_live: live - 1, peers_in_cell: this.peers.reachablePeers(nowMs).length, targets_limited: this.targetLimits.limitedCount() }
    const gauges = { ...peerGauges, requests_waiting: this.pools.waiting(), requests_open: this.openRequests(), ...this.pools.limitGauges() }
    for (const [name, value] of Object.entries(gauges)) this.metrics.gauge(name, value)
  }

  private logSuspect ({ trait, lastCrashMs, refusals }: routing.suspects.RefusedTrait, isRefused: boolean): void {
    this.log.change(isRefused ? 'trait refused' : 'trait no longer refused', { trait, sinceCrashMs: Math.round(this.now() - lastCrashMs), refusals })
    if (isRefused) this.metrics.count('traits_refused_total')
    this.reports?.changed()
  }

  private createStreamRecords (): streamRecords.StreamRecords {
    return streamRecords.createStreamRecords({
      address: this.options.peerAddress,
      incarnation: this.incarnation,
      isFirstStart: this.options.isFirstStart === true,
      records: this.options.records,
      listTargets: this.options.listTargets,
      now: this.now,
      unixNow: Date.now,
      peers: this.peers,
      caps: this.caps,
      log: this.log,
      metrics: this.metrics,
      ask: (addresses, question) => { this.port?.ask(addresses, question) },
      answer: (address, answer) => { this.port?.answer(address, answer) },
      changed: () => { this.reports?.changed() }
    })
  }

  private createRollouts (settings: rolloutsModule.Settings): rolloutsModule.Rollouts {
    const { now, registry, log, metrics, peers } = this
    return rolloutsModule.createRollouts({
      ...{ ...settings, now, unixNow: Date.now, random: Math.random, registry, log, metrics, isArbiterOf: (name: string) => peers.isArbiterOf(name, now()), cellOf: (peer: string) => peers.cellOf(peer, now()) },
      services: () => this.inForce.document()?.services ?? [],
      loads: () => this.pools.loads(),
      announce: () => { this.reports?.announce() }
    })
  }

  private createContext (): contextModule.Context {
    return {
      now: this.now,
      random: Math.random,
      headerNames: this.options.headerNames,
      log: this.log,
      metrics: this.metrics,
      clients: this.clients,
      pools: this.pools,
      caps: this.caps,
      budget: this.budget,
      suspects: this.suspects,
      targetLimits: this.targetLimits,
      streams: this.streamRecords.directory,
      paths: this.routes,
      rollouts: this.rollouts,
      targets: this.targetStates,
      onLimitsChanged: this.targetStates.limitsChanged,
      isArbiterOf: (trait) => this.peers.isArbiterOf(trait, this.now()),
      table: this.inForce.table,
      resumableServices: this.inForce.resumableServices,
      limits: this.inForce.limits,
      daemons: () => this.daemons(),
      stopping: () => this.gracefulStop.sinceMs() !== undefined,
      sinceStopMs: this.gracefulStop.sinceMs,
      graceMs: () => this.tolerances.graceMs,
      maxRemainingMs: this.maxRemainingMs
    }
  }

  private createReports (port: peerPort.PeerPort): peerReports.PeerReports {
    const { peerAddress, frontAddress } = this.options
    return peerReports.createPeerReports({
      sender: { from: peerAddress, incarnation: this.incarnation, frontAddress },
      now: this.now,
      port,
      peers: this.peers,
      pools: this.pools,
      caps: this.caps,
      suspects: this.suspects,
      targetLimits: this.targetLimits,
      targetPauses: this.targetPauses,
      streams: this.streamRecords.streams,
      targetStates: this.targetStates,
      registry: this.registry,
      paths: this.routes.paths,
      rollouts: this.rollouts,
      log: this.log,
      metrics: this.metrics,
      isReady: () => this.isAdvertised(),
      documentVersion: this.inForce.version,
      onDocumentVersion: this.inForce.hear,
      applyTarget: (versioned, source) => { this.applyTarget(versioned, source) }
    })
  }
}
