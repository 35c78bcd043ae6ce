/**
 * Queues the requests of one service and places them on its targets.
 *
 * Every daemon decides alone, on what its peers report of their requests at the targets, so no request
 * waits for another daemon. Load: more requests than places, at targets of unlike speed. Queues at the
 * engines are kept short, because engines know no priority and a long queue there makes all late.
 *
 * @module
 */
import type * as document from './document.js'
import type * as poolEvent from './pool-event.js'
import * as targetRecord from './target-record.js'
import type * as targetRegistry from './target-registry.js'
import * as waitingOrder from './waiting-order.js'

/** Settings of a pool. */
export interface Options {
  readonly service: document.Service
  readonly random: () => number
}

/** Weight of the generation's time against that of the first event when targets are compared. */
const GENERATION_WEIGHT = 0.15

/** Penalty of a target for its share of failures, ms at a share of 1. */
const FAILURE_PENALTY_MS = 400

/** Time of a stay before any has ended, ms. */
const FIRST_STAY_MS = 900

/** Time of a plain answer that is expected when a request is judged late, ms. */
const PLAIN_ANSWER_MS = 30

const RETRY_AFTER_MIN_MS = 300
const RETRY_AFTER_MAX_MS = 4_000
const NO_TARGET_RETRY_MS = 700

/** Spread of Retry-After, so that those refused together do not come back together. */
const RETRY_SPREAD = 0.6

/** Places beyond its fair part that a daemon takes at a target when it hears less than half of its peers. */
const ALONE_FACTOR = 1.5

const LEARNING_RATE = 0.1

/** Longest expected wait that is told, ms. */
const MAX_TOLD_WAIT_MS = 1_000_000

type Decisions = Generator<poolEvent.PoolDecision, void>

/**
 * The pool of one service. Drain each generator before the next event.
 *
 * @example
 * ```ts
 * const pool = new Pool({ service, random: Math.random })
 * for (const decision of pool.handle({ kind: 'arrived', request }, nowMs)) perform(decision)
 * ```
 */
export class Pool {
  private readonly records = new Map<string, targetRecord.TargetRecord>()
  private readonly places = new Map<number, targetRecord.TargetRecord>()
  private readonly peerQueues = new Map<string, waitingOrder.PeerQueue>()
  private queue: readonly poolEvent.PlaceRequest[] = []
  private fleet = { heard: 1, daemons: 1 }
  private stayMs = FIRST_STAY_MS

  constructor (private readonly options: Options) {}

  /** Requests that wait here. */
  get waiting (): number {
    return this.queue.length
  }

  * handle (event: poolEvent.PoolEvent, nowMs: number): Decisions {
    this.apply(event, nowMs)
    if (event.kind === 'paused' || event.kind === 'first-event' || event.kind === 'load-told') return
    yield * this.serveQueue(nowMs)
  }

  /** What peers are told. */
  load (nowMs: number): poolEvent.PeerLoad {
    const targets: Record<string, readonly [number, number]> = {}
    for (const [id, record] of this.records) {
      const running = record.ownIds.length
      if (running > 0) targets[id] = [running, record.ownUnreadTokens()]
    }
    const waiting = new Map<number, readonly [number, number, number]>()
    for (const request of this.queue) {
      if (this.isLate(request, nowMs)) continue
      const [, count, oldest] = waiting.get(request.priority) ?? [0, 0, 0]
      waiting.set(request.priority, [request.priority, count + 1, Math.max(oldest, Math.round(nowMs - request.arrivedMs))])
    }
    return { targets, waiting: [...waiting.values()] }
  }

  /** Requests at targets that owe bytes and have been silent for that long. */
  silentStays (silenceMs: number, nowMs: number): readonly number[] {
    return [...this.records.values()].filter((record) => record.isSilent(silenceMs, nowMs)).flatMap((record) => record.ownIds)
  }

  private apply (event: poolEvent.PoolEvent, nowMs: number): void {
    switch (event.kind) {
      case 'arrived': this.queue = [...this.queue, event.request]; break
      case 'left':
        this.queue = this.queue.filter((request) => request.id !== event.id)
        this.end(event.id, 'cancelled', nowMs)
        break
      case 'first-event': this.places.get(event.id)?.firstEvent(event.id, nowMs); break
      case 'paused': this.places.get(event.id)?.nextEvent(event.pauseMs, this.options.service.engine?.tokensPerEvent ?? 1, nowMs); break
      case 'ended': this.end(event.id, event.end, nowMs); break
      case 'load-told': this.records.get(event.target)?.tell(event.running + event.waiting, nowMs); break
      case 'targets': this.setTargets(event.targets, nowMs); break
      case 'peer-load': this.takePeer(event.peer, event.load, nowMs); break
      case 'fleet': this.fleet = event; break
      case 'tick': break
    }
  }

  private takePeer (peer: string, load: poolEvent.PeerLoad, nowMs: number): void {
    this.peerQueues.set(peer, { waiting: load.waiting, atMs: nowMs })
    for (const [id, record] of this.records) record.takePeer(peer, load.targets[id], nowMs)
  }

  private setTargets (targets: readonly targetRegistry.Target[], nowMs: number): void {
    const named = new Set(targets.map((target) => target.id))
    for (const [id, record] of this.records) {
      if (named.has(id)) continue
      if (record.ownIds.length === 0) this.records.delete(id)
      else record.remove()
    }
    for (const target of targets) {
      const record = this.records.get(target.id)
      if (record === undefined) this.records.set(target.id, new targetRecord.TargetRecord(target, nowMs))
      else record.renew(target)
    }
  }

  private end (id: number, how: poolEvent.StayEnd, nowMs: number): void {
    const record = this.places.get(id)
    const stay = record?.end(id)
    this.places.delete(id)
    if (record === undefined || stay === undefined || how === 'cancelled') return
    if (how === 'rejected') {
      record.tell(record.target.slots, nowMs)
      return
    }
    if (how === 'answered') {
      const elapsedMs = nowMs - stay.startMs
      this.stayMs += LEARNING_RATE * (elapsedMs - this.stayMs)
      record.learnAnswer(elapsedMs)
    }
    record.count(how !== 'answered', nowMs)
    if (how === 'unreachable') record.rest(nowMs)
  }

  private limitOf (record: targetRecord.TargetRecord): number {
    const { slots } = record.target
    const { heard, daemons } = this.fleet
    if (heard * 2 > daemons) return slots
    return Math.min(slots, Math.max(2, Math.ceil(ALONE_FACTOR * slots * heard / daemons)))
  }

  private freeAt (record: targetRecord.TargetRecord, nowMs: number): number {
    return Math.max(0, this.limitOf(record) - record.occupancy(nowMs))
  }

  private hasTargets (): boolean {
    return [...this.records.values()].some((record) => !record.isRemoved)
  }

  private freePlaces (nowMs: number): number {
    let free = 0
    for (const record of this.records.values()) if (!record.isRemoved && !record.isResting(nowMs)) free += this.freeAt(record, nowMs)
    return free
  }

  private scoreOf (record: targetRecord.TargetRecord, request: poolEvent.PlaceRequest, nowMs: number): number {
    const occupied = record.occupancy(nowMs) / record.target.slots
    // The random part spreads requests of several daemons over targets that look the same.
    const extra = FAILURE_PENALTY_MS * record.failureShare + this.options.random()
    if (this.options.service.engine === undefined) return record.answerMs * (1 + occupied) + extra
    const own = record.hasRead(request.parts, nowMs) ? 0 : request.promptTokens
    const first = record.estimate.firstEventMs(record.unreadTokens() + own)
    return first + GENERATION_WEIGHT * record.estimate.generationMs(request.outputTokens) * (1 + occupied) + extra
  }

  private choose (request: poolEvent.PlaceRequest, nowMs: number): targetRecord.TargetRecord | undefined {
    const all = [...this.records.values()].filter((record) => !record.isRemoved && !request.excluded.has(record.target.id))
    const rested = all.filter((record) => !record.isResting(nowMs))
    let best: { readonly record: targetRecord.TargetRecord, readonly score: number } | undefined
    for (const record of rested.length > 0 ? rested : all) {
      if (!request.repeated && this.freeAt(record, nowMs) === 0) continue
      const score = this.scoreOf(record, request, nowMs)
      if (best === undefined || score < best.score) best = { record, score }
    }
    return best?.record
  }

  private isLate (request: poolEvent.PlaceRequest, nowMs: number): boolean {
    let expectedMs = Infinity
    if (this.options.service.engine === undefined) expectedMs = PLAIN_ANSWER_MS
    else for (const record of this.records.values()) expectedMs = Math.min(expectedMs, record.estimate.firstEventMs(request.promptTokens))
    return waitingOrder.isLate(request, expectedMs === Infinity ? 0 : expectedMs, nowMs)
  }

  private expectedWaitMs (ahead: number): number {
    let slots = 0
    for (const record of this.records.values()) if (!record.isRemoved) slots += record.target.slots
    return slots === 0 ? Infinity : ahead * this.stayMs / slots
  }

  private figures (request: poolEvent.PlaceRequest, ahead: number, nowMs: number): poolEvent.Figures {
    return {
      waitedMs: Math.round(nowMs - request.arrivedMs),
      waiting: this.queue.length,
      freePlaces: this.freePlaces(nowMs),
      expectedWaitMs: Math.round(Math.min(MAX_TOLD_WAIT_MS, this.expectedWaitMs(ahead))),
      heardDaemons: this.fleet.heard
    }
  }

  private retryAfterMs (ahead: number): number {
    const base = !this.hasTargets() ? NO_TARGET_RETRY_MS : Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, this.expectedWaitMs(ahead)))
    return Math.round(base * (1 + RETRY_SPREAD * this.options.random()))
  }

  private ordered (nowMs: number): readonly poolEvent.PlaceRequest[] {
    if (this.queue.length < 2) return this.queue
    const keys = new Map(this.queue.map((request) => [request.id, waitingOrder.orderOf(request, this.isLate(request, nowMs))]))
    return [...this.queue].sort((one, other) => (keys.get(one.id) ?? 0) - (keys.get(other.id) ?? 0))
  }

  private * serveQueue (nowMs: number): Decisions {
    if (this.queue.length === 0) return
    const kept: poolEvent.PlaceRequest[] = []
    let free = this.freePlaces(nowMs)
    for (const request of this.ordered(nowMs)) {
      let ahead = kept.length
      for (const queue of this.peerQueues.values()) ahead += waitingOrder.aheadAtPeer(request, queue, nowMs)
      const record = request.repeated || free > ahead ? this.choose(request, nowMs) : undefined
      if (record !== undefined) {
        free -= 1
        record.begin(request.id, request.promptTokens, request.parts, nowMs)
        this.places.set(request.id, record)
        yield { kind: 'dispatch', id: request.id, target: record.target, figures: this.figures(request, ahead, nowMs) }
      } else if (!this.hasTargets() || nowMs - request.arrivedMs + this.expectedWaitMs(ahead) > waitingOrder.patienceMs(request)) {
        const reason = this.hasTargets() ? 'overloaded' : 'no-target'
        yield { kind: 'refuse', id: request.id, reason, retryAfterMs: this.retryAfterMs(ahead), figures: this.figures(request, ahead, nowMs) }
      } else {
        kept.push(request)
      }
    }
    this.queue = kept
  }
}
