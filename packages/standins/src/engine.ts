/**
 * The model engine without its HTTP interface: batch, prefix cache, load reports and log.
 *
 * @module
 */
import * as batch from './batch.js'
import * as engineJob from './engine-job.js'
import type * as engineRequest from './engine-request.js'
import * as delayedValue from './delayed-value.js'
import * as prefixCache from './prefix-cache.js'
import type * as timers from './timers.js'

const TICK_MS = 5
const LOAD_SAMPLE_INTERVAL_MS = 20
const MAX_RETAINED_JOBS = 256

/** Sizes, rates and lags of an engine. */
export interface Options extends batch.Options {
  readonly timers: timers.Timers
  readonly random: () => number
  readonly cacheTokens: number
  readonly loadLagMs: number
  readonly cacheEventLagMs: number
  /** Share of cache events that are lost. */
  readonly cacheEventLossRate: number
  /** Minimum time between two events of a stream; tokens in between are sent together. */
  readonly eventIntervalMs: number
  readonly onCrash: () => void
}

/** Reported load. */
export interface Load {
  readonly runningRequests: number
  readonly queuedRequests: number
  readonly tokensInProgress: number
}

/** One published change to the prefix cache. */
export interface CacheEvent extends prefixCache.CacheChange {
  readonly sequence: number
  readonly visibleAtMs: number
}

const IDLE: Load = { runningRequests: 0, queuedRequests: 0, tokensInProgress: 0 }

/** Simulates a model engine. */
export class Engine {
  slowdown = 1
  leaving = false
  readonly cache: prefixCache.PrefixCache
  readonly #jobs = new Map<string, engineJob.Job>()
  readonly #log: engineJob.Job[] = []
  readonly #batch: batch.Batch
  readonly #load: delayedValue.DelayedValue<Load>
  #cacheEvents: readonly CacheEvent[] = []
  #cacheSequence = 0
  #lastTickMs = 0
  #lastSampleMs = -Infinity
  #stopTicks: timers.Cancel | undefined

  constructor (readonly options: Options) {
    this.cache = new prefixCache.PrefixCache(options.cacheTokens)
    this.#load = new delayedValue.DelayedValue(options.loadLagMs)
    this.#batch = new batch.Batch(options, {
      onStart: (sequence) => this.#onStart(sequence),
      onPrefilled: (sequence) => this.storePrefixes(this.#jobs.get(sequence.id)?.request.prefixes ?? []),
      onTokens: (sequence) => this.#jobs.get(sequence.id)?.publish(options.timers.now(), options.eventIntervalMs),
      onDone: (sequence) => this.#jobs.get(sequence.id)?.end('finished', options.timers.now())
    })
  }

  submit (request: engineRequest.EngineRequest): engineJob.Job {
    const job = new engineJob.Job(`cmpl-${this.#log.length + 1}`, request, this.options.timers.now(), this.leaving)
    this.#log.push(job)
    this.#jobs.set(job.id, job)
    this.#evictOldJobs()
    this.#batch.add(job.sequence)
    this.#startTicks()
    this.#sampleLoad()
    return job
  }

  job (id: string): engineJob.Job | undefined {
    return this.#jobs.get(id)
  }

  stop (job: engineJob.Job, outcome: engineJob.Outcome): void {
    if (job.outcome !== 'running') return
    job.end(outcome, this.options.timers.now())
    this.#batch.remove(job.sequence)
    this.#sampleLoad()
  }

  /** Ends every running request and clears the cache, like a crash of the process. */
  crash (): void {
    // Connections are reset first, so that no response ends properly.
    this.options.onCrash()
    this.#batch.clear()
    for (const job of this.#jobs.values()) {
      if (job.outcome === 'running') job.end('crashed', this.options.timers.now())
    }
    this.#jobs.clear()
    this.cache.clear()
    this.#cacheEvents = []
    this.#sampleLoad()
  }

  close (): void {
    this.#stopTicks?.()
    this.#stopTicks = undefined
  }

  get load (): Load {
    return this.#load.read(this.options.timers.now())?.value ?? IDLE
  }

  log (after: number): readonly engineJob.LogEntry[] {
    return this.#log.slice(after).map((job) => job.logEntry)
  }

  cacheEvents (after: number): readonly CacheEvent[] {
    const nowMs = this.options.timers.now()
    return this.#cacheEvents.filter((event) => event.sequence > after && event.visibleAtMs <= nowMs)
  }

  storePrefixes (prefixes: readonly prefixCache.Prefix[]): void {
    const change = this.cache.store(prefixes)
    if (change.stored.length + change.evicted.length === 0) return
    this.#cacheSequence += 1
    if (this.options.random() < this.options.cacheEventLossRate) return
    const event = { ...change, sequence: this.#cacheSequence, visibleAtMs: this.options.timers.now() + this.options.cacheEventLagMs }
    this.#cacheEvents = [...this.#cacheEvents.slice(-1_000), event]
  }

  #onStart (sequence: batch.Sequence): void {
    const job = this.#jobs.get(sequence.id)
    if (job === undefined) return
    job.startedAtMs = this.options.timers.now()
    sequence.cachedTokens = Math.min(sequence.promptTokens, this.cache.findLongest(job.request.prefixes))
  }

  #startTicks (): void {
    if (this.#stopTicks !== undefined) return
    this.#lastTickMs = this.options.timers.now()
    this.#stopTicks = this.options.timers.every(TICK_MS, () => this.#tick())
  }

  #tick (): void {
    const nowMs = this.options.timers.now()
    const elapsedMs = nowMs - this.#lastTickMs
    this.#lastTickMs = nowMs
    if (this.#shouldCrash()) this.crash()
    else this.#batch.advance(elapsedMs, 1 / this.slowdown)
    if (nowMs - this.#lastSampleMs >= LOAD_SAMPLE_INTERVAL_MS) this.#sampleLoad()
    if (this.#batch.running.size + this.#batch.waiting.size > 0) return
    this.#sampleLoad()
    this.close()
  }

  #shouldCrash (): boolean {
    return [...this.#batch.running].some((sequence) => this.#jobs.get(sequence.id)?.request.crashes)
  }

  #sampleLoad (): void {
    const nowMs = this.options.timers.now()
    this.#lastSampleMs = nowMs
    this.#load.record(nowMs, {
      runningRequests: this.#batch.running.size,
      queuedRequests: this.#batch.waiting.size,
      tokensInProgress: this.#batch.tokensInProgress
    })
  }

  #evictOldJobs (): void {
    for (const [id, job] of this.#jobs) {
      if (this.#jobs.size <= MAX_RETAINED_JOBS) return
      if (job.outcome === 'running') continue
      this.#jobs.delete(id)
      job.dropEvents()
    }
  }
}
