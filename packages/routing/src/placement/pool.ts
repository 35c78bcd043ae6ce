/**
 * Queues the requests of one service and places them on its targets.
 *
 * Every daemon decides alone, based on the load that its peers report, so no request waits for another
 * daemon. There may be more requests than slots, at targets of different speeds. Queues at the engines are
 * kept short, because engines ignore priorities and a long queue there delays every request.
 *
 * @module
 */
import * as cell from '../cell.js'
import type * as document from '../document.js'
import * as targetConcurrency from '../limits/target-concurrency.js'
import * as adaptiveRound from './adaptive-round.js'
import * as loadRows from './load-rows.js'
import * as obstacle from './obstacle.js'
import * as poolEvent from './pool-event.js'
import type * as rateShare from '../limits/rate-share.js'
import * as slotLimits from '../limits/slot-limits.js'
import type * as targetPauses from '../limits/target-pauses.js'
import * as queueOrder from '../shares/queue-order.js'
import * as relocations from './relocations.js'
import * as requestSizes from './request-sizes.js'
import * as snapshotModule from './snapshot.js'
import * as targetChoice from './target-choice.js'
import * as targetRecord from './target-record.js'
import type * as versionGate from './version-gate.js'
import * as waitEstimate from './wait-estimate.js'
import * as waitingOrder from './waiting-order.js'
import * as workFactor from './work-factor.js'

/** Settings of a pool. */
export interface Options {
  readonly service: document.Service
  readonly random: () => number
  /** Pauses that targets have asked for; without them, there are none. */
  readonly pauses?: Pick<targetPauses.TargetPauses, 'untilMs' | 'maxInFlight'> | undefined
  /** Limits of the versions of targets; without them, all versions are served alike. */
  readonly versions?: versionGate.VersionGate | undefined
}

/** Initial estimate of the time that a request takes at an engine, ms. */
const INITIAL_SERVICE_TIME_MS = 900

/** Initial estimate of the time that a request takes at a plain service, ms. */
const INITIAL_PLAIN_SERVICE_TIME_MS = 60

/** Weight of a new sample in the moving average of service times. */
const SMOOTHING_FACTOR = 0.1

/** Time without data from a target with requests in flight after which it counts as silent, ms: an engine may take longer to begin. */
const ENGINE_SILENCE_MS = 1_000
const PLAIN_SILENCE_MS = 400

/** Interval at which measured speeds are reported, ms: they change little, and each report has all of them. */
const SPEED_REPORT_INTERVAL_MS = 1_000

type Decisions = Generator<poolEvent.PoolDecision, void>

/**
 * Queues and places the requests of one service. Each generator must be drained before the next event.
 *
 * @example
 * ```ts
 * const pool = new Pool({ service, random: Math.random })
 * for (const decision of pool.handle({ kind: 'arrived', request }, nowMs)) perform(decision)
 * ```
 */
export class Pool {
  private readonly records = new Map<string, targetRecord.TargetRecord>()
  private readonly placements = new Map<number, targetRecord.TargetRecord>()
  private readonly peerQueues = new Map<string, waitingOrder.PeerQueue>()
  private queue: readonly poolEvent.PlacementRequest[] = []
  private readonly relocations = new relocations.Relocations()
  private fleet = { reachable: 1, daemons: 1 }
  private service: document.Service
  private serviceTimeMs: number
  private hasBrittleTargets = false
  private hasWorkFactors = false
  private readonly sizes = requestSizes.createRequestSizes()
  private lastReportMs = -Infinity
  private previousReportMs = -Infinity
  private lastSpeedReportMs = -Infinity
  private cellPosition: rateShare.RingPosition = { index: 0, members: 1 }

  constructor (private readonly options: Options) {
    this.service = options.service
    this.serviceTimeMs = options.service.engine === undefined ? INITIAL_PLAIN_SERVICE_TIME_MS : INITIAL_SERVICE_TIME_MS
  }

  /** Number of requests in the queue. */
  get waiting (): number {
    return this.queue.length
  }

  /** Whether requests wait, in the queue or to go on at another target. */
  get needsTick (): boolean {
    return this.queue.length > 0 || this.relocations.size > 0
  }

  /** Applies changed settings of the service; requests that wait or are at targets stay. */
  adopt (service: document.Service): void {
    this.service = service
  }

  * handle (event: poolEvent.PoolEvent, nowMs: number): Decisions {
    this.apply(event, nowMs)
    if (!poolEvent.needsRound(event, this.placesByWork)) return
    yield * this.relocations.serve(() => this.snapshot(nowMs), (request, snapshot) => this.relocate(request, snapshot))
    yield * this.serveQueue(nowMs)
  }

  /** Returns the load to report to peers. */
  load (nowMs: number): poolEvent.PeerLoad {
    this.previousReportMs = this.lastReportMs
    this.lastReportMs = nowMs
    for (const record of this.records.values()) record.markReported()
    const inUse = [...this.records].filter(([, record]) => record.ownRequestIds.length > 0)
    const targets = Object.fromEntries(inUse.map(([id, record]) => [id, [record.ownRequestIds.length, record.ownPendingPrefillTokens()] as const]))
    const snapshot = this.snapshot(nowMs)
    return { targets, waiting: waitingOrder.waitingRows(this.queue, (request) => this.rankOf(request, snapshot), nowMs), ...this.hasWorkFactors ? { factors: loadRows.factorRows(this.records, nowMs) } : {}, ...this.learnsLimits ? { limits: targetConcurrency.report(this.records, this.slotConditions(), nowMs) } : {}, ...this.placesByWork ? this.reportedWork(nowMs) : {} }
  }

  private reportedWork (nowMs: number): loadRows.WorkRows {
    const withSpeeds = nowMs - this.lastSpeedReportMs >= SPEED_REPORT_INTERVAL_MS
    if (withSpeeds) this.lastSpeedReportMs = nowMs
    return loadRows.workRows(this.records, withSpeeds)
  }

  /** Returns the numbers of limits that this daemon learns for its cell. */
  countLimits (nowMs: number): targetConcurrency.LimitCounts {
    return targetConcurrency.countLimits(this.records, this.slotConditions(), nowMs)
  }

  /** Returns the requests at targets that have sent nothing for `stallMs`. */
  stalledRequests (stallMs: number, nowMs: number): readonly number[] {
    return [...this.records.values()].filter((record) => record.isStalled(stallMs, nowMs)).flatMap((record) => record.ownRequestIds)
  }

  /** Starts to measure the silence of targets anew, after a time in which nothing was read from them. */
  restartSilence (nowMs: number): void {
    for (const record of this.records.values()) record.restartSilence(nowMs)
  }

  /** Whether capacity is shared fairly, waits follow from work and limits are learned; otherwise the service is served as it was before. */
  get isAdaptive (): boolean {
    return this.service.scheduling === 'adaptive'
  }

  /** Minimum number of targets that a cell uses, with the parts of the cells; undefined if the service needs no parts. */
  get minTargets (): number | undefined {
    if (!this.isAdaptive) return undefined
    return this.isEngine ? cell.MIN_TARGETS_PER_CELL : cell.MIN_DIFFERENT_TARGETS_PER_CELL
  }

  /** Whether the targets say that they fall over when they have to reject many requests. */
  get isBrittle (): boolean {
    return this.hasBrittleTargets
  }

  /** Returns the targets that have requests in flight and have sent nothing for longer than is usual. */
  silentTargets (nowMs: number): readonly string[] {
    return [...this.records].filter(([, record]) => record.isStalled(this.silenceMs, nowMs)).map(([id]) => id)
  }

  private apply (event: poolEvent.PoolEvent, nowMs: number): void {
    switch (event.kind) {
      case 'arrived': this.arrive(event.request, nowMs); break
      case 'left':
        this.queue = this.queue.filter((request) => request.id !== event.id)
        this.relocations.remove(event.id)
        this.end(event.id, 'cancelled', nowMs)
        break
      case 'first-event':
      case 'next-event': this.recordEvent(event, nowMs); break
      case 'reading-resumed': this.placements.get(event.id)?.restartSilence(nowMs); break
      case 'ended': this.end(event.id, event.outcome, nowMs); break
      case 'load-reported': this.applyReportedLoad(event, nowMs); break
      case 'targets': this.setTargets(event, nowMs); break
      case 'brittle': this.hasBrittleTargets = event.isBrittle; break
      case 'peer-load': this.applyPeerLoad(event.peer, event.load, nowMs); break
      case 'fleet': this.fleet = event; break
      case 'tick': break
    }
  }

  private arrive (request: poolEvent.PlacementRequest, nowMs: number): void {
    if (request.relocation !== undefined) return this.relocations.add(request)
    this.queue = [...this.queue, request]
    this.sizes.record(request)
    if (!request.isRetry && request.excludedTargets.size === 0) this.options.versions?.arrived(nowMs)
  }

  /** Whether a target's slots are there for requests that any version may serve. */
  private isOffered ({ target }: targetRecord.TargetRecord, nowMs: number): boolean {
    return this.options.versions?.isWithheld(target.version, false, nowMs) !== true
  }

  private applyReportedLoad (event: Extract<poolEvent.PoolEvent, { readonly kind: 'load-reported' }>, nowMs: number): void {
    const record = this.records.get(event.target)
    record?.applyReportedLoad(event.running + event.waiting, nowMs)
    if (event.workFactor === undefined) return
    this.hasWorkFactors = true
    record?.workFactor.record(event.workFactor, nowMs)
  }

  private applyPeerLoad (peer: string, load: poolEvent.PeerLoad, nowMs: number): void {
    this.peerQueues.set(peer, { waiting: load.waiting, atMs: nowMs })
    const factors = load.factors ?? {}
    if (Object.keys(factors).length > 0) this.hasWorkFactors = true
    for (const [id, record] of this.records) {
      record.applyPeerLoad(peer, loadRows.entryOf(load.targets, id), nowMs, loadRows.entryOf(load.held, id))
      const speed = loadRows.entryOf(load.speeds, id)
      if (speed !== undefined) record.speed.applyPeer(peer, speed)
      if (this.isAdaptive) record.applyPeerSegments(loadRows.entryOf(load.prefixes, id) ?? [], nowMs)
      const reported = loadRows.entryOf(factors, id)
      if (reported !== undefined) record.workFactor.record(...workFactor.factorOf(reported, nowMs))
    }
    if (this.learnsLimits) targetConcurrency.applyPeer(this.records, peer, load.limits ?? {}, nowMs)
  }

  private recordEvent (event: Extract<poolEvent.PoolEvent, { readonly kind: 'first-event' | 'next-event' }>, nowMs: number): void {
    const record = this.placements.get(event.id)
    if (this.learnsLimits && record !== undefined) targetConcurrency.sampleEvent(record, event, nowMs)
    if (event.kind === 'first-event') record?.recordFirstEvent(event.id, nowMs)
    else record?.recordNextEvent(event.intervalMs, this.service.engine?.tokensPerEvent ?? 1, nowMs)
  }

  private setTargets ({ targetShares, cellPosition }: Extract<poolEvent.PoolEvent, { readonly kind: 'targets' }>, nowMs: number): void {
    this.cellPosition = cellPosition ?? this.cellPosition
    const listedIds = new Set(targetShares.map(({ target }) => target.id))
    for (const [id, record] of this.records) {
      if (listedIds.has(id)) continue
      if (record.ownRequestIds.length === 0) this.records.delete(id)
      else record.remove()
    }
    for (const targetShare of targetShares) {
      const { id } = targetShare.target
      const record = this.records.get(id)
      if (record === undefined) this.records.set(id, new targetRecord.TargetRecord(targetShare, nowMs, this.learnsLimits ? targetConcurrency.initialLimit(this.records, targetShare, nowMs) : undefined))
      else record.update(targetShare, nowMs)
    }
  }

  private end (id: number, outcome: poolEvent.RequestOutcome, nowMs: number): void {
    const record = this.placements.get(id)
    if (outcome === 'answered' && this.learnsLimits) record?.sampleTime(id, nowMs)
    const request = record?.end(id)
    this.placements.delete(id)
    if (record === undefined || request === undefined || outcome === 'cancelled') return
    if (outcome === 'rejected') {
      record.applyReportedLoad(record.target.slots, nowMs)
      return
    }
    if (outcome === 'answered') {
      const elapsedMs = nowMs - request.startMs
      this.serviceTimeMs += SMOOTHING_FACTOR * (elapsedMs - this.serviceTimeMs)
      record.recordResponse(elapsedMs)
      if (!this.isEngine) record.speed.recordFirst(elapsedMs, 0, record.workFactor.sampled(nowMs))
    }
    record.recordResult(outcome !== 'answered', nowMs)
    if (outcome === 'unreachable') record.eject(nowMs)
  }

  /** Whether the concurrency limits of the targets are learned: requests of a plain service are alike, so their times show what a target takes well. */
  private get learnsLimits (): boolean {
    return this.isAdaptive && !this.isEngine
  }

  /** Whether requests are placed and refused by the work ahead, which differs a hundredfold between requests of engines. */
  private get placesByWork (): boolean {
    return this.isAdaptive && this.isEngine
  }

  private get isEngine (): boolean {
    return this.service.engine !== undefined
  }

  private get silenceMs (): number {
    return this.isEngine ? ENGINE_SILENCE_MS : PLAIN_SILENCE_MS
  }

  private waitConditions (): waitEstimate.Conditions {
    return { isEngine: this.isEngine, serviceTimeMs: this.serviceTimeMs }
  }

  private slotConditions (): slotLimits.Conditions {
    const { learnsLimits, isEngine, isBrittle, cellPosition, serviceTimeMs, fleet } = this
    return { isEngine, isBrittle, learnsLimits, reachableDaemons: fleet.reachable, daemons: fleet.daemons, cellPosition, serviceTimeMs }
  }

  private snapshot (nowMs: number): snapshotModule.PoolSnapshot {
    const conditions = this.slotConditions()
    const candidates: snapshotModule.Candidate[] = []
    let fastest: targetRecord.TargetRecord | undefined
    let slots = 0
    for (const record of this.records.values()) {
      if (record.isRemoved) continue
      const { id } = record.target
      const { pauses } = this.options
      const allowedSends = Math.max(0, Math.min(record.allowedSends(nowMs), (pauses?.maxInFlight(id, nowMs) ?? Infinity) - record.ownRequestIds.length))
      const pauseMs = Math.max(0, (pauses?.untilMs(id, nowMs) ?? 0) - nowMs)
      candidates.push({ record, isEjected: record.isEjected(nowMs), inFlight: record.occupancy(nowMs), freeSlots: Math.min(allowedSends, slotLimits.freeSlotsAt(record, conditions, nowMs)), allowedSends, pauseMs })
      if (pauseMs === 0 && this.isOffered(record, nowMs)) slots += slotLimits.usableSlots(record, conditions, nowMs)
      if (fastest === undefined || record.estimate.firstEventMs(0) < fastest.estimate.firstEventMs(0)) fastest = record
    }
    const pauseMs = candidates.length === 0 ? 0 : Math.min(...candidates.map((candidate) => candidate.pauseMs))
    return { nowMs, candidates, fastest, slots, sendLimit: snapshotModule.sendLimitOf(candidates, nowMs), pauseMs }
  }

  private rankOf (request: poolEvent.PlacementRequest, snapshot: snapshotModule.PoolSnapshot): number {
    return waitingOrder.rankOf(request, waitingOrder.isLate(request, waitEstimate.expectedFirstMs(request, snapshot, this.waitConditions()), snapshot.nowMs))
  }

  private chooseTarget (request: poolEvent.PlacementOptions, { candidates, nowMs }: snapshotModule.PoolSnapshot, assigned: targetChoice.Assigned): targetRecord.TargetRecord | undefined {
    // Retries, too, keep to learned limits: beyond them, each would slow all others down.
    return targetChoice.chooseTarget(request, candidates, { isEngine: this.isEngine, isBrittle: this.isBrittle || this.learnsLimits, random: this.options.random, nowMs, versions: this.options.versions }, assigned)
  }

  private figures (request: poolEvent.PlacementRequest, position: waitEstimate.QueuePosition, snapshot: snapshotModule.PoolSnapshot, freeSlots: number): poolEvent.Figures {
    return {
      waitedMs: Math.round(snapshot.nowMs - request.arrivedMs),
      waiting: this.queue.length,
      ahead: position.ahead,
      freePlaces: freeSlots,
      expectedWaitMs: waitEstimate.reportedWaitMs(waitEstimate.expectedWaitMs(position, snapshot, this.waitConditions())),
      heardDaemons: this.fleet.reachable
    }
  }

  private countObstacles ({ candidates }: snapshotModule.PoolSnapshot): Readonly<Partial<Record<obstacle.Obstacle, number>>> {
    const removed = [...this.records.values()].filter(({ isRemoved }) => isRemoved)
    return obstacle.countObstacles([...candidates.map((candidate) => ({ ...candidate, isRemoved: false })), ...removed.map(() => obstacle.REMOVED)])
  }

  private sumAtPeers (countOf: (queue: waitingOrder.PeerQueue) => number): number {
    // Slots that this daemon owns are not shared with the requests of peers.
    return this.isBrittle ? 0 : [...this.peerQueues.values()].reduce((sum, queue) => sum + countOf(queue), 0)
  }

  private aheadAtPeers (request: poolEvent.PlacementRequest, rank: number, nowMs: number): number {
    return this.sumAtPeers((queue) => waitingOrder.aheadAtPeer(request, rank, queue, nowMs, this.placesByWork))
  }

  private createRound (snapshot: snapshotModule.PoolSnapshot): adaptiveRound.Round {
    const { reachable, daemons } = this.fleet
    return adaptiveRound.createRound(snapshot, {
      isEngine: this.isEngine,
      isBrittle: this.isBrittle,
      memoryTokens: this.service.engine?.memoryTokens,
      members: this.cellPosition.members,
      // A daemon that is cut off from its peers does not know what they have at the target.
      memoryShareOf: (record) => reachable * 2 <= daemons ? Math.min(record.part, reachable / daemons) : record.part,
      sizes: this.sizes,
      versions: this.options.versions,
      random: this.options.random
    })
  }

  private begin (request: poolEvent.PlacementRequest, record: targetRecord.TargetRecord, nowMs: number): void {
    this.options.versions?.sent(record.target.version, nowMs)
    record.begin(request.id, request.promptTokens, request.promptSegments, nowMs, request.outputTokens)
    if (this.learnsLimits) record.beginSample(request.id, nowMs)
    this.placements.set(request.id, record)
  }

  /** Places a request that goes on at another target, or refuses it; returns undefined if it waits for a free slot. */
  private relocate (request: poolEvent.PlacementRequest, snapshot: snapshotModule.PoolSnapshot): poolEvent.PoolDecision | undefined {
    const choose = (among: snapshotModule.PoolSnapshot): targetRecord.TargetRecord | undefined => {
      if (!this.placesByWork) return this.chooseTarget(request, among, new Map())
      const verdict = this.createRound(among).decide(request, { ahead: 0, unaware: 0, isReported: true })
      return verdict.kind === 'dispatch' ? verdict.record : undefined
    }
    const record = relocations.chooseRelocation(request, { snapshot, silenceMs: this.silenceMs, choose })
    const figures = this.figures(request, { aheadHere: 0, ahead: 0 }, snapshot, snapshotModule.freeSlotsOf(snapshot))
    if (record === undefined) return relocations.mayWait(request, snapshot) ? undefined : this.refusal(request, 'no-target', 0, snapshot, figures)
    this.begin(request, record, snapshot.nowMs)
    return { kind: 'dispatch', id: request.id, target: record.target, figures }
  }

  /** Serves the queue of an adaptive service. */
  private * serveByWork (nowMs: number): Decisions {
    const snapshot = this.snapshot(nowMs)
    const round = this.createRound(snapshot)
    const stillWaiting: poolEvent.PlacementRequest[] = []
    const rankOf = (request: poolEvent.PlacementRequest): number => waitingOrder.rankOf(request, waitingOrder.isLate(request, round.fastestFirstMs(request.promptTokens), nowMs))
    for (const [request, rank] of queueOrder.orderQueue(this.queue, rankOf)) {
      const aheadAtPeers = this.aheadAtPeers(request, rank, nowMs)
      const freePlaces = round.freeSlots()
      // Peers don't know of a request that has arrived since the last report, and use the free slots that they see.
      const unawareAtPeers = request.arrivedMs > this.lastReportMs ? this.sumAtPeers((queue) => waitingOrder.waitingAtPeer(queue, nowMs)) - aheadAtPeers : 0
      const isReported = request.arrivedMs <= this.previousReportMs
      const verdict = round.decide(request, { ahead: aheadAtPeers, unaware: unawareAtPeers, isReported })
      const figures: poolEvent.Figures = {
        waitedMs: Math.round(nowMs - request.arrivedMs),
        waiting: this.queue.length,
        ahead: stillWaiting.length + aheadAtPeers,
        freePlaces,
        expectedWaitMs: verdict.kind === 'dispatch' ? 0 : waitEstimate.reportedWaitMs(verdict.waitMs),
        heardDaemons: this.fleet.reachable
      }
      if (verdict.kind === 'dispatch') {
        this.begin(request, verdict.record, nowMs)
        yield { kind: 'dispatch', id: request.id, target: verdict.record.target, figures }
      } else if (!snapshot.candidates.some((candidate) => targetChoice.isOfVersion(candidate.record, request.version))) {
        yield this.refusal(request, snapshot.candidates.length === 0 ? 'no-target' : 'version-gone', 0, snapshot, figures)
      } else if (verdict.kind === 'refuse') {
        yield this.refusal(request, snapshot.pauseMs > 0 ? 'paused' : 'overloaded', Math.max(snapshot.pauseMs, verdict.waitMs), snapshot, figures)
      } else {
        stillWaiting.push(request)
      }
    }
    this.queue = stillWaiting
  }

  private refusal (request: poolEvent.PlacementRequest, reason: poolEvent.RefusalReason, waitMs: number, snapshot: snapshotModule.PoolSnapshot, figures: poolEvent.Figures): poolEvent.PoolDecision {
    const retryAfterMs = waitingOrder.retryAfterMs(request, waitMs, this.options.random(), snapshot.nowMs)
    return { kind: 'refuse', id: request.id, reason, retryAfterMs, figures: { ...figures, obstacles: this.countObstacles(snapshot) } }
  }

  private * serveQueue (nowMs: number): Decisions {
    if (this.queue.length === 0) return
    if (this.placesByWork) return yield * this.serveByWork(nowMs)
    const snapshot = this.snapshot(nowMs)
    const assigned = new Map<targetRecord.TargetRecord, number>()
    const stillWaiting: poolEvent.PlacementRequest[] = []
    const allEjected = snapshot.candidates.every((candidate) => candidate.isEjected)
    let freeSlots = snapshot.candidates.reduce((sum, candidate) => sum + ((candidate.isEjected && !allEjected) || !this.isOffered(candidate.record, nowMs) ? 0 : candidate.freeSlots), 0)
    for (const [request, rank] of queueOrder.orderQueue(this.queue, (request) => this.rankOf(request, snapshot))) {
      const position = { aheadHere: stillWaiting.length, ahead: stillWaiting.length + this.aheadAtPeers(request, rank, nowMs) }
      const record = request.isRetry || freeSlots > position.ahead ? this.chooseTarget(request, snapshot, assigned) : undefined
      const figures = this.figures(request, position, snapshot, freeSlots)
      if (record !== undefined) {
        freeSlots -= 1
        assigned.set(record, (assigned.get(record) ?? 0) + 1)
        this.begin(request, record, nowMs)
        yield { kind: 'dispatch', id: request.id, target: record.target, figures }
      } else if (!snapshot.candidates.some((candidate) => targetChoice.isOfVersion(candidate.record, request.version))) {
        yield this.refusal(request, snapshot.candidates.length === 0 ? 'no-target' : 'version-gone', 0, snapshot, figures)
      } else if (waitEstimate.mustRefuse(request, position, snapshot, this.waitConditions())) {
        const { pauseMs } = snapshot
        const waitMs = pauseMs > 0 ? pauseMs : waitEstimate.slotWaitMs(position.ahead, snapshot, this.waitConditions())
        yield this.refusal(request, pauseMs > 0 ? 'paused' : 'overloaded', waitMs, snapshot, figures)
      } else {
        stillWaiting.push(request)
      }
    }
    this.queue = stillWaiting
  }
}
