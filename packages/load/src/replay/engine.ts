/**
 * Model of a target with continuous batching: running requests share a prefill rate in order of
 * arrival and a decode rate evenly; the rest wait in order of arrival. It has no priorities.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as protocol from '@persimmonhatch/protocol'
import * as standins from '@persimmonhatch/standins'
import type * as trace from '../trace/trace.js'
import * as prefixes from './prefixes.js'
import type * as timeline from './timeline.js'

/** What a request needs of a target. */
export interface Work {
  readonly prompt: number
  readonly answer: number
  readonly prefixes: readonly string[]
}

/** One run of a request on a target. Times are milliseconds. */
export class Job {
  cachedTokens = 0
  prefilled = 0
  decoded = 0
  isStarted = false
  outcome: 'running' | 'finished' | 'cancelled' | 'crashed' | 'unreachable' = 'running'
  firstTokenAtMs: number | undefined
  endedAtMs: number | undefined

  constructor (readonly work: Work, readonly submittedAtMs: number, readonly onEnd: (job: Job) => void) {}

  get prefillLeft (): number {
    return Math.max(0, this.work.prompt - this.cachedTokens - this.prefilled)
  }

  get writtenTokens (): number {
    return Math.min(this.work.answer, Math.floor(this.decoded))
  }
}

interface Sample {
  readonly atMs: number
  readonly runningRequests: number
  readonly queuedRequests: number
  readonly tokensInProgress: number
}

interface CacheEvent extends authority.event.CacheReport {
  readonly visibleAtMs: number
}

/** What an engine runs by. */
export interface Options {
  readonly target: trace.Target
  readonly timeline: timeline.Timeline
  readonly random: protocol.Random
}

const TICK_MS = 5
const SAMPLE_INTERVAL_MS = 20
const MS_PER_S = 1_000
const MAX_SAMPLES = 512
const MAX_CACHE_EVENTS = 1_000

/** A modelled target; plain services answer every request after their service time. */
export class Engine {
  slowdown = 1
  loadLagMs: number
  cacheEventLagMs: number
  /** Prompt tokens computed, and those of requests that did not finish. */
  prefilledTokens = 0
  wastedPrefillTokens = 0
  #downUntilMs = 0
  #isTicking = false
  #samples: Sample[] = []
  #cacheEvents: CacheEvent[] = []
  #sequence = 0
  readonly #running = new Set<Job>()
  readonly #waiting = new Set<Job>()
  readonly #cache: standins.prefixCache.PrefixCache

  constructor (readonly options: Options) {
    this.loadLagMs = options.target.loadLagMs
    this.cacheEventLagMs = options.target.cacheEventLagMs
    this.#cache = new standins.prefixCache.PrefixCache(options.target.cacheTokens)
  }

  /** Whether the target refuses connections. */
  get isDown (): boolean {
    return this.#now() < this.#downUntilMs
  }

  submit (work: Work, onEnd: (job: Job) => void): Job {
    const job = new Job(work, this.#now(), onEnd)
    if (this.isDown) this.options.timeline.after(0, () => this.#end(job, 'unreachable'))
    else if (this.options.target.kind === 'plain') this.options.timeline.after(this.options.target.serviceTimeMs * this.slowdown, () => this.#finishPlain(job))
    else this.#queue(job)
    return job
  }

  cancel (job: Job): void {
    if (job.outcome !== 'running') return
    this.#end(job, 'cancelled')
    this.#fill()
  }

  crash (forMs: number): void {
    this.#downUntilMs = this.#now() + forMs
    for (const job of [...this.#running, ...this.#waiting]) this.#end(job, 'crashed')
    this.#cache.clear()
    this.#cacheEvents = []
  }

  /** The report that a reader gets now; undefined while the target is down. */
  loadReport (): authority.event.LoadReport | undefined {
    const nowMs = this.#now()
    if (this.isDown) return undefined
    const sample = this.#samples.findLast(({ atMs }) => atMs <= nowMs - this.loadLagMs)
    if (sample === undefined) return undefined
    const { runningRequests, queuedRequests, tokensInProgress } = sample
    return { target: this.options.target.name, ageMs: this.loadLagMs, runningRequests, queuedRequests, tokensInProgress }
  }

  cacheReports (after: number): readonly authority.event.CacheReport[] {
    const nowMs = this.#now()
    return this.#cacheEvents.filter(({ sequence, visibleAtMs }) => sequence > after && visibleAtMs <= nowMs)
      .map(({ target, sequence, stored, evicted }) => ({ target, sequence, stored, evicted }))
  }

  #now (): number {
    return this.options.timeline.now()
  }

  #queue (job: Job): void {
    this.#waiting.add(job)
    this.#fill()
    if (this.#isTicking) return
    this.#isTicking = true
    this.options.timeline.after(TICK_MS, () => this.#tick())
  }

  #finishPlain (job: Job): void {
    if (job.outcome !== 'running') return
    job.decoded = job.work.answer
    job.firstTokenAtMs = this.#now()
    this.#end(job, 'finished')
  }

  #end (job: Job, outcome: Job['outcome']): void {
    if (job.outcome !== 'running') return
    this.#running.delete(job)
    this.#waiting.delete(job)
    job.outcome = outcome
    job.endedAtMs = this.#now()
    if (outcome !== 'finished') this.wastedPrefillTokens += job.prefilled
    job.onEnd(job)
  }

  #tick (): void {
    const seconds = TICK_MS / this.slowdown / MS_PER_S
    this.#prefill(this.options.target.prefillTokensPerS * seconds)
    this.#decode(seconds)
    this.#fill()
    this.#sample()
    this.#isTicking = this.#running.size + this.#waiting.size > 0
    if (this.#isTicking) this.options.timeline.after(TICK_MS, () => this.#tick())
  }

  #fill (): void {
    for (const job of this.#waiting) {
      if (this.#running.size >= this.options.target.maxBatch) return
      this.#waiting.delete(job)
      this.#running.add(job)
      job.isStarted = true
      job.cachedTokens = Math.min(job.work.prompt, this.#cache.lookUp(prefixes.withTokens(job.work.prefixes)))
      if (job.prefillLeft === 0) this.#store(job)
    }
  }

  #prefill (budget: number): void {
    let left = budget
    for (const job of this.#running) {
      if (left <= 0) return
      const work = Math.min(left, job.prefillLeft)
      if (work === 0) continue
      job.prefilled += work
      this.prefilledTokens += work
      left -= work
      if (job.prefillLeft === 0) this.#store(job)
    }
  }

  #decode (seconds: number): void {
    const decoding = [...this.#running].filter((job) => job.prefillLeft === 0)
    const { maxDecodeTokensPerSequencePerS, decodeTokensPerS } = this.options.target
    const share = Math.min(maxDecodeTokensPerSequencePerS, decodeTokensPerS / Math.max(1, decoding.length)) * seconds
    for (const job of decoding) {
      job.decoded += share
      if (job.writtenTokens > 0) job.firstTokenAtMs ??= this.#now()
      if (job.writtenTokens >= job.work.answer) this.#end(job, 'finished')
    }
  }

  #store (job: Job): void {
    const change = this.#cache.store(prefixes.withTokens(job.work.prefixes))
    if (change.stored.length + change.evicted.length === 0) return
    this.#sequence += 1
    if (this.options.random() < this.options.target.cacheEventLossRate) return
    this.#cacheEvents.push({ ...change, target: this.options.target.name, sequence: this.#sequence, visibleAtMs: this.#now() + this.cacheEventLagMs })
    if (this.#cacheEvents.length > 2 * MAX_CACHE_EVENTS) this.#cacheEvents = this.#cacheEvents.slice(-MAX_CACHE_EVENTS)
  }

  #sample (): void {
    const nowMs = this.#now()
    const isIdle = this.#running.size + this.#waiting.size === 0
    const lastMs = this.#samples.at(-1)?.atMs ?? -Infinity
    if (!isIdle && nowMs - lastMs < SAMPLE_INTERVAL_MS) return
    let tokensInProgress = 0
    for (const job of this.#running) tokensInProgress += job.prefillLeft + job.work.answer - job.writtenTokens
    this.#samples.push({ atMs: nowMs, runningRequests: this.#running.size, queuedRequests: this.#waiting.size, tokensInProgress })
    if (this.#samples.length > 2 * MAX_SAMPLES) this.#samples = this.#samples.slice(-MAX_SAMPLES)
  }
}
