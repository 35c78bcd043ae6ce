/**
 * A small world around authorities: daemons that are entries and may be authorities, two pools, and
 * messages that are late and can be lost. It records what ran on the targets and what was refused.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as authority from '../src/authority.js'
import type * as event from '../src/event.js'
import * as fixture from './fixture.js'

/** One run on a target, as the target saw it. */
export interface Run {
  readonly key: string
  readonly pool: string
  readonly target: string
  readonly tier: number
  readonly nonIdempotent: boolean
  readonly fingerprint: string
  readonly startMs: number
}

/** Pools and their targets. */
export const POOLS: Readonly<Record<string, readonly string[]>> = { east: ['t1', 't2'], west: ['w1'] }

const DAEMONS = ['d1', 'd2', 'd3']
const MAX_DELAY_MS = 40
const TICK_MS = 100
const STEP_MS = 20
const REPORT_AGE_MS = 1_000

class Request {
  state: 'waiting' | 'running' | 'ended' = 'waiting'
  endMs = 0
  constructor (readonly slotRequest: protocol.Ask, readonly pool: string, readonly arrivedAtMs: number, readonly runMs: number) {}
}

class Daemon {
  readonly cores = new Map<string, authority.Authority>()
  readonly requests = new Map<number, Request>()
  readonly rounds = new Map<string, number>()
  authorities: ReadonlyMap<string, string> = new Map()
  readonly targetUpdates = new Map<string, protocol.TargetNews>()
  pausedUntilMs = 0
  mustResume = false
  isDead = false
  round = 0
  roundAtMs = -Infinity
  constructor (readonly name: string) {}
}

interface Envelope {
  readonly from: string
  readonly to: string
  readonly message: protocol.PeerMessage
  readonly atMs: number
}

/** Drives the daemons. `violations` lists every broken promise that was seen. */
export class SimulatedCluster {
  nowMs = 0
  readonly violations: string[] = []
  readonly runs = new Map<string, Run>()
  readonly counts = { ended: 0, shed: 0, preempted: 0, dispatched: 0, submitted: 0, lost: 0 }
  private readonly daemons = new Map(DAEMONS.map((name) => [name, new Daemon(name)]))
  private readonly inTransit: Envelope[] = []
  private readonly lastDeliveryAtMs = new Map<string, number>()
  private readonly timers: Array<{ readonly atMs: number, readonly action: () => void }> = []
  private readonly leavingSinceMs = new Map<string, number>()
  private readonly random: protocol.Random
  private electedAuthorities: ReadonlyMap<string, string> = new Map([['east', 'd1'], ['west', 'd2']])
  private nextNumber = 1
  private version = 1

  constructor (seed: number, maxWaitMs: number) {
    this.random = fixture.createRandom(seed)
    const documents = [fixture.documentOf('listings', { targets: POOLS.east ?? [], otherPool: 'west', maxWaitMs })]
    const documentsWithTarget = documents.map((content) => ({ ...content, targets: content.targets.map((target) => target.pool === 'west' ? { ...target, name: 'w1' } : target) }))
    for (const daemon of this.daemons.values()) {
      for (const pool of Object.keys(POOLS)) daemon.cores.set(pool, authority.createAuthority({ pool, incarnation: daemon.name, random: this.random }))
      for (const pool of Object.keys(POOLS)) this.post(daemon, pool, { kind: 'documents', documents: documentsWithTarget })
      this.updateMembers(daemon)
    }
  }

  private allDaemons (): readonly Daemon[] {
    return [...this.daemons.values()]
  }

  private live (): readonly Daemon[] {
    return this.allDaemons().filter((daemon) => !daemon.isDead)
  }

  private daemon (name: string): Daemon {
    return this.daemons.get(name) as Daemon
  }

  private post (daemon: Daemon, pool: string, input: event.Event): void {
    const core = daemon.cores.get(pool)
    if (core === undefined) return
    for (const output of core.handle(input, this.nowMs)) {
      if (output.kind === 'send') this.send(daemon.name, output.outbound.to, output.outbound.message, pool)
      if (output.kind === 'news') for (const other of this.allDaemons()) this.schedule(this.random() * 300, () => this.postAll(other, { kind: 'suspect', news: output.news as protocol.SuspectNews }))
    }
    this.checkLimits(core)
  }

  private postAll (daemon: Daemon, input: event.Event): void {
    for (const pool of daemon.cores.keys()) this.post(daemon, pool, input)
  }

  private checkLimits (core: authority.Authority): void {
    for (const target of core.status().targets) {
      if (target.tokensInFlight < 0 || (target.requestsInFlight === 0) !== (target.tokensInFlight === 0)) this.violations.push(`count of ${target.target}`)
    }
  }

  private send (from: string, to: string, message: protocol.PeerMessage, pool: string): void {
    if (message.kind === 'refusal') this.checkRefusal(from, to, message, pool)
    if (message.kind === 'revocation' && message.cause === 'preempted') this.checkRevocation(to, message)
    const connection = `${from}>${to}`
    const atMs = Math.max(this.lastDeliveryAtMs.get(connection) ?? 0, this.nowMs + this.random() * MAX_DELAY_MS)
    this.lastDeliveryAtMs.set(connection, atMs)
    this.inTransit.push({ from, to, message, atMs })
  }

  /** A refusal for want of capacity while a lower tier runs breaks the promise, if the entry takes it. */
  private checkRefusal (from: string, to: string, message: protocol.Refusal, pool: string): void {
    const request = this.daemon(to).requests.get(message.ask)
    if (request === undefined || request.state !== 'waiting' || this.daemon(to).authorities.get(pool) !== from) return
    if (message.reason === 'shed') this.counts.shed += 1
    const { expectedMs, deadlineMs, expectedWaitMs, waitedMs } = message.figures
    // Not for want of capacity: an idle target would have been too slow for the whole deadline.
    if (message.reason === 'deadline-unreachable' && expectedWaitMs === 0 && Number(expectedMs) - Number(waitedMs) > Number(deadlineMs)) return
    for (const run of this.runs.values()) {
      if (run.tier <= request.slotRequest.tier) continue
      this.violations.push(`${message.reason} of ${to}/${message.ask} tier ${request.slotRequest.tier} at ${this.nowMs} while ${run.key} tier ${run.tier} ran on ${run.target}`)
    }
  }

  private checkRevocation (to: string, message: protocol.Revocation): void {
    if (this.daemon(to).requests.get(message.ask)?.slotRequest.nonIdempotent === true) this.violations.push(`revocation of non-idempotent ${to}/${message.ask}`)
  }

  private schedule (delayMs: number, action: () => void): void {
    this.timers.push({ atMs: this.nowMs + delayMs, action })
  }

  private updateMembers (daemon: Daemon): void {
    const previous = daemon.authorities
    daemon.authorities = this.electedAuthorities
    this.postAll(daemon, { kind: 'members', entries: this.live().map(({ name }) => name), authorities: this.electedAuthorities })
    for (const [pool, name] of this.electedAuthorities) if (previous.get(pool) !== name) this.resendWaiting(daemon, pool)
  }

  private resendWaiting (daemon: Daemon, pool: string): void {
    for (const request of daemon.requests.values()) if (request.pool === pool && request.state === 'waiting') this.sendSlotRequest(daemon, request)
  }

  private sendSlotRequest (daemon: Daemon, request: Request): void {
    const to = daemon.authorities.get(request.pool) as string
    const waitedMs = this.nowMs - request.arrivedAtMs
    this.send(daemon.name, to, { ...request.slotRequest, waitedMs, deadlineMs: request.slotRequest.deadlineMs - waitedMs, round: daemon.round }, request.pool)
  }

  private release (daemon: Daemon, request: Request, outcome: protocol.SlotOutcome, to = daemon.authorities.get(request.pool) as string): void {
    const { ask: number, promptTokens, answerTokens } = request.slotRequest
    this.send(daemon.name, to, fixture.releaseOf(number, { outcome, promptTokens, answerTokens, firstTokenMs: outcome === 'finished' ? 100 : 0, totalMs: request.runMs }), request.pool)
  }

  private end (daemon: Daemon, request: Request, outcome: protocol.SlotOutcome | 'refused'): void {
    const key = `${daemon.name}/${request.slotRequest.ask}`
    this.runs.delete(key)
    request.state = 'ended'
    this.counts.ended += 1
    if (outcome === 'refused') return
    if (outcome === 'cancelled') this.counts.preempted += 1
    this.release(daemon, request, outcome)
  }

  private dispatch (daemon: Daemon, request: Request, target: string): void {
    const key = `${daemon.name}/${request.slotRequest.ask}`
    const leavingAtMs = this.leavingSinceMs.get(target)
    if (leavingAtMs !== undefined && this.nowMs > leavingAtMs + 3_000) this.violations.push(`dispatch on leaving ${target}`)
    if (this.runs.has(key)) this.violations.push(`second dispatch of ${key}`)
    const { tier, nonIdempotent, fingerprint } = request.slotRequest
    request.state = 'running'
    request.endMs = this.nowMs + request.runMs
    this.counts.dispatched += 1
    this.runs.set(key, { key, pool: request.pool, target, tier, nonIdempotent, fingerprint, startMs: this.nowMs })
  }

  private handleGrant (daemon: Daemon, from: string, message: protocol.Grant): void {
    const request = daemon.requests.get(message.ask)
    if (request === undefined || request.state === 'running') return
    const isUsable = request.state === 'waiting' && daemon.targetUpdates.get(message.target)?.state !== 'leaving' && daemon.authorities.get(request.pool) === from &&
      this.nowMs - (daemon.rounds.get(String(message.round)) ?? -Infinity) < 2_000
    if (isUsable) {
      this.dispatch(daemon, request, message.target)
      return
    }
    this.release(daemon, request, 'unused', from)
    if (request.state === 'waiting') this.sendSlotRequest(daemon, request)
  }

  private handleRevocation (daemon: Daemon, message: protocol.Revocation): void {
    const request = daemon.requests.get(message.ask)
    // A grant is used or returned when it arrives, so a request that waits has nothing to give back.
    if (request?.state === 'running' && message.cause === 'preempted') this.end(daemon, request, 'cancelled')
  }

  private replyToCollect (daemon: Daemon, from: string, pool: string): void {
    if (daemon.authorities.get(pool) !== from) return
    const holdings = [...daemon.requests.values()].filter((request) => request.state === 'running' && request.pool === pool).map((request) => {
      const run = this.runs.get(`${daemon.name}/${request.slotRequest.ask}`) as Run
      return { ...request.slotRequest, target: run.target, runningMs: this.nowMs - run.startMs }
    })
    this.send(daemon.name, from, { kind: 'holdings', pool, holdings }, pool)
    this.resendWaiting(daemon, pool)
  }

  private deliver ({ from, to, message }: Envelope): void {
    const daemon = this.daemon(to)
    switch (message.kind) {
      case 'grant': return this.handleGrant(daemon, from, message)
      case 'revocation': return this.handleRevocation(daemon, message)
      case 'collect': return this.replyToCollect(daemon, from, message.pool)
      case 'refusal': {
        const request = daemon.requests.get(message.ask)
        if (request?.state === 'waiting' && daemon.authorities.get(request.pool) === from) this.end(daemon, request, 'refused')
        return
      }
      case 'ask': case 'holdings': case 'floor': return this.post(daemon, message.pool, { kind: 'message', from, message })
      case 'withdraw': case 'round': case 'release': case 'floor-reached':
        for (const pool of daemon.cores.keys()) this.post(daemon, pool, { kind: 'message', from, message })
        return
      default:
        throw new Error(`no daemon of this world sends ${message.kind}`)
    }
  }

  private isPaused (name: string): boolean {
    return this.daemon(name).isDead || this.daemon(name).pausedUntilMs > this.nowMs
  }

  private resume (daemon: Daemon): void {
    if (!daemon.mustResume || this.isPaused(daemon.name)) return
    daemon.mustResume = false
    this.postAll(daemon, { kind: 'resumed' })
  }

  private tick (daemon: Daemon): void {
    if (this.nowMs - daemon.roundAtMs >= 500) {
      daemon.round += 1
      daemon.roundAtMs = this.nowMs
      daemon.rounds.set(String(daemon.round), this.nowMs)
      for (const to of new Set(daemon.authorities.values())) this.send(daemon.name, to, { kind: 'round', round: daemon.round }, '')
    }
    this.postAll(daemon, { kind: 'tick' })
  }

  private endRuns (daemon: Daemon): void {
    for (const request of daemon.requests.values()) {
      if (request.state === 'running' && request.endMs <= this.nowMs) this.end(daemon, request, 'finished')
    }
  }

  /** Lets time pass until nothing is open, up to a limit. */
  settle (limitMs: number): void {
    for (const end = this.nowMs + limitMs; this.nowMs < end && (this.openRequests().length > 0 || this.leftoverSlots().length > 0);) this.advance(1_000)
  }

  /** Targets publish their load; it is read a second later. */
  private publishLoad (): void {
    for (const target of Object.values(POOLS).flat()) {
      const runningRequests = [...this.runs.values()].filter((run) => run.target === target).length
      const report = { target, ageMs: REPORT_AGE_MS, runningRequests, queuedRequests: 0, tokensInProgress: runningRequests * 1_000 }
      this.schedule(REPORT_AGE_MS, () => { for (const daemon of this.live()) if (!this.isPaused(daemon.name)) this.postAll(daemon, { kind: 'load', report }) })
    }
  }

  /** Lets time pass in small steps. */
  advance (ms: number): void {
    for (const end = this.nowMs + ms; this.nowMs < end;) {
      this.nowMs += STEP_MS
      for (const item of this.timers.filter(({ atMs }) => atMs <= this.nowMs)) {
        this.timers.splice(this.timers.indexOf(item), 1)
        item.action()
      }
      if (this.nowMs % REPORT_AGE_MS === 0) this.publishLoad()
      for (const daemon of this.allDaemons()) this.resume(daemon)
      const due = this.inTransit.filter((item) => item.atMs <= this.nowMs && !this.isPaused(item.to))
      for (const item of due) {
        this.inTransit.splice(this.inTransit.indexOf(item), 1)
        this.deliver(item)
      }
      for (const daemon of this.allDaemons()) {
        if (this.isPaused(daemon.name)) continue
        this.endRuns(daemon)
        if (this.nowMs % TICK_MS === 0) this.tick(daemon)
      }
    }
  }

  /** A request arrives at a daemon. */
  submit (daemonIndex: number, fields: Partial<protocol.Ask>, runMs: number): void {
    const live = this.live()
    const daemon = live[daemonIndex % live.length] as Daemon
    const number = this.nextNumber++
    const pool = number % 4 === 0 ? 'west' : 'east'
    const request = new Request(fixture.slotRequestOf(number, { pool, ...fields }), pool, this.nowMs, runMs)
    daemon.requests.set(number, request)
    this.counts.submitted += 1
    if (!this.isPaused(daemon.name)) this.sendSlotRequest(daemon, request)
    else this.schedule(daemon.pausedUntilMs - this.nowMs + 10, () => this.sendSlotRequest(daemon, request))
  }

  /** Another daemon becomes a pool's authority; each daemon learns it at its own time. */
  elect (pool: string, daemonIndex: number): void {
    const live = this.live()
    this.electedAuthorities = new Map([...this.electedAuthorities, [pool, (live[daemonIndex % live.length] as Daemon).name]])
    for (const daemon of live) this.schedule(this.random() * 600, () => this.whenRunning(daemon, () => this.updateMembers(daemon)))
  }

  private whenRunning (daemon: Daemon, action: () => void): void {
    if (daemon.isDead) return
    if (this.isPaused(daemon.name)) this.schedule(daemon.pausedUntilMs - this.nowMs + 10, () => this.whenRunning(daemon, action))
    else action()
  }

  /** All messages on their way between two daemons are lost; then the connection is made anew. */
  dropMessages (first: number, second: number): void {
    const names = [DAEMONS[first % DAEMONS.length] as string, DAEMONS[second % DAEMONS.length] as string]
    for (const item of this.inTransit.filter(({ from, to }) => names.includes(from) && names.includes(to))) this.inTransit.splice(this.inTransit.indexOf(item), 1)
    for (const name of names) {
      const daemon = this.daemon(name)
      this.schedule(50, () => this.whenRunning(daemon, () => { for (const pool of Object.keys(POOLS)) this.resendWaiting(daemon, pool) }))
    }
  }

  /** A daemon dies with its requests, once in a world; its targets see their connections close. */
  kill (daemonIndex: number): void {
    if (this.live().length < DAEMONS.length) return
    const daemon = this.allDaemons()[daemonIndex % DAEMONS.length] as Daemon
    daemon.isDead = true
    for (const key of [...this.runs.keys()]) if (key.startsWith(`${daemon.name}/`)) this.runs.delete(key)
    this.counts.lost += [...daemon.requests.values()].filter((request) => request.state !== 'ended').length
    this.schedule(500 + this.random() * 1_000, () => {
      for (const [pool, name] of this.electedAuthorities) if (name === daemon.name) this.elect(pool, daemonIndex + pool.length)
      for (const other of this.live()) this.schedule(this.random() * 600, () => this.whenRunning(other, () => this.updateMembers(other)))
    })
  }

  /** A daemon's process stands still; its runs go on at the targets. */
  pause (daemonIndex: number, ms: number): void {
    const daemon = this.allDaemons()[daemonIndex % DAEMONS.length] as Daemon
    daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, this.nowMs + ms)
    daemon.mustResume = true
  }

  /** A target is leaving or returns. */
  announce (target: string, state: 'leaving' | 'serving'): void {
    if (state === 'leaving') this.leavingSinceMs.set(target, this.nowMs)
    else this.leavingSinceMs.delete(target)
    const targetUpdates: protocol.TargetNews = { kind: 'target', target, version: this.version++, state }
    for (const daemon of this.allDaemons()) {
      this.schedule(this.random() * 300, () => this.whenRunning(daemon, () => {
        if ((daemon.targetUpdates.get(target)?.version ?? 0) < targetUpdates.version) daemon.targetUpdates.set(target, targetUpdates)
        this.postAll(daemon, { kind: 'target', news: targetUpdates })
      }))
    }
  }

  /** Requests that have neither run nor been refused. */
  openRequests (): readonly string[] {
    return this.live().flatMap((daemon) => [...daemon.requests.values()].filter((request) => request.state !== 'ended').map((request) => `${daemon.name}/${request.slotRequest.ask} ${request.state}`))
  }

  /** Slots that the authorities still count although nothing runs. */
  leftoverSlots (): readonly string[] {
    return this.live().flatMap((daemon) => [...daemon.cores.entries()].flatMap(([pool, core]) => core.status().targets
      .filter((target) => target.requestsInFlight > 0).map((target) => `${daemon.name} ${pool} ${target.target} ${target.requestsInFlight}`)))
  }
}
