/**
 * Queues the requests of one service and places them on its targets.
 *
 * Every daemon decides alone, based on the load that its peers report, so no request waits for another
 * daemon. There may be more requests than slots, at targets of different speeds. Queues at the engines are
 * kept short, because engines ignore priorities and a long queue there delays every request.
 *
 * @module
 */
import type * as document from './document.js'
import * as obstacle from './obstacle.js'
import type * as poolEvent from './pool-event.js'
import type * as rateShare from './rate-share.js'
import * as slotShare from './slot-share.js'
import type * as targetPauses from './target-pauses.js'
import * as targetRecord from './target-record.js'
import * as waitingOrder from './waiting-order.js'

/** Settings of a pool. */
export interface Options {
  readonly service: document.Service
  readonly random: () => number
  /** Pauses that targets have asked for; without them, there are none. */
  readonly pauses?: Pick<targetPauses.TargetPauses, 'untilMs' | 'maxInFlight'> | undefined
}

/** Weight of the generation time relative to the time to the first event when targets are scored. */
const GENERATION_WEIGHT = 0.15

/** Maximum share of a request's remaining time that its generation may take at a target. */
const MAX_GENERATION_SHARE = 0.9

/** Score penalty for a target at which every request fails, ms. */
const FAILURE_PENALTY_MS = 400

/** Initial estimate of the time that a request takes at an engine, ms. */
const INITIAL_SERVICE_TIME_MS = 900

/** Initial estimate of the time that a request takes at a plain service, ms. */
const INITIAL_PLAIN_SERVICE_TIME_MS = 60

/** Expected time of a plain response when deciding whether a request is late, ms. */
const EXPECTED_PLAIN_RESPONSE_MS = 30

/** Requests queued at an engine, as a share of its slots; they keep it busy until the report of a free slot arrives. */
const ENGINE_QUEUE_SHARE = 0.17

/** Factor on a daemon's fair share of a target's slots while at most half of the daemons are reachable. */
const ISOLATED_SHARE_FACTOR = 1.5

/** Minimum number of requests that a daemon, or its cell, may have at a target. */
const MIN_CONCURRENCY_LIMIT = 2

/** Weight of a new sample in the moving average of service times. */
const SMOOTHING_FACTOR = 0.1

/** Time without data from a target with requests in flight after which it counts as silent, ms: an engine may take longer to begin. */
const ENGINE_SILENCE_MS = 1_000
const PLAIN_SILENCE_MS = 400

const MS_PER_S = 1_000

/** Rank of retries and resumed streams, which lose what was generated if they are refused. */
const FIRST_RANK = -1

/** Maximum expected wait in the figures, ms. */
const MAX_REPORTED_WAIT_MS = 1_000_000

/** A target that may receive new requests. */
interface Candidate {
  readonly record: targetRecord.TargetRecord
  readonly isEjected: boolean
  readonly inFlight: number
  readonly freeSlots: number
  /** Requests that this daemon may send, by the limit of the target's request rate and the pause that it asks for. */
  readonly allowedSends: number
  /** Time until the pause that the target asks for ends, ms; 0 if it asks for none. */
  readonly pauseMs: number
}

/** State of the targets at one moment, used for placement. */
interface PoolSnapshot {
  readonly nowMs: number
  readonly candidates: readonly Candidate[]
  /** The target with the shortest time to the first event. */
  readonly fastest: targetRecord.TargetRecord | undefined
  /** Slots that may be used; a limited target has only those that its request rate fills. */
  readonly slots: number
  readonly sendLimit: SendLimit | undefined
  /** Time until the first pause ends if all targets have asked for one, ms; 0 otherwise. */
  readonly pauseMs: number
}

/** What this daemon may send while all usable targets are limited. */
interface SendLimit {
  readonly requestsPerS: number
  /** Time until the next request may be sent, ms. */
  readonly waitMs: number
}

/** Requests that are placed before another: at this daemon alone, and here and at peers. */
interface QueuePosition {
  readonly aheadHere: number
  readonly ahead: number
}

function isOfVersion ({ target }: targetRecord.TargetRecord, version: string | undefined): boolean {
  return version === undefined || target.version === version
}

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
  private fleet = { reachable: 1, daemons: 1 }
  private service: document.Service
  private serviceTimeMs: number
  private hasBrittleTargets = false
  private cellPosition: rateShare.RingPosition = { index: 0, members: 1 }

  constructor (private readonly options: Options) {
    this.service = options.service
    this.serviceTimeMs = options.service.engine === undefined ? INITIAL_PLAIN_SERVICE_TIME_MS : INITIAL_SERVICE_TIME_MS
  }

  /** Number of requests in the queue. */
  get waiting (): number {
    return this.queue.length
  }

  /** Applies changed settings of the service; requests that wait or are at targets stay. */
  adopt (service: document.Service): void {
    this.service = service
  }

  * handle (event: poolEvent.PoolEvent, nowMs: number): Decisions {
    this.apply(event, nowMs)
    if (event.kind === 'next-event' || event.kind === 'first-event' || event.kind === 'load-reported') return
    yield * this.serveQueue(nowMs)
  }

  /** Returns the load to report to peers. */
  load (nowMs: number): poolEvent.PeerLoad {
    const inUse = [...this.records].filter(([, record]) => record.ownRequestIds.length > 0)
    const targets = Object.fromEntries(inUse.map(([id, record]) => [id, [record.ownRequestIds.length, record.ownPendingPrefillTokens()] as const]))
    const waiting = new Map<number, readonly [number, number, number]>()
    const snapshot = this.snapshot(nowMs)
    for (const request of this.queue) {
      const rank = this.rankOf(request, snapshot)
      const [, count, oldestMs] = waiting.get(rank) ?? [0, 0, 0]
      waiting.set(rank, [rank, count + 1, Math.max(oldestMs, Math.round(nowMs - request.arrivedMs))])
    }
    return { targets, waiting: [...waiting.values()] }
  }

  /** Returns the requests at targets that have sent nothing for `stallMs`. */
  stalledRequests (stallMs: number, nowMs: number): readonly number[] {
    return [...this.records.values()].filter((record) => record.isStalled(stallMs, nowMs)).flatMap((record) => record.ownRequestIds)
  }

  /** Returns whether a request could be placed now at a target that it has not left and that has sent something within `stallMs`. */
  hasAlternative (request: poolEvent.PlacementOptions, stallMs: number, nowMs: number): boolean {
    const snapshot = this.snapshot(nowMs)
    const candidates = snapshot.candidates.filter(({ record, isEjected }) => !isEjected && !request.leftTargets.has(record.target.id) && !record.isStalled(stallMs, nowMs))
    return this.chooseTarget(request, { ...snapshot, candidates }, new Map()) !== undefined
  }

  /** Starts to measure the silence of targets anew, after a time in which nothing was read from them. */
  restartSilence (nowMs: number): void {
    for (const record of this.records.values()) record.restartSilence(nowMs)
  }

  /** Whether the targets say that they fall over when they have to reject many requests. */
  get isBrittle (): boolean {
    return this.hasBrittleTargets
  }

  /** Returns the targets that have requests in flight and have sent nothing for longer than is usual. */
  silentTargets (nowMs: number): readonly string[] {
    const silenceMs = this.service.engine === undefined ? PLAIN_SILENCE_MS : ENGINE_SILENCE_MS
    return [...this.records].filter(([, record]) => record.isStalled(silenceMs, nowMs)).map(([id]) => id)
  }

  private apply (event: poolEvent.PoolEvent, nowMs: number): void {
    switch (event.kind) {
      case 'arrived': this.queue = [...this.queue, event.request]; break
      case 'left':
        this.queue = this.queue.filter((request) => request.id !== event.id)
        this.end(event.id, 'cancelled', nowMs)
        break
      case 'first-event':
      case 'next-event': this.recordEvent(event, nowMs); break
      case 'ended': this.end(event.id, event.outcome, nowMs); break
      case 'load-reported': this.records.get(event.target)?.applyReportedLoad(event.running + event.waiting, nowMs); break
      case 'targets': this.setTargets(event, nowMs); break
      case 'brittle': this.hasBrittleTargets = event.isBrittle; break
      case 'peer-load': this.applyPeerLoad(event.peer, event.load, nowMs); break
      case 'fleet': this.fleet = event; break
      case 'tick': break
    }
  }

  private applyPeerLoad (peer: string, load: poolEvent.PeerLoad, nowMs: number): void {
    this.peerQueues.set(peer, { waiting: load.waiting, atMs: nowMs })
    for (const [id, record] of this.records) record.applyPeerLoad(peer, Object.hasOwn(load.targets, id) ? load.targets[id] : undefined, nowMs)
  }

  private recordEvent (event: Extract<poolEvent.PoolEvent, { readonly kind: 'first-event' | 'next-event' }>, nowMs: number): void {
    const record = this.placements.get(event.id)
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
      if (record === undefined) this.records.set(id, new targetRecord.TargetRecord(targetShare, nowMs))
      else record.update(targetShare, nowMs)
    }
  }

  private end (id: number, outcome: poolEvent.RequestOutcome, nowMs: number): void {
    const record = this.placements.get(id)
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
    }
    record.recordResult(outcome !== 'answered', nowMs)
    if (outcome === 'unreachable') record.eject(nowMs)
  }

  /** Returns the maximum number of requests at a target from all daemons. */
  private concurrencyLimit (record: targetRecord.TargetRecord): number {
    const { slots } = record.target
    return this.service.engine === undefined ? slots : slots + Math.floor(ENGINE_QUEUE_SHARE * slots)
  }

  /** Returns the maximum number of requests at a target from this daemon and the peers whose reports it receives. */
  private cellConcurrencyLimit (record: targetRecord.TargetRecord): number {
    const { slots } = record.target
    const { reachable, daemons } = this.fleet
    if (reachable * 2 <= daemons) return Math.min(slots, Math.max(MIN_CONCURRENCY_LIMIT, Math.ceil(ISOLATED_SHARE_FACTOR * slots * reachable / daemons)))
    return record.share === 1 ? this.concurrencyLimit(record) : Math.max(MIN_CONCURRENCY_LIMIT, Math.round(record.share * this.concurrencyLimit(record)))
  }

  private ownSlots ({ target, share }: targetRecord.TargetRecord): number {
    return slotShare.ownSlots({ target: target.id, slots: share * target.slots }, this.cellPosition)
  }

  private freeSlotsAt (record: targetRecord.TargetRecord, nowMs: number): number {
    if (this.isBrittle) return Math.max(0, this.ownSlots(record) - record.ownRequestIds.length)
    const availableByReports = this.cellConcurrencyLimit(record) - record.peerReportedOccupancy(nowMs)
    return Math.max(0, Math.min(availableByReports, this.concurrencyLimit(record) - record.targetReportedOccupancy(nowMs)))
  }

  /** Returns the slots that a target fills with the requests that its rate allows. */
  private usableSlots (record: targetRecord.TargetRecord): number {
    const { target, share, limit } = record
    if (this.isBrittle) return this.ownSlots(record)
    return share * Math.min(target.slots, (limit?.requestsPerS ?? Infinity) * this.serviceTimeMs / MS_PER_S)
  }

  private sendLimit (candidates: readonly Candidate[], nowMs: number): SendLimit | undefined {
    const healthy = candidates.filter(({ isEjected }) => !isEjected)
    const limited = healthy.filter(({ record }) => record.limit !== undefined)
    if (limited.length === 0 || limited.length < healthy.length) return undefined
    return {
      requestsPerS: limited.reduce((sum, { record }) => sum + (record.limit?.ownRequestsPerS ?? 0), 0),
      waitMs: Math.min(...limited.map(({ record }) => record.sendWaitMs(nowMs)))
    }
  }

  private snapshot (nowMs: number): PoolSnapshot {
    const candidates: Candidate[] = []
    let fastest: targetRecord.TargetRecord | undefined
    let slots = 0
    for (const record of this.records.values()) {
      if (record.isRemoved) continue
      const { id } = record.target
      const { pauses } = this.options
      const allowedSends = Math.max(0, Math.min(record.allowedSends(nowMs), (pauses?.maxInFlight(id, nowMs) ?? Infinity) - record.ownRequestIds.length))
      const pauseMs = Math.max(0, (pauses?.untilMs(id, nowMs) ?? 0) - nowMs)
      candidates.push({ record, isEjected: record.isEjected(nowMs), inFlight: record.occupancy(nowMs), freeSlots: Math.min(allowedSends, this.freeSlotsAt(record, nowMs)), allowedSends, pauseMs })
      if (pauseMs === 0) slots += this.usableSlots(record)
      if (fastest === undefined || record.estimate.firstEventMs(0) < fastest.estimate.firstEventMs(0)) fastest = record
    }
    const pauseMs = candidates.length === 0 ? 0 : Math.min(...candidates.map((candidate) => candidate.pauseMs))
    return { nowMs, candidates, fastest, slots, sendLimit: this.sendLimit(candidates, nowMs), pauseMs }
  }

  /** Returns the expected time from dispatch to the first event, or to a plain response, at the fastest target. */
  private expectedFirstMs (request: poolEvent.PlacementRequest, snapshot: PoolSnapshot): number {
    if (this.service.engine === undefined) return EXPECTED_PLAIN_RESPONSE_MS
    return snapshot.fastest?.estimate.firstEventMs(request.promptTokens) ?? 0
  }

  private rankOf (request: poolEvent.PlacementRequest, snapshot: PoolSnapshot): number {
    return waitingOrder.rankOf(request, waitingOrder.isLate(request, this.expectedFirstMs(request, snapshot), snapshot.nowMs))
  }

  private scoreOf (candidate: Candidate, request: poolEvent.PlacementOptions, nowMs: number): number {
    const { record, inFlight } = candidate
    // The random term spreads requests of several daemons over targets with equal scores.
    const penaltyMs = FAILURE_PENALTY_MS * record.failureShare + this.options.random()
    const contention = 1 + inFlight / record.target.slots
    if (this.service.engine === undefined) return record.responseMs * contention + penaltyMs
    const prefillTokens = record.hasCachedPrompt(request.promptSegments, nowMs) ? 0 : request.promptTokens
    const firstEventMs = record.estimate.firstEventMs(record.pendingPrefillTokens() + prefillTokens)
    return firstEventMs + GENERATION_WEIGHT * record.estimate.generationMs(request.outputTokens) * contention + penaltyMs
  }

  /** Returns whether the target is expected to finish the generation before the deadline. */
  private canFinish (candidate: Candidate, request: poolEvent.PlacementOptions, nowMs: number): boolean {
    if (this.service.engine === undefined) return true
    return candidate.record.estimate.generationMs(request.outputTokens) < MAX_GENERATION_SHARE * (request.limitMs - nowMs)
  }

  private chooseTarget (request: poolEvent.PlacementOptions, snapshot: PoolSnapshot, assigned: ReadonlyMap<targetRecord.TargetRecord, number>): targetRecord.TargetRecord | undefined {
    const eligible = snapshot.candidates.filter(({ record }) => !request.excludedTargets.has(record.target.id) && isOfVersion(record, request.version))
    const neverLeft = eligible.filter(({ record }) => !request.leftTargets.has(record.target.id))
    return this.chooseAmong(neverLeft, request, snapshot.nowMs, assigned) ?? this.chooseAmong(eligible, request, snapshot.nowMs, assigned)
  }

  private chooseAmong (eligible: readonly Candidate[], request: poolEvent.PlacementOptions, nowMs: number, assigned: ReadonlyMap<targetRecord.TargetRecord, number>): targetRecord.TargetRecord | undefined {
    const notEjected = eligible.filter(({ isEjected }) => !isEjected)
    const usable = (notEjected.length > 0 ? notEjected : eligible).filter(({ record, freeSlots, allowedSends }) => (request.isRetry && !this.isBrittle ? allowedSends : freeSlots) > (assigned.get(record) ?? 0))
    const capable = usable.filter((candidate) => this.canFinish(candidate, request, nowMs))
    const unconfirmed = capable.find(({ record }) => record.isLimitUnconfirmed(nowMs))
    if (unconfirmed !== undefined) return unconfirmed.record
    let best: { readonly record: targetRecord.TargetRecord, readonly score: number } | undefined
    for (const candidate of capable.length > 0 ? capable : usable) {
      const score = this.scoreOf(candidate, request, nowMs)
      if (best === undefined || score < best.score) best = { record: candidate.record, score }
    }
    return best?.record
  }

  /** Returns the expected wait for a slot in the whole fleet. */
  private slotWaitMs (ahead: number, { slots }: PoolSnapshot): number {
    return slots === 0 ? Infinity : ahead * this.serviceTimeMs / slots
  }

  private expectedWaitMs ({ ahead, aheadHere }: QueuePosition, snapshot: PoolSnapshot): number {
    const { sendLimit, pauseMs } = snapshot
    if (pauseMs > 0) return pauseMs
    if (sendLimit === undefined) return this.slotWaitMs(ahead, snapshot)
    const sendWaitMs = sendLimit.requestsPerS === 0 ? Infinity : sendLimit.waitMs + aheadHere / sendLimit.requestsPerS * MS_PER_S
    return Math.max(sendWaitMs, this.slotWaitMs(ahead, snapshot))
  }

  private figures (request: poolEvent.PlacementRequest, position: QueuePosition, snapshot: PoolSnapshot, freeSlots: number): poolEvent.Figures {
    return {
      waitedMs: Math.round(snapshot.nowMs - request.arrivedMs),
      waiting: this.queue.length,
      ahead: position.ahead,
      freePlaces: freeSlots,
      expectedWaitMs: Math.round(Math.min(MAX_REPORTED_WAIT_MS, this.expectedWaitMs(position, snapshot))),
      heardDaemons: this.fleet.reachable
    }
  }

  private countObstacles ({ candidates }: PoolSnapshot): Readonly<Partial<Record<obstacle.Obstacle, number>>> {
    const removed = [...this.records.values()].filter(({ isRemoved }) => isRemoved)
    return obstacle.countObstacles([
      ...candidates.map((candidate) => ({ ...candidate, isRemoved: false })),
      ...removed.map(() => ({ isRemoved: true, isEjected: false, pauseMs: 0, allowedSends: 0, freeSlots: 0 }))
    ])
  }

  private orderedQueue (snapshot: PoolSnapshot): readonly (readonly [request: poolEvent.PlacementRequest, rank: number])[] {
    return this.queue
      .map((request) => [request, request.isRetry || request.version !== undefined ? FIRST_RANK : this.rankOf(request, snapshot)] as const)
      .sort(([a, rankA], [b, rankB]) => rankA - rankB || a.arrivedMs - b.arrivedMs)
  }

  private aheadAtPeers (request: poolEvent.PlacementRequest, rank: number, nowMs: number): number {
    let ahead = 0
    // Slots that this daemon owns are not shared with the requests of peers.
    if (this.isBrittle) return ahead
    for (const queue of this.peerQueues.values()) ahead += waitingOrder.aheadAtPeer(request, rank, queue, nowMs)
    return ahead
  }

  private mustRefuse (request: poolEvent.PlacementRequest, position: QueuePosition, snapshot: PoolSnapshot): boolean {
    const { nowMs } = snapshot
    const maxWaitMs = waitingOrder.maxWaitMs(request, this.expectedFirstMs(request, snapshot), nowMs)
    return nowMs - request.arrivedMs + this.expectedWaitMs(position, snapshot) > maxWaitMs
  }

  private * serveQueue (nowMs: number): Decisions {
    if (this.queue.length === 0) return
    const snapshot = this.snapshot(nowMs)
    const assigned = new Map<targetRecord.TargetRecord, number>()
    const stillWaiting: poolEvent.PlacementRequest[] = []
    const allEjected = snapshot.candidates.every((candidate) => candidate.isEjected)
    let freeSlots = snapshot.candidates.reduce((sum, candidate) => sum + (candidate.isEjected && !allEjected ? 0 : candidate.freeSlots), 0)
    for (const [request, rank] of this.orderedQueue(snapshot)) {
      const position = { aheadHere: stillWaiting.length, ahead: stillWaiting.length + this.aheadAtPeers(request, rank, nowMs) }
      const record = request.isRetry || freeSlots > position.ahead ? this.chooseTarget(request, snapshot, assigned) : undefined
      const figures = this.figures(request, position, snapshot, freeSlots)
      if (record !== undefined) {
        freeSlots -= 1
        assigned.set(record, (assigned.get(record) ?? 0) + 1)
        record.begin(request.id, request.promptTokens, request.promptSegments, nowMs)
        this.placements.set(request.id, record)
        yield { kind: 'dispatch', id: request.id, target: record.target, figures }
      } else if (!snapshot.candidates.some((candidate) => isOfVersion(candidate.record, request.version))) {
        const reason = snapshot.candidates.length === 0 ? 'no-target' : 'version-gone'
        yield { kind: 'refuse', id: request.id, reason, retryAfterMs: waitingOrder.retryAfterMs(request, 0, this.options.random(), nowMs), figures: { ...figures, obstacles: this.countObstacles(snapshot) } }
      } else if (this.mustRefuse(request, position, snapshot)) {
        const { pauseMs } = snapshot
        const retryAfterMs = waitingOrder.retryAfterMs(request, pauseMs > 0 ? pauseMs : this.slotWaitMs(position.ahead, snapshot), this.options.random(), nowMs)
        yield { kind: 'refuse', id: request.id, reason: pauseMs > 0 ? 'paused' : 'overloaded', retryAfterMs, figures: { ...figures, obstacles: this.countObstacles(snapshot) } }
      } else {
        stillWaiting.push(request)
      }
    }
    this.queue = stillWaiting
  }
}
