/**
 * Scheduler that runs the product's cores in a replay: several daemons that exchange delayed messages.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as daemon from './daemon.js'
import type * as engine from './engine.js'
import type * as scheduler from './scheduler.js'

/** Switches off parts of the cores' environment, to measure their benefit. */
export interface Options {
  /** Whether slot requests carry prefix hashes. */
  readonly prefixes: boolean
  /** Whether load and cache reports are read. */
  readonly reports: boolean
  /** When, and for how long, the VM list is empty and all targets therefore count as leaving. */
  readonly emptyVmList?: { readonly atMs: number, readonly forMs: number } | undefined
  /** Called with the status of each authority at every report interval. */
  readonly observe?: ((status: authority.authority.Status, nowMs: number) => void) | undefined
}

/** All parts switched on. */
export const WHOLE: Options = { prefixes: true, reports: true }

const TICK_MS = 100
const REPORT_INTERVAL_MS = 1_000
const EPOCH = 1
/** Maximum delay until a daemon handles a stream event, as for processes on shared processors. */
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

function toDispatchEnd (request: scheduler.Request, job: engine.Job, random: protocol.Random): entry.event.DispatchEnd {
  const firstTokenDelayMs = firstTokenMs(request, job, random)
  return {
    outcome: job.outcome === 'running' ? 'incomplete' : job.outcome,
    detail: job.outcome,
    promptTokens: job.work.prompt,
    cachedTokens: job.cachedTokens,
    answerTokens: job.writtenTokens,
    firstTokenMs: firstTokenDelayMs,
    totalMs: Math.max(firstTokenDelayMs, (job.endedAtMs ?? 0) - job.submittedAtMs + random() * MAX_DELIVERY_DELAY_MS)
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

function listPools (environment: scheduler.Environment): readonly string[] {
  return [...new Set(environment.documents.flatMap((serviceDocument) => serviceDocument.targets.map(({ pool }) => pool)))].sort()
}

/** Simulated daemons and their requests. */
class Cluster {
  readonly #daemons: readonly daemon.Daemon[]
  readonly #pools: readonly string[]
  readonly #owners = new Map<number, daemon.Daemon>()
  readonly #requests = new Map<number, scheduler.Request>()
  readonly #runs = new Map<number, Run>()
  readonly #sequences = new Map<string, number>()

  constructor (readonly environment: scheduler.Environment, readonly options: Options) {
    const { header, random } = environment
    this.#pools = listPools(environment)
    const incarnations = Array.from({ length: header.entries }, (_, index) => incarnationOf(index))
    this.#daemons = incarnations.map((incarnation) => daemon.createDaemon({ incarnation, pools: this.#pools, random, outputHandlers: this.#createOutputHandlers(incarnation) }))
    this.#initialiseDaemons(incarnations)
    this.#tick()
    this.#scheduleEmptyVmList()
  }

  arrive (request: scheduler.Request): void {
    const owner = this.#daemons[Math.floor(this.environment.random() * this.#daemons.length)] as daemon.Daemon
    this.#owners.set(request.index, owner)
    this.#requests.set(request.index, request)
    owner.toEntry({ kind: 'arrival', arrival: toArrival(request, owner.incarnation, this.options) }, this.#now())
  }

  abandon (request: scheduler.Request): void {
    this.#owners.get(request.index)?.toEntry({ kind: 'caller-gone', request: request.index }, this.#now())
  }

  /** Reads the load and cache reports of a target and passes them to the authorities of all daemons. */
  load (target: string, modelledEngine: engine.Engine): void {
    if (!this.options.reports) return
    const report = modelledEngine.loadReport()
    const cache = modelledEngine.cacheReports(this.#sequences.get(target) ?? 0)
    for (const each of this.#daemons) {
      if (report !== undefined) each.toAuthorities({ kind: 'load', report }, this.#now())
      for (const change of cache) each.toAuthorities({ kind: 'cache', report: change }, this.#now())
    }
    const lastReport = cache.at(-1)
    if (lastReport !== undefined) this.#sequences.set(target, lastReport.sequence)
  }

  #now (): number {
    return this.environment.timeline.now()
  }

  #initialiseDaemons (incarnations: readonly protocol.Incarnation[]): void {
    const { documents } = this.environment
    const authorities = new Map(this.#pools.map((pool, index) => [pool, incarnations[index % incarnations.length] as string]))
    for (const each of this.#daemons) {
      each.toEntry({ kind: 'heartbeat', heartbeat: EPOCH }, 0)
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
    this.environment.timeline.after(TICK_MS, () => this.#tick())
  }

  #scheduleEmptyVmList (): void {
    const emptyVmList = this.options.emptyVmList
    if (emptyVmList === undefined) return
    this.environment.timeline.at(emptyVmList.atMs, () => this.#setTargetStates('leaving', 1))
    this.environment.timeline.at(emptyVmList.atMs + emptyVmList.forMs, () => this.#setTargetStates('serving', 2))
  }

  #setTargetStates (state: 'leaving' | 'serving', version: number): void {
    for (const { name } of this.environment.header.targets) {
      const event = { kind: 'target', update: { kind: 'target', target: name, version, state } } as const
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

  #createOutputHandlers (from: protocol.Incarnation): daemon.OutputHandlers {
    const { timeline, header, fail, count } = this.environment
    return {
      count,
      send: ({ to, message }) => timeline.after(to === from ? 0 : header.messageDelayMs, () => this.#findDaemon(to)?.receive(from, message, this.#now())),
      disseminate: (update) => timeline.after(header.messageDelayMs, () => this.#disseminate(update)),
      dispatch: (request, target) => this.#dispatch(request, target),
      cancel: (request) => this.#cancel(request),
      refuse: (request, { reason, execution }) => {
        const refused = this.#requests.get(request)
        if (refused !== undefined) fail(refused, { reason, execution })
      }
    }
  }

  #findDaemon (incarnation: protocol.Incarnation): daemon.Daemon | undefined {
    return this.#daemons.find((each) => each.incarnation === incarnation)
  }

  #disseminate (update: protocol.Update): void {
    if (update.kind !== 'suspect') return
    for (const each of this.#daemons) {
      each.toEntry({ kind: 'suspect', update }, this.#now())
      each.toAuthorities({ kind: 'suspect', update }, this.#now())
    }
  }

  #dispatch (index: number, target: string): void {
    const request = this.#requests.get(index)
    if (request === undefined) return
    const job = this.environment.dispatch(request, target, (ended) => this.#handleEnd(request, ended))
    this.#runs.set(index, { job, target })
  }

  #cancel (index: number): void {
    const run = this.#runs.get(index)
    if (run !== undefined) this.environment.timeline.after(0, () => this.environment.cancel(run.job, run.target))
  }

  #handleEnd (request: scheduler.Request, job: engine.Job): void {
    this.#runs.delete(request.index)
    const owner = this.#owners.get(request.index)
    this.environment.timeline.after(0, () => owner?.toEntry({ kind: 'ended', request: request.index, end: toDispatchEnd(request, job, this.environment.random) }, this.#now()))
  }
}

/**
 * Creates a scheduler that runs the cores.
 *
 * @example
 * ```ts
 * replay(recorded, documents, createCores(WHOLE))
 * ```
 */
export function createCores (options: Options): scheduler.Factory {
  return (environment) => {
    const cluster = new Cluster(environment, options)
    return {
      arrive: (request) => cluster.arrive(request),
      abandon: (request) => cluster.abandon(request),
      load: (target, modelledEngine) => cluster.load(target, modelledEngine)
    }
  }
}
