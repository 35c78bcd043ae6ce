/**
 * The product's cores as a scheduler of a replay: several daemons, with delayed messages between them.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as daemon from './daemon.js'
import type * as engine from './engine.js'
import type * as scheduler from './scheduler.js'

/** Which parts of the cores' surroundings are switched off, to measure what they bring. */
export interface Options {
  /** Whether asks carry prefix hashes. */
  readonly prefixes: boolean
  /** Whether load and cache reports are read. */
  readonly reports: boolean
  /** When the list of VMs came back empty, and for how long, if missing targets count as leaving. */
  readonly believedEmptyList?: { readonly atMs: number, readonly forMs: number } | undefined
  /** Called at every reading of reports with the authorities' status. */
  readonly observe?: ((status: authority.authority.Status, nowMs: number) => void) | undefined
}

/** Everything switched on. */
export const WHOLE: Options = { prefixes: true, reports: true }

const TICK_MS = 100
const REPORT_INTERVAL_MS = 1_000
const EPOCH = 1
/** Longest delay by which a daemon sees an event of a stream late, as processes on shared processors do. */
const MAX_DELIVERY_DELAY_MS = 60

interface Run {
  readonly job: engine.Job
  readonly target: string
}

function incarnationOf (index: number): protocol.Incarnation {
  return `entry${String(index).padStart(8, '0')}`
}

function firstTokenMs (request: scheduler.Request, job: engine.Job, random: protocol.Random): number {
  if (!request.kind.stream || job.firstTokenAtMs === undefined) return 0
  return job.firstTokenAtMs - job.submittedAtMs + random() * MAX_DELIVERY_DELAY_MS
}

function endOf (request: scheduler.Request, job: engine.Job, random: protocol.Random): entry.event.DispatchEnd {
  const first = firstTokenMs(request, job, random)
  return {
    outcome: job.outcome === 'running' ? 'incomplete' : job.outcome,
    detail: job.outcome,
    promptTokens: job.work.prompt,
    cachedTokens: job.cachedTokens,
    answerTokens: job.writtenTokens,
    firstTokenMs: first,
    totalMs: Math.max(first, (job.endedAtMs ?? 0) - job.submittedAtMs + random() * MAX_DELIVERY_DELAY_MS)
  }
}

function toArrival (request: scheduler.Request, owner: protocol.Incarnation, options: Options): entry.event.Arrival {
  const { kind, arrival, index } = request
  return {
    request: index,
    identity: kind.nonIdempotent ? `${owner}.${EPOCH}.r${index}` : undefined,
    service: kind.service,
    organisation: request.organisation,
    tier: kind.tier,
    method: kind.method,
    path: kind.path,
    fingerprint: `r${index}`,
    promptTokens: arrival.prompt,
    answerTokens: kind.target === 'model' ? kind.answerLimitTokens : undefined,
    prefixes: options.prefixes ? request.prefixes : [],
    deadlineMs: kind.deadlineMs
  }
}

function listPools (surroundings: scheduler.Surroundings): readonly string[] {
  return [...new Set(surroundings.documents.flatMap((content) => content.targets.map(({ pool }) => pool)))].sort()
}

/** The daemons and what runs for them. */
class Cluster {
  readonly #daemons: readonly daemon.Daemon[]
  readonly #pools: readonly string[]
  readonly #owners = new Map<number, daemon.Daemon>()
  readonly #requests = new Map<number, scheduler.Request>()
  readonly #runs = new Map<number, Run>()
  readonly #sequences = new Map<string, number>()

  constructor (readonly surroundings: scheduler.Surroundings, readonly options: Options) {
    const { header, random } = surroundings
    this.#pools = listPools(surroundings)
    const incarnations = Array.from({ length: header.entries }, (_, index) => incarnationOf(index))
    this.#daemons = incarnations.map((incarnation) => daemon.createDaemon({ incarnation, pools: this.#pools, random, ports: this.#portsOf(incarnation) }))
    this.#introduce(incarnations)
    this.#tick()
    this.#scheduleEmptyList()
  }

  arrive (request: scheduler.Request): void {
    const owner = this.#daemons[Math.floor(this.surroundings.random() * this.#daemons.length)] as daemon.Daemon
    this.#owners.set(request.index, owner)
    this.#requests.set(request.index, request)
    owner.toEntry({ kind: 'arrival', arrival: toArrival(request, owner.incarnation, this.options) }, this.#now())
  }

  abandon (request: scheduler.Request): void {
    this.#owners.get(request.index)?.toEntry({ kind: 'caller-gone', request: request.index }, this.#now())
  }

  /** Reads what a target publishes, for the daemon that is the authority over it. */
  load (target: string, from: engine.Engine): void {
    if (!this.options.reports) return
    const report = from.loadReport()
    const cache = from.cacheReports(this.#sequences.get(target) ?? 0)
    for (const each of this.#daemons) {
      if (report !== undefined) each.toAuthorities({ kind: 'load', report }, this.#now())
      for (const change of cache) each.toAuthorities({ kind: 'cache', report: change }, this.#now())
    }
    const last = cache.at(-1)
    if (last !== undefined) this.#sequences.set(target, last.sequence)
  }

  #now (): number {
    return this.surroundings.timeline.now()
  }

  #introduce (incarnations: readonly protocol.Incarnation[]): void {
    const { documents } = this.surroundings
    const authorities = new Map(this.#pools.map((pool, index) => [pool, incarnations[index % incarnations.length] as string]))
    for (const each of this.#daemons) {
      each.toEntry({ kind: 'beat', beat: EPOCH }, 0)
      each.toEntry({ kind: 'documents', documents }, 0)
      each.toAuthorities({ kind: 'documents', documents }, 0)
      each.toEntry({ kind: 'authorities', authorities, reconnected: [] }, 0)
      each.toAuthorities({ kind: 'members', entries: incarnations, authorities }, 0)
    }
  }

  #tick (): void {
    const nowMs = this.#now()
    for (const each of this.#daemons) {
      each.toEntry({ kind: 'tick' }, nowMs)
      each.toAuthorities({ kind: 'tick' }, nowMs)
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) this.#observe(nowMs)
    this.surroundings.timeline.after(TICK_MS, () => this.#tick())
  }

  #scheduleEmptyList (): void {
    const empty = this.options.believedEmptyList
    if (empty === undefined) return
    this.surroundings.timeline.at(empty.atMs, () => this.#changeTargets('leaving', 1))
    this.surroundings.timeline.at(empty.atMs + empty.forMs, () => this.#changeTargets('serving', 2))
  }

  #changeTargets (state: 'leaving' | 'serving', version: number): void {
    for (const { name } of this.surroundings.header.targets) {
      const event = { kind: 'target', news: { kind: 'target', target: name, version, state } } as const
      for (const each of this.#daemons) {
        each.toEntry(event, this.#now())
        each.toAuthorities(event, this.#now())
      }
    }
  }

  #observe (nowMs: number): void {
    this.#pools.forEach((pool, index) => {
      const status = this.#daemons[index % this.#daemons.length]?.status(pool)
      if (status !== undefined) this.options.observe?.(status, nowMs)
    })
  }

  #portsOf (from: protocol.Incarnation): daemon.Ports {
    const { timeline, header, fail, count } = this.surroundings
    return {
      count,
      send: ({ to, message }) => timeline.after(to === from ? 0 : header.messageDelayMs, () => this.#find(to)?.receive(from, message, this.#now())),
      news: (news) => timeline.after(header.messageDelayMs, () => this.#spread(news)),
      dispatch: (request, target) => this.#dispatch(request, target),
      cancel: (request) => this.#cancel(request),
      refuse: (request, { reason, execution }) => {
        const refused = this.#requests.get(request)
        if (refused !== undefined) fail(refused, { reason, execution })
      }
    }
  }

  #find (incarnation: protocol.Incarnation): daemon.Daemon | undefined {
    return this.#daemons.find((each) => each.incarnation === incarnation)
  }

  #spread (news: protocol.Update): void {
    if (news.kind !== 'suspect') return
    for (const each of this.#daemons) {
      each.toEntry({ kind: 'suspect', news }, this.#now())
      each.toAuthorities({ kind: 'suspect', news }, this.#now())
    }
  }

  #dispatch (index: number, target: string): void {
    const request = this.#requests.get(index)
    if (request === undefined) return
    const job = this.surroundings.dispatch(request, target, (ended) => this.#ended(request, ended))
    this.#runs.set(index, { job, target })
  }

  #cancel (index: number): void {
    const run = this.#runs.get(index)
    if (run !== undefined) this.surroundings.timeline.after(0, () => this.surroundings.cancel(run.job, run.target))
  }

  #ended (request: scheduler.Request, job: engine.Job): void {
    this.#runs.delete(request.index)
    const owner = this.#owners.get(request.index)
    this.surroundings.timeline.after(0, () => owner?.toEntry({ kind: 'ended', request: request.index, end: endOf(request, job, this.surroundings.random) }, this.#now()))
  }
}

/**
 * Creates the cores' scheduler.
 *
 * @example
 * ```ts
 * replay(recorded, documents, createCores(WHOLE))
 * ```
 */
export function createCores (options: Options): scheduler.Factory {
  return (surroundings) => {
    const cluster = new Cluster(surroundings, options)
    return {
      arrive: (request) => cluster.arrive(request),
      abandon: (request) => cluster.abandon(request),
      load: (target, from) => cluster.load(target, from)
    }
  }
}
