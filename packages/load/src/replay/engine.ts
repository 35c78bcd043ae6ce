/**
 * Model of a target with continuous batching. Prefill capacity goes to running requests in order of arrival,
 * decode capacity is shared evenly, and further requests wait in FIFO order. There are no priorities.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as protocol from '@persimmonhatch/protocol'
import * as standins from '@persimmonhatch/standins'
import type * as trace from '../trace/trace.js'
import * as prefixes from './prefixes.js'
import type * as timeline from './timeline.js'

/** Prompt and response lengths of a request, in tokens, and its prefix hashes. */
export interface JobSpec {
  readonly prompt: number
  readonly answer: number
  readonly prefixes: readonly string[]
}

/** One run of a request on a target. Times are milliseconds. */
export class Job {
  cachedTokens = 0
  prefilledTokens = 0
  decodedTokens = 0
  isStarted = false
  outcome: 'running' | 'finished' | 'cancelled' | 'crashed' | 'unreachable' = 'running'
  firstTokenAtMs: number | undefined
  endedAtMs: number | undefined

  constructor (readonly work: JobSpec, readonly submittedAtMs: number, readonly onEnd: (job: Job) => void) {}

  get remainingPrefillTokens (): number {
    return Math.max(0, this.work.prompt - this.cachedTokens - this.prefilledTokens)
  }

  get writtenTokens (): number {
    return Math.min(this.work.answer, Math.floor(this.decodedTokens))
  }
}

interface LoadSample {
  readonly atMs: number
  readonly runningRequests: number
  readonly queuedRequests: number
  readonly tokensInProgress: number
}

interface CacheEvent extends authority.event.CacheReport {
  readonly visibleAtMs: number
}

/** Options of a modelled target. */
export interface Options {
  readonly target: trace.Target
  readonly timeline: timeline.Timeline
  readonly random: protocol.Random
}

const TICK_MS = 5
const LOAD_SAMPLE_INTERVAL_MS = 20
const MS_PER_S = 1_000
const MAX_LOAD_SAMPLES = 512
const MAX_CACHE_EVENTS = 1_000

/** A modelled target. Plain services complete every request after their service time. */
export class Engine {
  slowdown = 1
  loadLagMs: number
  cacheEventLagMs: number
  prefilledTokens = 0
  /** The part of `prefilledTokens` that belongs to requests that didn't finish. */
  wastedPrefillTokens = 0
  #downUntilMs = 0
  #isTicking = false
  #loadSamples: LoadSample[] = []
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

  submit (work: JobSpec, onEnd: (job: Job) => void): Job {
    const job = new Job(work, this.#now(), onEnd)
    if (this.isDown) this.options.timeline.after(0, () => this.#endJob(job, 'unreachable'))
    else if (this.options.target.kind === 'plain') this.options.timeline.after(this.options.target.serviceTimeMs * this.slowdown, () => this.#finishPlain(job))
    else this.#enqueue(job)
    return job
  }

  cancel (job: Job): void {
    if (job.outcome !== 'running') return
    this.#endJob(job, 'cancelled')
    this.#startWaiting()
  }

  crash (forMs: number): void {
    this.#downUntilMs = this.#now() + forMs
    for (const job of [...this.#running, ...this.#waiting]) this.#endJob(job, 'crashed')
    this.#cache.clear()
    this.#cacheEvents = []
  }

  /** Returns the lagging load report that is readable now, or `undefined` while the target is down or has none. */
  loadReport (): authority.event.LoadReport | undefined {
    const nowMs = this.#now()
    if (this.isDown) return undefined
    const sample = this.#loadSamples.findLast(({ atMs }) => atMs <= nowMs - this.loadLagMs)
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

  #enqueue (job: Job): void {
    this.#waiting.add(job)
    this.#startWaiting()
    if (this.#isTicking) return
    this.#isTicking = true
    this.options.timeline.after(TICK_MS, () => this.#tick())
  }

  #finishPlain (job: Job): void {
    if (job.outcome !== 'running') return
    job.decodedTokens = job.work.answer
    job.firstTokenAtMs = this.#now()
    this.#endJob(job, 'finished')
  }

  #endJob (job: Job, outcome: Job['outcome']): void {
    if (job.outcome !== 'running') return
    this.#running.delete(job)
    this.#waiting.delete(job)
    job.outcome = outcome
    job.endedAtMs = this.#now()
    if (outcome !== 'finished') this.wastedPrefillTokens += job.prefilledTokens
    job.onEnd(job)
  }

  #tick (): void {
    const effectiveS = TICK_MS / this.slowdown / MS_PER_S
    this.#prefill(this.options.target.prefillTokensPerS * effectiveS)
    this.#decode(effectiveS)
    this.#startWaiting()
    this.#sampleLoad()
    this.#isTicking = this.#running.size + this.#waiting.size > 0
    if (this.#isTicking) this.options.timeline.after(TICK_MS, () => this.#tick())
  }

  #startWaiting (): void {
    for (const job of this.#waiting) {
      if (this.#running.size >= this.options.target.maxBatch) return
      this.#waiting.delete(job)
      this.#running.add(job)
      job.isStarted = true
      job.cachedTokens = Math.min(job.work.prompt, this.#cache.findLongest(prefixes.toCachePrefixes(job.work.prefixes)))
      if (job.remainingPrefillTokens === 0) this.#storePrefixes(job)
    }
  }

  #prefill (budgetTokens: number): void {
    let remainingTokens = budgetTokens
    for (const job of this.#running) {
      if (remainingTokens <= 0) return
      const tokens = Math.min(remainingTokens, job.remainingPrefillTokens)
      if (tokens === 0) continue
      job.prefilledTokens += tokens
      this.prefilledTokens += tokens
      remainingTokens -= tokens
      if (job.remainingPrefillTokens === 0) this.#storePrefixes(job)
    }
  }

  #decode (effectiveS: number): void {
    const decodingJobs = [...this.#running].filter((job) => job.remainingPrefillTokens === 0)
    const { maxDecodeTokensPerSequencePerS, decodeTokensPerS } = this.options.target
    const tokensPerJob = Math.min(maxDecodeTokensPerSequencePerS, decodeTokensPerS / Math.max(1, decodingJobs.length)) * effectiveS
    for (const job of decodingJobs) {
      job.decodedTokens += tokensPerJob
      if (job.writtenTokens > 0) job.firstTokenAtMs ??= this.#now()
      if (job.writtenTokens >= job.work.answer) this.#endJob(job, 'finished')
    }
  }

  #storePrefixes (job: Job): void {
    const cacheChange = this.#cache.store(prefixes.toCachePrefixes(job.work.prefixes))
    if (cacheChange.stored.length + cacheChange.evicted.length === 0) return
    this.#sequence += 1
    if (this.options.random() < this.options.target.cacheEventLossRate) return
    this.#cacheEvents.push({ ...cacheChange, target: this.options.target.name, sequence: this.#sequence, visibleAtMs: this.#now() + this.cacheEventLagMs })
    if (this.#cacheEvents.length > 2 * MAX_CACHE_EVENTS) this.#cacheEvents = this.#cacheEvents.slice(-MAX_CACHE_EVENTS)
  }

  #sampleLoad (): void {
    const nowMs = this.#now()
    const isIdle = this.#running.size + this.#waiting.size === 0
    const lastSampleAtMs = this.#loadSamples.at(-1)?.atMs ?? -Infinity
    if (!isIdle && nowMs - lastSampleAtMs < LOAD_SAMPLE_INTERVAL_MS) return
    let tokensInProgress = 0
    for (const job of this.#running) tokensInProgress += job.remainingPrefillTokens + job.work.answer - job.writtenTokens
    this.#loadSamples.push({ atMs: nowMs, runningRequests: this.#running.size, queuedRequests: this.#waiting.size, tokensInProgress })
    if (this.#loadSamples.length > 2 * MAX_LOAD_SAMPLES) this.#loadSamples = this.#loadSamples.slice(-MAX_LOAD_SAMPLES)
  }
}
