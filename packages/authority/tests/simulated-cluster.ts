/**
 * A simulated cluster: daemons that are entries and may become authorities, two pools, and messages that are delayed
 * and may be lost. It records what ran on the targets and what was refused.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as authority from '../src/authority.js'
import type * as event from '../src/event.js'
import * as fixture from './fixture.js'

/** A request that runs on a target. */
export interface SimulatedRun {
  readonly key: string
  readonly pool: string
  readonly target: string
  readonly tier: number
  readonly nonIdempotent: boolean
  readonly fingerprint: string
  readonly startedAtMs: number
}

/** Pools and their targets. */
export const POOLS: Readonly<Record<string, readonly string[]>> = { east: ['t1', 't2'], west: ['w1'] }

const DAEMONS = ['d1', 'd2', 'd3']
const MAX_DELAY_MS = 40
const TICK_MS = 100
const STEP_MS = 20
const REPORT_AGE_MS = 1_000

class SimulatedRequest {
  state: 'waiting' | 'running' | 'ended' = 'waiting'
  endsAtMs = 0
  constructor (readonly slotRequest: protocol.SlotRequest, readonly pool: string, readonly arrivedAtMs: number, readonly runMs: number) {}
}

class SimulatedDaemon {
  readonly cores = new Map<string, authority.Authority>()
  readonly requests = new Map<number, SimulatedRequest>()
  readonly rounds = new Map<string, number>()
  authorities: ReadonlyMap<string, string> = new Map()
  readonly targetUpdates = new Map<string, protocol.TargetUpdate>()
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

/** Simulates the daemons. `violations` lists every violated guarantee. */
export class SimulatedCluster {
  nowMs = 0
  readonly violations: string[] = []
  readonly runs = new Map<string, SimulatedRun>()
  readonly counts = { ended: 0, shed: 0, preempted: 0, dispatched: 0, submitted: 0, lost: 0 }
  private readonly daemons = new Map(DAEMONS.map((name) => [name, new SimulatedDaemon(name)]))
  private readonly inTransit: Envelope[] = []
  private readonly lastDeliveryAtMs = new Map<string, number>()
  private readonly timers: Array<{ readonly atMs: number, readonly action: () => void }> = []
  private readonly leavingSinceMs = new Map<string, number>()
  private readonly random: protocol.Random
  private electedAuthorities: ReadonlyMap<string, string> = new Map([['east', 'd1'], ['west', 'd2']])
  private nextNumber = 1
  private version = 1

  constructor (seed: number, maxWaitMs: number) {
    this.random = fixture.seededRandom(seed)
    const documents = [fixture.documentOf('listings', { targets: POOLS.east ?? [], otherPool: 'west', maxWaitMs })]
    const westDocuments = documents.map((content) => ({ ...content, targets: content.targets.map((target) => target.pool === 'west' ? { ...target, name: 'w1' } : target) }))
    for (const daemon of this.daemons.values()) {
      for (const pool of Object.keys(POOLS)) daemon.cores.set(pool, authority.createAuthority({ pool, incarnation: daemon.name, random: this.random }))
      for (const pool of Object.keys(POOLS)) this.post(daemon, pool, { kind: 'documents', documents: westDocuments })
      this.updateMembers(daemon)
    }
  }

  private allDaemons (): readonly SimulatedDaemon[] {
    return [...this.daemons.values()]
  }

  private live (): readonly SimulatedDaemon[] {
    return this.allDaemons().filter((daemon) => !daemon.isDead)
  }

  private daemon (name: string): SimulatedDaemon {
    return this.daemons.get(name) as SimulatedDaemon
  }

  private post (daemon: SimulatedDaemon, pool: string, input: event.Event): void {
    const core = daemon.cores.get(pool)
    if (core === undefined) return
    for (const output of core.handle(input, this.nowMs)) {
      if (output.kind === 'send') this.send(daemon.name, output.outbound.to, output.outbound.message, pool)
      if (output.kind === 'update') for (const other of this.allDaemons()) this.schedule(this.random() * 300, () => this.postAll(other, { kind: 'suspect', update: output.update as protocol.SuspectUpdate }))
    }
    this.checkLimits(core)
  }

  private postAll (daemon: SimulatedDaemon, input: event.Event): void {
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

  /** Records a violation if the entry accepts a refusal for lack of capacity while a lower tier runs. */
  private checkRefusal (from: string, to: string, message: protocol.Refusal, pool: string): void {
    const request = this.daemon(to).requests.get(message.ask)
    if (request === undefined || request.state !== 'waiting' || this.daemon(to).authorities.get(pool) !== from) return
    if (message.reason === 'shed') this.counts.shed += 1
    const { expectedMs, deadlineMs, expectedWaitMs, waitedMs } = message.figures
    // Not for lack of capacity: even an idle target could not have met the deadline from the request's arrival.
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

  private updateMembers (daemon: SimulatedDaemon): void {
    const previous = daemon.authorities
    daemon.authorities = this.electedAuthorities
    this.postAll(daemon, { kind: 'members', entries: this.live().map(({ name }) => name), authorities: this.electedAuthorities })
    for (const [pool, name] of this.electedAuthorities) if (previous.get(pool) !== name) this.resendWaiting(daemon, pool)
  }

  private resendWaiting (daemon: SimulatedDaemon, pool: string): void {
    for (const request of daemon.requests.values()) if (request.pool === pool && request.state === 'waiting') this.sendSlotRequest(daemon, request)
  }

  private sendSlotRequest (daemon: SimulatedDaemon, request: SimulatedRequest): void {
    const to = daemon.authorities.get(request.pool) as string
    const waitedMs = this.nowMs - request.arrivedAtMs
    this.send(daemon.name, to, { ...request.slotRequest, waitedMs, deadlineMs: request.slotRequest.deadlineMs - waitedMs, round: daemon.round }, request.pool)
  }

  private release (daemon: SimulatedDaemon, request: SimulatedRequest, outcome: protocol.SlotOutcome, to = daemon.authorities.get(request.pool) as string): void {
    const { ask: number, promptTokens, answerTokens } = request.slotRequest
    this.send(daemon.name, to, fixture.releaseOf(number, { outcome, promptTokens, answerTokens, firstTokenMs: outcome === 'finished' ? 100 : 0, totalMs: request.runMs }), request.pool)
  }

  private end (daemon: SimulatedDaemon, request: SimulatedRequest, outcome: protocol.SlotOutcome | 'refused'): void {
    const key = `${daemon.name}/${request.slotRequest.ask}`
    this.runs.delete(key)
    request.state = 'ended'
    this.counts.ended += 1
    if (outcome === 'refused') return
    if (outcome === 'cancelled') this.counts.preempted += 1
    this.release(daemon, request, outcome)
  }

  private dispatch (daemon: SimulatedDaemon, request: SimulatedRequest, target: string): void {
    const key = `${daemon.name}/${request.slotRequest.ask}`
    const leavingAtMs = this.leavingSinceMs.get(target)
    if (leavingAtMs !== undefined && this.nowMs > leavingAtMs + 3_000) this.violations.push(`dispatch on leaving ${target}`)
    if (this.runs.has(key)) this.violations.push(`second dispatch of ${key}`)
    const { tier, nonIdempotent, fingerprint } = request.slotRequest
    request.state = 'running'
    request.endsAtMs = this.nowMs + request.runMs
    this.counts.dispatched += 1
    this.runs.set(key, { key, pool: request.pool, target, tier, nonIdempotent, fingerprint, startedAtMs: this.nowMs })
  }

  private handleGrant (daemon: SimulatedDaemon, from: string, message: protocol.Grant): void {
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

  private handleRevocation (daemon: SimulatedDaemon, message: protocol.Revocation): void {
    const request = daemon.requests.get(message.ask)
    // A grant is used or released when it arrives, so a waiting request has no slot to release.
    if (request?.state === 'running' && message.cause === 'preempted') this.end(daemon, request, 'cancelled')
  }

  private replyToCollect (daemon: SimulatedDaemon, from: string, pool: string): void {
    if (daemon.authorities.get(pool) !== from) return
    const holdings = [...daemon.requests.values()].filter((request) => request.state === 'running' && request.pool === pool).map((request) => {
      const run = this.runs.get(`${daemon.name}/${request.slotRequest.ask}`) as SimulatedRun
      return { ...request.slotRequest, target: run.target, runningMs: this.nowMs - run.startedAtMs }
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
        throw new Error(`unexpected message ${message.kind}`)
    }
  }

  private isPaused (name: string): boolean {
    return this.daemon(name).isDead || this.daemon(name).pausedUntilMs > this.nowMs
  }

  private resume (daemon: SimulatedDaemon): void {
    if (!daemon.mustResume || this.isPaused(daemon.name)) return
    daemon.mustResume = false
    this.postAll(daemon, { kind: 'resumed' })
  }

  private tick (daemon: SimulatedDaemon): void {
    if (this.nowMs - daemon.roundAtMs >= 500) {
      daemon.round += 1
      daemon.roundAtMs = this.nowMs
      daemon.rounds.set(String(daemon.round), this.nowMs)
      for (const to of new Set(daemon.authorities.values())) this.send(daemon.name, to, { kind: 'round', round: daemon.round }, '')
    }
    this.postAll(daemon, { kind: 'tick' })
  }

  private endRuns (daemon: SimulatedDaemon): void {
    for (const request of daemon.requests.values()) {
      if (request.state === 'running' && request.endsAtMs <= this.nowMs) this.end(daemon, request, 'finished')
    }
  }

  /** Advances time until no request and no slot is left, by at most `limitMs`. */
  settle (limitMs: number): void {
    for (const end = this.nowMs + limitMs; this.nowMs < end && (this.openRequests().length > 0 || this.leftoverSlots().length > 0);) this.advance(1_000)
  }

  /** Reports the load of the targets; the daemons read it `REPORT_AGE_MS` later. */
  private publishLoad (): void {
    for (const target of Object.values(POOLS).flat()) {
      const runningRequests = [...this.runs.values()].filter((run) => run.target === target).length
      const report = { target, ageMs: REPORT_AGE_MS, runningRequests, queuedRequests: 0, tokensInProgress: runningRequests * 1_000 }
      this.schedule(REPORT_AGE_MS, () => { for (const daemon of this.live()) if (!this.isPaused(daemon.name)) this.postAll(daemon, { kind: 'load', report }) })
    }
  }

  /** Advances time in steps of `STEP_MS`. */
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

  /** Submits a request to a daemon. */
  submit (daemonIndex: number, fields: Partial<protocol.SlotRequest>, runMs: number): void {
    const live = this.live()
    const daemon = live[daemonIndex % live.length] as SimulatedDaemon
    const number = this.nextNumber++
    const pool = number % 4 === 0 ? 'west' : 'east'
    const request = new SimulatedRequest(fixture.slotRequestOf(number, { pool, ...fields }), pool, this.nowMs, runMs)
    daemon.requests.set(number, request)
    this.counts.submitted += 1
    if (!this.isPaused(daemon.name)) this.sendSlotRequest(daemon, request)
    else this.schedule(daemon.pausedUntilMs - this.nowMs + 10, () => this.sendSlotRequest(daemon, request))
  }

  /** Makes a daemon a pool's authority; each daemon applies the change after a delay of its own. */
  elect (pool: string, daemonIndex: number): void {
    const live = this.live()
    this.electedAuthorities = new Map([...this.electedAuthorities, [pool, (live[daemonIndex % live.length] as SimulatedDaemon).name]])
    for (const daemon of live) this.schedule(this.random() * 600, () => this.whenRunning(daemon, () => this.updateMembers(daemon)))
  }

  private whenRunning (daemon: SimulatedDaemon, action: () => void): void {
    if (daemon.isDead) return
    if (this.isPaused(daemon.name)) this.schedule(daemon.pausedUntilMs - this.nowMs + 10, () => this.whenRunning(daemon, action))
    else action()
  }

  /** Drops all messages in transit between two daemons, as when their connection breaks and is opened again. */
  dropMessages (first: number, second: number): void {
    const names = [DAEMONS[first % DAEMONS.length] as string, DAEMONS[second % DAEMONS.length] as string]
    for (const item of this.inTransit.filter(({ from, to }) => names.includes(from) && names.includes(to))) this.inTransit.splice(this.inTransit.indexOf(item), 1)
    for (const name of names) {
      const daemon = this.daemon(name)
      this.schedule(50, () => this.whenRunning(daemon, () => { for (const pool of Object.keys(POOLS)) this.resendWaiting(daemon, pool) }))
    }
  }

  /** Kills a daemon with its requests, at most once per cluster; the targets see its connections close. */
  kill (daemonIndex: number): void {
    if (this.live().length < DAEMONS.length) return
    const daemon = this.allDaemons()[daemonIndex % DAEMONS.length] as SimulatedDaemon
    daemon.isDead = true
    for (const key of [...this.runs.keys()]) if (key.startsWith(`${daemon.name}/`)) this.runs.delete(key)
    this.counts.lost += [...daemon.requests.values()].filter((request) => request.state !== 'ended').length
    this.schedule(500 + this.random() * 1_000, () => {
      for (const [pool, name] of this.electedAuthorities) if (name === daemon.name) this.elect(pool, daemonIndex + pool.length)
      for (const other of this.live()) this.schedule(this.random() * 600, () => this.whenRunning(other, () => this.updateMembers(other)))
    })
  }

  /** Suspends a daemon's process; its requests keep running on the targets. */
  pause (daemonIndex: number, ms: number): void {
    const daemon = this.allDaemons()[daemonIndex % DAEMONS.length] as SimulatedDaemon
    daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, this.nowMs + ms)
    daemon.mustResume = true
  }

  /** Announces that a target is leaving or serving again. */
  announce (target: string, state: 'leaving' | 'serving'): void {
    if (state === 'leaving') this.leavingSinceMs.set(target, this.nowMs)
    else this.leavingSinceMs.delete(target)
    const update: protocol.TargetUpdate = { kind: 'target', target, version: this.version++, state }
    for (const daemon of this.allDaemons()) {
      this.schedule(this.random() * 300, () => this.whenRunning(daemon, () => {
        if ((daemon.targetUpdates.get(target)?.version ?? 0) < update.version) daemon.targetUpdates.set(target, update)
        this.postAll(daemon, { kind: 'target', update })
      }))
    }
  }

  /** Lists the requests that have not ended. */
  openRequests (): readonly string[] {
    return this.live().flatMap((daemon) => [...daemon.requests.values()].filter((request) => request.state !== 'ended').map((request) => `${daemon.name}/${request.slotRequest.ask} ${request.state}`))
  }

  /** Lists the targets on which an authority counts requests in flight. */
  leftoverSlots (): readonly string[] {
    return this.live().flatMap((daemon) => [...daemon.cores.entries()].flatMap(([pool, core]) => core.status().targets
      .filter((target) => target.requestsInFlight > 0).map((target) => `${daemon.name} ${pool} ${target.target} ${target.requestsInFlight}`)))
  }
}
