/**
 * What a pool knows of one target: who is there, how fast it is and how it failed.
 *
 * @module
 */
import type * as cell from './cell.js'
import * as engineEstimate from './engine-estimate.js'
import type * as targetRegistry from './target-registry.js'

/** A request of this daemon at the target. */
export interface InFlightRequest {
  readonly startMs: number
  /** Prompt tokens that the target has not read before. */
  readonly promptTokens: number
  /** Prompt tokens at the target that were to be read before its first event. */
  readonly pendingPrefillTokens: number
  readonly firstEventMs: number | undefined
}

interface PeerTargetLoad {
  readonly running: number
  readonly promptTokens: number
  readonly atMs: number
}

/** What the target said of its own load in an answer. */
interface ReportedLoad {
  readonly occupied: number
  /** Requests of this daemon there when it said so. */
  readonly ownRequests: number
  readonly atMs: number
}

/** Age after which a silent peer's share no longer counts, ms: its streams have mostly ended. */
const PEER_LOAD_MAX_AGE_MS = 2_500

/** Age after which the target's own word on its load no longer counts, ms. */
const REPORTED_LOAD_MAX_AGE_MS = 150

const INITIAL_RESPONSE_MS = 20
const RESPONSE_SMOOTHING_FACTOR = 0.15
const FAILURE_SMOOTHING_FACTOR = 0.2

/** Failures in a row after which a target rests. */
const FAILURES_TO_EJECT = 2
const INITIAL_EJECTION_MS = 250
const MAX_EJECTION_MS = 3_000

/** Prompt parts remembered for one target. */
const MAX_CACHED_SEGMENTS = 400

/** Time for which a prompt part is taken for kept, ms. */
const SEGMENT_CACHE_MS = 10_000

/**
 * The record of one target.
 *
 * @example
 * ```ts
 * const record = new TargetRecord(target, nowMs)
 * record.begin(request.id, request.promptTokens, request.parts, nowMs)
 * ```
 */
export class TargetRecord {
  readonly estimate = engineEstimate.createEngineEstimate()
  private readonly inFlight = new Map<number, InFlightRequest>()
  private readonly peers = new Map<string, PeerTargetLoad>()
  /** When each prompt part was last read there. */
  private readonly cachedSegments = new Map<string, number>()
  private consecutiveFailures = 0
  private smoothedFailures = 0
  private smoothedResponseMs = INITIAL_RESPONSE_MS
  private ejectedUntilMs = 0
  private lastReceivedMs: number
  private reportedLoad: ReportedLoad | undefined
  private removed = false

  constructor (private targetShare: cell.TargetShare, nowMs: number) {
    this.lastReceivedMs = nowMs
  }

  get target (): targetRegistry.Target {
    return this.targetShare.target
  }

  /** Share of its places that this daemon's cell may use. */
  get share (): number {
    return this.targetShare.share
  }

  /** Smoothed share of failures, 0 to 1. */
  get failureShare (): number {
    return this.smoothedFailures
  }

  /** Smoothed time of a whole plain answer, ms. */
  get responseMs (): number {
    return this.smoothedResponseMs
  }

  /** Whether the target must get nothing new; those that are there go on. */
  get isRemoved (): boolean {
    return this.removed
  }

  get ownRequestIds (): readonly number[] {
    return [...this.inFlight.keys()]
  }

  update (targetShare: cell.TargetShare): void {
    this.targetShare = targetShare
    this.removed = false
  }

  remove (): void {
    this.removed = true
  }

  isEjected (nowMs: number): boolean {
    return this.ejectedUntilMs > nowMs
  }

  /** Whether it owes this daemon bytes and has been silent for that long. */
  isStalled (stallMs: number, nowMs: number): boolean {
    return this.inFlight.size > 0 && nowMs - this.lastReceivedMs > stallMs
  }

  /** Requests at the target from all daemons, as far as they are known. */
  occupancy (nowMs: number): number {
    return Math.max(this.peerReportedOccupancy(nowMs), this.targetReportedOccupancy(nowMs))
  }

  /** Requests there by this daemon and its peers' reports. */
  peerReportedOccupancy (nowMs: number): number {
    let running = this.inFlight.size
    for (const [peer, peerLoad] of this.peers) {
      if (nowMs - peerLoad.atMs > PEER_LOAD_MAX_AGE_MS) this.peers.delete(peer)
      else running += peerLoad.running
    }
    return running
  }

  /** Requests there by the target's own word, whoever sent them; 0 when it has said nothing lately. */
  targetReportedOccupancy (nowMs: number): number {
    const { reportedLoad } = this
    return reportedLoad === undefined || nowMs - reportedLoad.atMs > REPORTED_LOAD_MAX_AGE_MS ? 0 : reportedLoad.occupied + this.inFlight.size - reportedLoad.ownRequests
  }

  /** Prompt tokens of this daemon's requests there that are still to be read. */
  ownPendingPrefillTokens (): number {
    let tokens = 0
    for (const request of this.inFlight.values()) if (request.firstEventMs === undefined) tokens += request.promptTokens
    return tokens
  }

  /** Prompt tokens there that are still to be read, of all daemons. */
  pendingPrefillTokens (): number {
    let tokens = this.ownPendingPrefillTokens()
    for (const peerLoad of this.peers.values()) tokens += peerLoad.promptTokens
    return tokens
  }

  /** Whether the target has lately read this prompt. */
  hasCachedPrompt (promptSegments: readonly string[], nowMs: number): boolean {
    const ownSegment = promptSegments.at(-1)
    const cachedMs = ownSegment === undefined ? undefined : this.cachedSegments.get(ownSegment)
    return cachedMs !== undefined && nowMs - cachedMs < SEGMENT_CACHE_MS
  }

  begin (id: number, promptTokens: number, promptSegments: readonly string[], nowMs: number): void {
    const prefillTokens = this.hasCachedPrompt(promptSegments, nowMs) ? 0 : promptTokens
    if (this.inFlight.size === 0) this.lastReceivedMs = nowMs
    this.inFlight.set(id, { startMs: nowMs, promptTokens: prefillTokens, pendingPrefillTokens: this.pendingPrefillTokens() + prefillTokens, firstEventMs: undefined })
    this.cacheSegments(promptSegments, nowMs)
  }

  recordFirstEvent (id: number, nowMs: number): void {
    const request = this.inFlight.get(id)
    if (request === undefined) return
    this.lastReceivedMs = nowMs
    this.inFlight.set(id, { ...request, firstEventMs: nowMs })
    this.estimate.recordFirstEvent(nowMs - request.startMs, request.pendingPrefillTokens)
  }

  recordNextEvent (intervalMs: number, tokensPerEvent: number, nowMs: number): void {
    this.lastReceivedMs = nowMs
    this.estimate.recordEventInterval(intervalMs, tokensPerEvent)
  }

  /** Ends a stay; gives it back. */
  end (id: number): InFlightRequest | undefined {
    const request = this.inFlight.get(id)
    this.inFlight.delete(id)
    return request
  }

  recordResponse (elapsedMs: number): void {
    this.smoothedResponseMs += RESPONSE_SMOOTHING_FACTOR * (elapsedMs - this.smoothedResponseMs)
  }

  /** Counts an answer or a failure; failures in a row give the target a rest that doubles. */
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

  /** Takes over what the target says of its load. */
  applyReportedLoad (occupied: number, nowMs: number): void {
    this.reportedLoad = { occupied, ownRequests: this.inFlight.size, atMs: nowMs }
  }

  applyPeerLoad (peer: string, peerLoad: readonly [running: number, promptTokens: number] | undefined, nowMs: number): void {
    if (peerLoad === undefined) this.peers.delete(peer)
    else this.peers.set(peer, { running: peerLoad[0], promptTokens: peerLoad[1], atMs: nowMs })
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
