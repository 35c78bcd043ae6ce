/**
 * State of one target in a pool: its load, its speed and its failures.
 *
 * @module
 */
import type * as cell from '../cell.js'
import * as engineEstimate from './engine-estimate.js'
import * as concurrencyLimit from '../limits/concurrency-limit.js'
import * as limitSamples from '../limits/limit-samples.js'
import * as rateBucket from '../limits/rate-bucket.js'
import type * as rateShare from '../limits/rate-share.js'
import type * as targetRegistry from '../target-registry.js'
import * as targetSpeed from './target-speed.js'
import * as workFactorModule from './work-factor.js'

/** A request of this daemon that is in flight at the target. */
export interface InFlightRequest {
  readonly startMs: number
  /** Prompt tokens that need prefill, i.e. are not cached at the target. */
  readonly promptTokens: number
  readonly outputTokens: number
  /** Prompt and expected output: what the request holds of an engine's memory. */
  readonly heldTokens: number
  /** Prompt tokens of all requests at the target that were pending prefill at dispatch, its own included. */
  readonly pendingPrefillTokens: number
  readonly firstEventMs: number | undefined
  /** State of the target at dispatch; undefined if limits are not learned. */
  readonly begun?: limitSamples.TargetState
}

interface PeerTargetLoad {
  readonly running: number
  readonly promptTokens: number
  /** Tokens of memory that its requests hold; undefined if its build does not report them. */
  readonly heldTokens: number | undefined
  readonly atMs: number
}

/** Load that the target reported in a response. */
interface ReportedLoad {
  readonly occupied: number
  /** Requests of this daemon in flight there at the time of the report. */
  readonly ownRequests: number
  readonly atMs: number
}

/** Maximum age of a peer's load, ms; by then most of its streams have ended. */
const PEER_LOAD_MAX_AGE_MS = 2_500

/** Maximum age of the load that a target reports, ms. */
const REPORTED_LOAD_MAX_AGE_MS = 150

const INITIAL_RESPONSE_MS = 20
const RESPONSE_SMOOTHING_FACTOR = 0.15
const FAILURE_SMOOTHING_FACTOR = 0.2

/** Number of consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 2
const INITIAL_EJECTION_MS = 250
const MAX_EJECTION_MS = 3_000

/** Time without a request of this daemon after which a limited target is preferred, as only its responses show changes of the limit, ms. */
const LIMIT_CONFIRMATION_MS = 1_000

/** Maximum number of prompt segments recorded for one target. */
const MAX_CACHED_SEGMENTS = 400

/** Maximum number of prompt segments in a report about one target; a daemon sends fewer in the time between reports. */
const MAX_REPORTED_SEGMENTS = 32

/** Time for which a prompt segment is assumed to be in the cache of the target, ms. */
const SEGMENT_CACHE_MS = 10_000

/**
 * Tracks the load, the speed and the failures of one target.
 *
 * @example
 * ```ts
 * const record = new TargetRecord(targetShare, nowMs)
 * record.begin(request.id, request.promptTokens, request.promptSegments, nowMs)
 * ```
 */
export class TargetRecord {
  readonly estimate = engineEstimate.createEngineEstimate()
  readonly speed = targetSpeed.createTargetSpeed()
  readonly workFactor = workFactorModule.createWorkFactor()
  /** Learned limit of the requests in flight there. */
  readonly concurrency: concurrencyLimit.ConcurrencyLimit
  private readonly inFlight = new Map<number, InFlightRequest>()
  private readonly bucket = new rateBucket.RateBucket()
  private readonly peers = new Map<string, PeerTargetLoad>()
  /** Time at which each prompt segment was last sent there. */
  private readonly cachedSegments = new Map<string, number>()
  /** Prompt segments that this daemon has sent, and the reports that they are still to be in. */
  private unreportedSegments: ReadonlyMap<string, number> = new Map()
  private consecutiveFailures = 0
  private smoothedFailures = 0
  private smoothedResponseMs = INITIAL_RESPONSE_MS
  private ejectedUntilMs = 0
  private lastReceivedMs: number
  private lastBegunMs: number
  private reportedLoad: ReportedLoad | undefined
  private removed = false
  private readonly occupancySum = limitSamples.createOccupancySum()
  private unreportedSlots = 0

  constructor (private targetShare: cell.TargetShare, nowMs: number, initialConcurrency?: number) {
    this.concurrency = new concurrencyLimit.ConcurrencyLimit(initialConcurrency)
    this.lastReceivedMs = nowMs
    this.lastBegunMs = nowMs
    this.bucket.configure(targetShare.limit?.ownRequestsPerS, nowMs)
  }

  get target (): targetRegistry.Target {
    return this.targetShare.target
  }

  /** Share of its slots that this daemon's cell may use. */
  get share (): number {
    return this.targetShare.share
  }

  /** Share of its slots and of its memory if every cell that uses the target takes only its part. */
  get part (): number {
    return this.targetShare.part ?? this.targetShare.share
  }

  /** Smoothed failure rate, 0 to 1. */
  get failureShare (): number {
    return this.smoothedFailures
  }

  /** Smoothed time of a complete plain response, ms. */
  get responseMs (): number {
    return this.smoothedResponseMs
  }

  /** Whether the target receives no new requests; those in flight continue. */
  get isRemoved (): boolean {
    return this.removed
  }

  get ownRequestIds (): readonly number[] {
    return [...this.inFlight.keys()]
  }

  /** Limit of the request rate; undefined if there is none. */
  get limit (): rateShare.RateLimit | undefined {
    return this.targetShare.limit
  }

  update (targetShare: cell.TargetShare, nowMs: number): void {
    this.targetShare = targetShare
    this.bucket.configure(targetShare.limit?.ownRequestsPerS, nowMs)
    this.removed = false
  }

  remove (): void {
    this.removed = true
  }

  isEjected (nowMs: number): boolean {
    return this.ejectedUntilMs > nowMs
  }

  /** Returns whether the target has requests of this daemon in flight and has sent nothing for `stallMs`. */
  isStalled (stallMs: number, nowMs: number): boolean {
    return this.inFlight.size > 0 && nowMs - this.lastReceivedMs > stallMs
  }

  /** Measures the time in which the target has sent nothing from now on. */
  restartSilence (nowMs: number): void {
    this.lastReceivedMs = nowMs
  }

  /** Returns the number of requests that the limit of the request rate allows this daemon to send now. */
  allowedSends (nowMs: number): number {
    return Math.floor(this.bucket.tokens(nowMs))
  }

  /** Returns the time until the limit of the request rate allows this daemon to send a request, ms. */
  sendWaitMs (nowMs: number): number {
    return this.bucket.waitMs(nowMs)
  }

  /** Returns whether a limited target has got no request of this daemon for so long that its limit may have changed unnoticed. */
  isLimitUnconfirmed (nowMs: number): boolean {
    return this.limit !== undefined && nowMs - this.lastBegunMs > LIMIT_CONFIRMATION_MS
  }

  /** Returns the number of requests at the target from all daemons, as far as reported. */
  occupancy (nowMs: number): number {
    return Math.max(this.peerReportedOccupancy(nowMs), this.targetReportedOccupancy(nowMs))
  }

  /** Returns the number of requests at the target from this daemon and from peers, by their reports. */
  peerReportedOccupancy (nowMs: number): number {
    let running = this.inFlight.size
    for (const [peer, peerLoad] of this.peers) {
      if (nowMs - peerLoad.atMs > PEER_LOAD_MAX_AGE_MS) this.peers.delete(peer)
      else running += peerLoad.running
    }
    return running
  }

  /** Returns the number of requests that the target reports itself, from all senders; 0 without a recent report. */
  targetReportedOccupancy (nowMs: number): number {
    const { reportedLoad } = this
    return reportedLoad === undefined || nowMs - reportedLoad.atMs > REPORTED_LOAD_MAX_AGE_MS ? 0 : reportedLoad.occupied + this.inFlight.size - reportedLoad.ownRequests
  }

  /** Returns what the samples of response times depend on. */
  stateAt (nowMs: number): limitSamples.TargetState {
    const reported = this.targetReportedOccupancy(nowMs)
    // Only the target knows what other cells have there.
    const inFlight = this.share === 1 ? Math.max(reported, this.peerReportedOccupancy(nowMs)) : reported > 0 ? reported : undefined
    this.occupancySum.advance(inFlight, nowMs)
    return { inFlight, inFlightMs: this.share === 1 ? this.occupancySum.value : undefined, workFactor: this.workFactor.current(nowMs), atMs: nowMs }
  }

  /** Notes the state of the target at the dispatch of a request whose time will be a sample. */
  beginSample (id: number, nowMs: number): void {
    const request = this.inFlight.get(id)
    if (request !== undefined) this.inFlight.set(id, { ...request, begun: this.stateAt(nowMs) })
  }

  /** Adds the time of a request to the samples; for one with a prompt, it is divided by what the prompt adds to it. */
  sampleTime (id: number, nowMs: number): void {
    const request = this.inFlight.get(id)
    if (request?.begun === undefined) return
    const { startMs, begun, pendingPrefillTokens } = request
    const relativeTime = pendingPrefillTokens === 0 ? 1 : this.estimate.firstEventMs(pendingPrefillTokens) / this.estimate.firstEventMs(0)
    const sample = limitSamples.sampleOf((nowMs - startMs) / relativeTime, begun, this.stateAt(nowMs))
    if (sample !== undefined) this.concurrency.record('whole', sample, nowMs)
  }

  /** Adds the time between two events to the samples. */
  sampleInterval (intervalMs: number, nowMs: number): void {
    const state = this.stateAt(nowMs)
    const sample = limitSamples.sampleOf(intervalMs, state, state)
    if (sample !== undefined) this.concurrency.record('step', { ...sample, weight: limitSamples.STEP_WEIGHT }, nowMs)
  }

  /** Returns the pending prefill tokens of this daemon's requests. */
  ownPendingPrefillTokens (): number {
    let tokens = 0
    for (const request of this.inFlight.values()) if (request.firstEventMs === undefined) tokens += request.promptTokens
    return tokens
  }

  /** Returns the pending prefill tokens of all daemons. */
  pendingPrefillTokens (): number {
    let tokens = this.ownPendingPrefillTokens()
    for (const peerLoad of this.peers.values()) tokens += peerLoad.promptTokens
    return tokens
  }

  /** Returns whether the prompt is assumed to be in the cache of the target. */
  hasCachedPrompt (promptSegments: readonly string[], nowMs: number): boolean {
    const ownSegment = promptSegments.at(-1)
    const cachedMs = ownSegment === undefined ? undefined : this.cachedSegments.get(ownSegment)
    return cachedMs !== undefined && nowMs - cachedMs < SEGMENT_CACHE_MS
  }

  /** Slots that requests of this daemon have left since its last report, so that no peer knows yet that they are free. */
  get unreportedFreeSlots (): number {
    return this.unreportedSlots
  }

  /** Returns the segments to report: each is in two reports, in case one is lost. */
  takeSegments (): readonly string[] {
    const segments = [...this.unreportedSegments.keys()]
    this.unreportedSegments = new Map([...this.unreportedSegments].flatMap(([segment, reports]) => reports > 1 ? [[segment, reports - 1] as const] : []))
    return segments
  }

  /** Records segments that a peer has sent. */
  applyPeerSegments (segments: readonly string[], nowMs: number): void {
    for (const segment of segments.slice(0, MAX_REPORTED_SEGMENTS)) this.cacheSegments([segment], nowMs)
  }

  /** Records that the load has been reported to peers. */
  markReported (): void {
    this.unreportedSlots = 0
  }

  ownRequests (): readonly InFlightRequest[] {
    return [...this.inFlight.values()]
  }

  /** Returns the tokens of memory that this daemon's requests hold, of those that have begun since a time. */
  ownHeldTokens (sinceMs = -Infinity): number {
    return this.ownRequests().reduce((sum, { startMs, heldTokens }) => startMs < sinceMs ? sum : sum + heldTokens, 0)
  }

  /** Returns the tokens of memory that the requests of all daemons hold, those of peers that don't report them by the mean size. */
  tokensInUse ({ promptTokens, outputTokens }: targetSpeed.RequestSize): number {
    let tokens = this.ownHeldTokens()
    for (const peer of this.peers.values()) tokens += peer.heldTokens ?? peer.running * (promptTokens + outputTokens)
    return tokens
  }

  begin (id: number, promptTokens: number, promptSegments: readonly string[], nowMs: number, outputTokens = 0): void {
    const prefillTokens = this.hasCachedPrompt(promptSegments, nowMs) ? 0 : promptTokens
    if (this.inFlight.size === 0) this.lastReceivedMs = nowMs
    this.lastBegunMs = nowMs
    this.bucket.take(nowMs)
    this.unreportedSlots = Math.max(0, this.unreportedSlots - 1)
    this.inFlight.set(id, { startMs: nowMs, promptTokens: prefillTokens, outputTokens, heldTokens: promptTokens + outputTokens, pendingPrefillTokens: this.pendingPrefillTokens() + prefillTokens, firstEventMs: undefined })
    this.cacheSegments(promptSegments, nowMs)
    const ownSegment = promptSegments.at(-1)
    if (ownSegment !== undefined && this.unreportedSegments.size < MAX_REPORTED_SEGMENTS) this.unreportedSegments = new Map(this.unreportedSegments).set(ownSegment, 2)
  }

  recordFirstEvent (id: number, nowMs: number): void {
    const request = this.inFlight.get(id)
    if (request === undefined) return
    this.lastReceivedMs = nowMs
    this.inFlight.set(id, { ...request, firstEventMs: nowMs })
    this.speed.recordFirst(nowMs - request.startMs, request.pendingPrefillTokens, this.workFactor.sampled(nowMs))
    this.estimate.recordFirstEvent(nowMs - request.startMs, request.pendingPrefillTokens)
  }

  recordNextEvent (intervalMs: number, tokensPerEvent: number, nowMs: number): void {
    this.lastReceivedMs = nowMs
    this.speed.recordInterval(intervalMs, tokensPerEvent, this.workFactor.sampled(nowMs))
    this.estimate.recordEventInterval(intervalMs, tokensPerEvent)
  }

  /** Removes a request that has ended and returns it. */
  end (id: number): InFlightRequest | undefined {
    const request = this.inFlight.get(id)
    if (this.inFlight.delete(id)) this.unreportedSlots += 1
    return request
  }

  recordResponse (elapsedMs: number): void {
    this.smoothedResponseMs += RESPONSE_SMOOTHING_FACTOR * (elapsedMs - this.smoothedResponseMs)
  }

  /** Counts a response or a failure; consecutive failures eject the target for a time that doubles. */
  recordResult (failed: boolean, nowMs: number): void {
    this.smoothedFailures += FAILURE_SMOOTHING_FACTOR * ((failed ? 1 : 0) - this.smoothedFailures)
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0
    if (!failed) this.ejectedUntilMs = 0
    else if (this.consecutiveFailures >= FAILURES_TO_EJECT) this.eject(nowMs)
  }

  eject (nowMs: number): void {
    const doublings = Math.max(0, this.consecutiveFailures - FAILURES_TO_EJECT)
    this.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** doublings)
  }

  /** Applies the load that the target reports. */
  applyReportedLoad (occupied: number, nowMs: number): void {
    this.reportedLoad = { occupied, ownRequests: this.inFlight.size, atMs: nowMs }
  }

  applyPeerLoad (peer: string, peerLoad: readonly [running: number, promptTokens: number] | undefined, nowMs: number, heldTokens?: number): void {
    if (peerLoad === undefined) this.peers.delete(peer)
    else this.peers.set(peer, { running: peerLoad[0], promptTokens: peerLoad[1], heldTokens, atMs: nowMs })
  }

  private cacheSegments (promptSegments: readonly string[], nowMs: number): void {
    const ownSegment = promptSegments.at(-1)
    if (ownSegment === undefined) return
    this.cachedSegments.delete(ownSegment)
    this.cachedSegments.set(ownSegment, nowMs)
    const oldest = this.cachedSegments.keys().next().value
    if (this.cachedSegments.size > MAX_CACHED_SEGMENTS && oldest !== undefined) this.cachedSegments.delete(oldest)
  }
}
