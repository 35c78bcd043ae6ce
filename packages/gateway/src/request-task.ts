/**
 * Handles one request from its admission to its final response. The task owns the request: only the task sends
 * it to targets, so that a request that must run at most once does so whatever other daemons do.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as routing from '@persimmonhatch/routing'
import * as admission from './admission.js'
import * as attemptModule from './attempt.js'
import * as callerResponse from './caller-response.js'
import type * as contextModule from './context.js'
import * as pendingEvents from './pending-events.js'
import * as refusal from './refusal.js'
import * as requestEvidence from './request-evidence.js'
import * as requestRecord from './request-record.js'
import type * as servicePools from './service-pools.js'
import * as streamBinding from './stream-binding.js'
import * as streamContinuity from './stream-continuity.js'
import type * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'
import * as traits from './traits.js'
import * as unexpectedErrors from './unexpected-errors.js'

/** Dependencies of a task. */
export interface Options {
  readonly context: contextModule.Context
  readonly request: admission.AdmittedRequest
  readonly body: Buffer | undefined
  readonly outgoing: http.ServerResponse
}

/** Share of the latency target after which an idempotent request without a response is retried at another target. */
const RETRY_DELAY_LATENCY_SHARE = 0.6

/** Minimum remaining time for a retry, ms. */
const MIN_REMAINING_MS = 40

/** Maximum number of attempts at unreachable targets; they send nothing and use no retry of the budget. */
const MAX_UNREACHABLE_ATTEMPTS = 4

/** Maximum number of peers through which a request tries to reach targets. */
const MAX_RELAY_ATTEMPTS = 3

const REJECTED_RETRY_MS = 500
const OK = 200
const REDIRECTION = 300
const SERVER_ERROR = 500
const MISDIRECTED_REQUEST = 421

/**
 * Serves one admitted request.
 *
 * @example
 * ```ts
 * new RequestTask({ context, request, body, outgoing }).start()
 * ```
 */
export class RequestTask {
  private readonly excludedTargets = new Set<string>()
  private readonly leftTargets = new Set<string>()
  /** Targets in the order in which they were tried. */
  private readonly triedTargets: routing.targetRegistry.Target[] = []
  private readonly evidence: requestEvidence.RequestEvidence
  private readonly response: callerResponse.CallerResponse
  private readonly continuity: streamContinuity.StreamContinuity
  private readonly binding: streamBinding.StreamBinding
  private readonly deadlineTimer: NodeJS.Timeout
  private retryTimer: NodeJS.Timeout | undefined
  private finished = false
  private placement: servicePools.Placement | undefined
  private exchange: targetClient.Exchange | undefined
  private target: routing.targetRegistry.Target | undefined
  private figures: routing.poolEvent.Figures | undefined
  private sends = 0
  private unreachableAttempts = 0
  private relayAttempts = 0
  /** The peer that carries the connection to the target; undefined for a direct one. */
  private via: string | undefined
  /** Whether a target may have begun to run the request. */
  private mayHaveRun = false
  private lastEventMs = 0
  private firstEventMs: number | undefined
  private isSent = false
  private awaitsFirstEvent = true
  private refusedTrait: string | undefined

  constructor (private readonly options: Options) {
    const { context, request, body, outgoing } = options
    this.response = new callerResponse.CallerResponse(context, outgoing)
    this.evidence = new requestEvidence.RequestEvidence(context, traits.traitsOf(request, body), request.route)
    this.continuity = streamContinuity.createStreamContinuity({ lastId: request.lastEventId })
    this.binding = new streamBinding.StreamBinding(context, request)
    this.deadlineTimer = pendingEvents.startTimer(() => { this.run(() => { this.onDeadline() }) }, request.limitMs - context.now())
  }

  start (): void {
    this.options.outgoing.once('close', () => { this.run(() => { this.onCallerLeft() }) })
    this.options.outgoing.on('drain', () => { this.run(() => { this.readOn() }) })
    this.run(() => { this.begin() })
  }

  /** Ends the request in a planned stop: one that has not been sent to a target, or any if the stop is at its end. */
  stop (isAtEnd: boolean): void {
    if (isAtEnd || !this.mayHaveRun) this.run(() => { this.refuse(this.mayHaveRun ? 'broken' : 'stopping', refusal.STOPPING_RETRY_MS) })
  }

  private begin (): void {
    const verdict = this.evidence.admit()
    if (verdict.kind === 'admitted') {
      this.requestPlacement(false)
    } else {
      this.refusedTrait = verdict.trait
      this.refuse('suspect', Math.max(REJECTED_RETRY_MS, verdict.retryAfterMs))
    }
  }

  /** Runs a step of the request. An unexpected error ends this request and no other. */
  private run (step: () => void): void {
    try {
      step()
    } catch (error) {
      const { context, request } = this.options
      unexpectedErrors.record(context, error, { request: request.requestId })
      if (this.finished) this.response.cut()
      else this.refuse(this.mayHaveRun ? 'broken' : 'failed', REJECTED_RETRY_MS)
    }
  }

  private finish (outcome: string, status: number, reason: string, stage?: requestRecord.Stage): void {
    const { context, request } = this.options
    this.finished = true
    clearTimeout(this.deadlineTimer)
    clearTimeout(this.retryTimer)
    requestRecord.recordEnd(context, request, {
      outcome,
      status,
      reason,
      stage,
      trait: this.refusedTrait,
      sends: this.sends,
      targets: this.triedTargets,
      via: this.via,
      figures: this.figures,
      firstEventMs: this.firstEventMs,
      lastEvent: this.continuity.lastId()
    })
  }

  private endPlacement (event: servicePools.PlacementEvent): void {
    const { context, request } = this.options
    const placement = this.placement
    this.placement = undefined
    if (this.target !== undefined) context.rollouts?.record(this.target, this.evidence.measures.end(event, request.limitMs, context.now()))
    if (placement !== undefined) context.pools.handlePlacementEvent(placement, event)
  }

  private refuse (reason: refusal.Reason, retryAfterMs?: number): void {
    if (this.finished) return
    const { context, request } = this.options
    this.exchange?.abort()
    this.endPlacement({ kind: 'left' })
    if (this.response.hasBegun) {
      // Closing the connection before the end of the body shows the caller that the response is incomplete.
      this.finish('cut', OK, reason)
      this.response.cut()
      return
    }
    if (!this.mayHaveRun && request.organisation !== undefined) context.caps.refund(request.organisation.name, request.cappedTokens, context.now())
    const { status, headers, body } = refusal.refusalOf(reason, retryAfterMs)
    this.finish('refused', status, reason)
    this.response.write(status, headers, body)
  }

  private onDeadline (): void {
    if (this.finished) return
    if (this.mayHaveRun) this.refuse('timed-out')
    else this.refuse('timed-out-unsent', REJECTED_RETRY_MS)
  }

  /** Reads from the target again. Nothing was read while the caller read slowly, which is no silence of the target. */
  private readOn (): void {
    this.exchange?.resume()
    if (this.placement !== undefined) this.options.context.pools.handlePlacementEvent(this.placement, { kind: 'reading-resumed' })
  }

  private onCallerLeft (): void {
    if (this.finished) return
    const stage = this.stage()
    this.exchange?.abort()
    this.endPlacement({ kind: 'left' })
    this.options.context.metrics.count('callers_left_total', { service: this.options.request.service, stage })
    this.finish('caller-left', 0, 'caller-left', stage)
  }

  private stage (): requestRecord.Stage {
    if (this.exchange === undefined) return 'waiting'
    if (!this.isSent) return 'connecting'
    return this.awaitsFirstEvent ? 'running' : 'streaming'
  }

  private requestPlacement (isRetry: boolean): void {
    const { context, request } = this.options
    context.pools.requestPlacement(request.service, admission.placementOptions(request, { version: this.binding.version, excludedTargets: this.excludedTargets, leftTargets: this.leftTargets, isRetry }), {
      onQueued: (placement) => { this.placement = placement },
      onDecision: (decision) => { this.run(() => { this.onDecision(decision) }) },
      onStalled: () => { this.run(() => { this.abandon('no event within the stall time') }) }
    })
  }

  private onDecision (decision: routing.poolEvent.PoolDecision): void {
    if (this.finished) return
    const { context, request } = this.options
    this.figures = decision.figures
    if (context.now() >= request.limitMs) {
      this.onDeadline()
      return
    }
    if (decision.kind === 'dispatch') {
      this.refusedTrait = this.evidence.refusedTrait()
      if (this.refusedTrait === undefined) this.send(decision.target)
      else this.refuse(this.mayHaveRun ? 'broken' : 'suspect', REJECTED_RETRY_MS)
      return
    }
    this.placement = undefined
    if (decision.figures.freePlaces > 0) context.metrics.count('refusals_beside_free_slots_total', { service: request.service, reason: decision.reason })
    if (this.mayHaveRun) this.refuse('broken')
    else this.refuse(decision.reason, decision.retryAfterMs)
  }

  private send (target: routing.targetRegistry.Target): void {
    this.target = target
    this.triedTargets.push(target)
    this.connect(target, this.options.context.paths.choose(target.id))
  }

  /** Sends the request over a path to the target. */
  private connect (target: routing.targetRegistry.Target, via: string | undefined): void {
    const { context, request, body } = this.options
    this.isSent = false
    if (!this.binding.isCurrent(target)) {
      this.onReplaced()
      return
    }
    this.via = via
    if (via !== undefined) this.relayAttempts += 1
    this.awaitsFirstEvent = true
    this.exchange = attemptModule.startAttempt({
      context,
      request,
      target,
      via,
      body,
      continuity: this.continuity,
      onSent: () => { this.onSent() },
      isVersionCurrent: () => !this.awaitsFirstEvent || this.binding.isCurrent(target),
      onEvents: (head, events) => this.push(head, events),
      done: (outcome) => { this.run(() => { this.onEnd(outcome) }) }
    })
  }

  private onSent (): void {
    const { context, request } = this.options
    this.sends += 1
    this.isSent = true
    if (this.target !== undefined) {
      this.evidence.begin(this.target.id)
      if (context.targetLimits.limitOf(this.target.id) !== undefined) context.metrics.count('limited_sends_total', { target: this.target.id, repeated: String(this.sends > 1) })
    }
    this.mayHaveRun = true
    context.metrics.count('sends_total', { service: request.service, repeated: String(this.sends > 1) })
    if (request.route.kind !== 'idempotent' || this.sends >= request.route.attempts) return
    const { target } = this
    this.retryTimer = pendingEvents.startTimer(() => { if (this.target === target) this.run(() => { this.abandon('no response in time') }) }, RETRY_DELAY_LATENCY_SHARE * request.route.targetLatencyMs)
  }

  private onEvent (): void {
    const { context } = this.options
    const nowMs = context.now()
    if (this.placement !== undefined) {
      context.pools.handlePlacementEvent(this.placement, this.awaitsFirstEvent ? { kind: 'first-event' } : { kind: 'next-event', intervalMs: nowMs - this.lastEventMs })
    }
    this.evidence.recordEvent()
    this.awaitsFirstEvent = false
    this.firstEventMs ??= nowMs
    this.lastEventMs = nowMs
  }

  private push (head: targetClient.ResponseHead, events: readonly streamEvents.StreamEvent[]): boolean {
    this.onEvent()
    if (this.target !== undefined) this.binding.bind(this.target)
    return this.response.forward(head, events)
  }

  /** Whether the request may run again: once events have been forwarded, only to go on behind them. */
  private get isRetryable (): boolean {
    const { kind, resumable } = this.options.request.route
    return (kind === 'idempotent' && !this.response.hasBegun) || (kind === 'stream' && resumable && this.continuity.isResumable())
  }

  /** Acquires a retry if the route, the remaining time and the fleet's budget allow one. */
  private acquireRetry (): boolean {
    const { context, request } = this.options
    if (this.sends >= request.route.attempts || request.limitMs - context.now() < MIN_REMAINING_MS) return false
    return context.budget.acquireRetry(request.service, context.daemons(), context.now())
  }

  /** Places the request again, at another target if the one that it was sent to has failed. */
  private retry (isRetry = true): void {
    if (this.target !== undefined) this.excludedTargets.add(this.target.id)
    this.placeAgain(isRetry)
  }

  private placeAgain (isRetry: boolean): void {
    this.exchange = undefined
    this.requestPlacement(isRetry)
  }

  /** Leaves a target that sends nothing, if another one can take the request now. */
  private abandon (message: string): void {
    const { context, request } = this.options
    if (this.finished || this.exchange === undefined || this.target === undefined || !this.isRetryable) return
    // While the caller reads slowly, nothing is read from the target.
    if (this.response.isBlocked) return
    const leftTargets = new Set([...this.leftTargets, this.target.id])
    if (!context.pools.hasAlternative(request.service, admission.placementOptions(request, { version: this.binding.version, excludedTargets: this.excludedTargets, leftTargets, isRetry: true })) || !this.acquireRetry()) return
    this.leftTargets.add(this.target.id)
    this.exchange.abort()
    context.metrics.count('abandoned_total', { service: request.service })
    context.log.request('target abandoned', { request: request.requestId, target: this.target?.id, detail: message })
    this.endPlacement({ kind: 'ended', outcome: 'failed' })
    this.placeAgain(true)
  }

  private onEnd (outcome: attemptModule.AttemptOutcome): void {
    const { context, request } = this.options
    clearTimeout(this.retryTimer)
    if (this.finished) return
    if (outcome.kind !== 'answered' && outcome.kind !== 'streamed') {
      context.metrics.count('target_failures_total', { service: request.service, end: outcome.kind })
    }
    switch (outcome.kind) {
      case 'unreachable': this.onUnreachable(outcome.message); break
      case 'rejected': this.onRejected(outcome.status); break
      case 'answered': this.onAnswered(outcome.head, outcome.body); break
      case 'streamed': this.onStreamed(outcome.head); break
      case 'broken': this.onBroken(outcome.message); break
      case 'path-lost': this.onPathLost(outcome.message); break
      case 'replaced': this.onReplaced(); break
    }
  }

  private onUnreachable (detail: string): void {
    const { context, request } = this.options
    context.log.request('target unreachable', { request: request.requestId, target: this.target?.id, via: this.via, detail })
    if (this.target !== undefined) {
      context.paths.recordUnreachable(this.target.id, this.via)
      const via = this.relayAttempts < MAX_RELAY_ATTEMPTS && context.targets.isOpen(this.target.id) ? context.paths.choose(this.target.id) : undefined
      if (via !== undefined) {
        this.connect(this.target, via)
        return
      }
    }
    this.endPlacement({ kind: 'ended', outcome: 'unreachable' })
    this.unreachableAttempts += 1
    // Nothing was sent, so no retry of the budget limits how many requests are placed again; they wait for a free slot.
    if (this.unreachableAttempts < MAX_UNREACHABLE_ATTEMPTS) this.retry(this.mayHaveRun)
    else this.refuse(this.mayHaveRun ? 'broken' : 'unreachable', REJECTED_RETRY_MS)
  }

  private onRejected (status: number): void {
    this.endPlacement({ kind: 'ended', outcome: status === MISDIRECTED_REQUEST ? 'failed' : 'rejected' })
    // The target reports that it has not run the request.
    if (this.sends === 1) this.mayHaveRun = false
    if (status === MISDIRECTED_REQUEST) this.sends -= 1
    if (this.acquireRetry()) this.retry()
    else this.refuse(this.mayHaveRun ? 'broken' : 'rejected', REJECTED_RETRY_MS)
  }

  private onAnswered (head: targetClient.ResponseHead, body: Buffer): void {
    const failed = head.status >= SERVER_ERROR
    this.endPlacement({ kind: 'ended', outcome: failed ? 'failed' : 'answered' })
    if (failed && this.isRetryable && this.acquireRetry()) {
      this.retry()
      return
    }
    if (this.response.hasBegun) {
      this.refuse('broken')
      return
    }
    if (!failed) this.evidence.recordResponse()
    const outcome = head.status < REDIRECTION ? 'answered' : 'target-failed'
    this.finish(outcome, head.status, outcome)
    this.response.forwardWhole(head, body)
  }

  private onStreamed (head: targetClient.ResponseHead): void {
    this.endPlacement({ kind: 'ended', outcome: 'answered' })
    this.evidence.recordResponse()
    // A new stream has at least one event; of a resumed one nothing may be left.
    if (!this.response.hasBegun && this.options.request.lastEventId === undefined) {
      this.refuse('broken')
      return
    }
    this.finish('answered', OK, 'answered')
    this.response.endStream(head)
  }

  /** Sends the request again, also to the same target, since the peer that was lost says nothing of it. */
  private onPathLost (detail: string): void {
    const { context, request } = this.options
    this.endPlacement({ kind: 'ended', outcome: 'cancelled' })
    context.log.request('path broke off', { request: request.requestId, target: this.target?.id, via: this.via, detail, lastEvent: this.continuity.lastId() })
    if (this.target !== undefined) context.paths.recordUnreachable(this.target.id, this.via)
    if (this.isRetryable && this.acquireRetry()) this.placeAgain(true)
    else this.refuse('broken')
  }

  /** Places the request again, as its target has started again with another software version. */
  private onReplaced (): void {
    const { context, request } = this.options
    this.endPlacement({ kind: 'ended', outcome: 'cancelled' })
    context.log.request('target replaced', { request: request.requestId, target: this.target?.id, version: this.target?.version, sent: this.isSent, lastEvent: this.continuity.lastId() })
    if (this.target !== undefined && this.binding.version !== undefined) this.excludedTargets.add(this.target.id)
    if (!this.isSent) this.placeAgain(this.mayHaveRun)
    else if (this.isRetryable && this.acquireRetry()) this.placeAgain(true)
    else this.refuse('broken')
  }

  private onBroken (message: string): void {
    const { context, request } = this.options
    this.endPlacement({ kind: 'ended', outcome: 'failed' })
    const { requestId, promptSegments } = request
    context.log.request('target broke off', { request: requestId, target: this.target?.id, detail: message, awaitedFirstEvent: this.awaitsFirstEvent, lastEvent: this.continuity.lastId(), promptSegments })
    const mayBeRepeated = this.evidence.recordBreak()
    if (mayBeRepeated && this.isRetryable && this.acquireRetry()) this.retry()
    else this.refuse('broken')
  }
}
