/**
 * Handles one request from its admission to its final response. The task owns the request: only the task sends
 * it to targets, so that a request that must run at most once does so whatever other daemons do.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import * as attemptModule from './attempt.js'
import * as callerResponse from './caller-response.js'
import type * as contextModule from './context.js'
import * as httpStatus from './http-status.js'
import * as pendingEvents from './pending-events.js'
import * as refusal from './refusal.js'
import * as requestEvidence from './request-evidence.js'
import * as requestRecord from './request-record.js'
import type * as servicePools from './service-pools.js'
import * as streamBinding from './stream-binding.js'
import * as streamContinuity from './stream-continuity.js'
import type * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'
import * as targetMove from './target-move.js'
import * as traits from './traits.js'
import * as triedTargets from './tried-targets.js'
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

/** Maximum number of attempts at unreachable targets; they send nothing and use no retry of the budget. */
const MAX_UNREACHABLE_ATTEMPTS = 4

/** Maximum number of peers through which a request tries to reach targets. */
const MAX_RELAY_ATTEMPTS = 3

/** Time after which a request that has left a target tries again to be placed, ms. */
const RETURN_INTERVAL_MS = 100

const REJECTED_RETRY_MS = 500

/**
 * Serves one admitted request.
 *
 * @example
 * ```ts
 * new RequestTask({ context, request, body, outgoing }).start()
 * ```
 */
export class RequestTask {
  private readonly tried: triedTargets.TriedTargets
  private readonly evidence: requestEvidence.RequestEvidence
  private readonly response: callerResponse.CallerResponse
  private readonly continuity: streamContinuity.StreamContinuity
  private readonly binding: streamBinding.StreamBinding
  private readonly move: targetMove.TargetMove
  private readonly deadlineTimer: NodeJS.Timeout
  private retryTimer: NodeJS.Timeout | undefined
  private finished = false
  private placement: servicePools.Placement | undefined
  private exchange: targetClient.Exchange | undefined
  private target: routing.targetRegistry.Target | undefined
  private figures: routing.poolEvent.Figures | undefined
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
    this.tried = new triedTargets.TriedTargets(context, request)
    this.move = new targetMove.TargetMove({
      context,
      service: request.service,
      placementOptions: () => this.target !== undefined && this.canMove && this.tried.allowsOther ? this.tried.moveOptions(this.binding.version, this.target) : undefined,
      acquireMove: (target) => this.canMove && this.binding.isCurrent(target) && this.evidence.refusedTrait() === undefined && this.tried.acquireRetry(),
      moveTo: (placement, decision, reason) => { this.run(() => { this.moveTo(placement, decision, reason) }) }
    })
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

  private logStep (event: string, details: object): void {
    const { context, request } = this.options
    context.log.request(event, { request: request.requestId, target: this.target?.id, ...details })
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
    this.move.cancel()
    requestRecord.recordEnd(context, request, {
      outcome,
      status,
      reason,
      stage,
      trait: this.refusedTrait,
      sends: this.tried.sends,
      targets: this.tried.inOrder,
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
      this.finish('cut', httpStatus.OK, reason)
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
    const stage = requestRecord.stageOf({ hasExchange: this.exchange !== undefined, isSent: this.isSent, awaitsFirstEvent: this.awaitsFirstEvent })
    this.exchange?.abort()
    this.endPlacement({ kind: 'left' })
    this.options.context.metrics.count('callers_left_total', { service: this.options.request.service, stage })
    this.finish('caller-left', 0, 'caller-left', stage)
  }

  private requestPlacement (isRetry: boolean): void {
    const { context, request } = this.options
    this.exchange = undefined
    context.pools.requestPlacement(request.service, this.tried.placementOptions(this.binding.version, isRetry), {
      onQueued: (placement) => { this.placement = placement },
      onDecision: (decision) => { this.run(() => { this.onDecision(decision) }) },
      onStalled: () => { this.run(() => { this.move.handleStall() }) }
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
    this.tried.add(target)
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
    this.tried.countSend()
    this.isSent = true
    if (this.target !== undefined) {
      this.evidence.begin(this.target.id)
      if (context.targetLimits.limitOf(this.target.id) !== undefined) context.metrics.count('limited_sends_total', { target: this.target.id, repeated: String(this.tried.sends > 1) })
    }
    this.mayHaveRun = true
    context.metrics.count('sends_total', { service: request.service, repeated: String(this.tried.sends > 1) })
    if (request.route.kind !== 'idempotent' || !this.tried.allowsOther) return
    const { target } = this
    const isAwaited = (): boolean => this.target === target
    this.retryTimer = pendingEvents.startTimer(() => { if (isAwaited()) this.move.seek('no response in time', isAwaited) }, RETRY_DELAY_LATENCY_SHARE * request.route.targetLatencyMs)
  }

  private onEvent (): void {
    const { context } = this.options
    this.move.cancel()
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

  /** Whether the request may leave its target. While the caller reads slowly, nothing is read from there, which is no silence. */
  private get canMove (): boolean {
    return !this.finished && this.exchange !== undefined && this.isRetryable && !this.response.isBlocked
  }

  /** Places the request again after the end of an exchange; returns false if the request must end. */
  private placeOnceMore (mayWait = true): boolean {
    if (this.tried.acquireRetry()) this.requestPlacement(true)
    else if (mayWait && this.tried.canReturn) this.placeLater()
    else return false
    return true
  }

  /** Waits with a request that has left a target which may be sound, so that it doesn't end before its time. */
  private placeLater (): void {
    this.exchange = undefined
    this.retryTimer = pendingEvents.startTimer(() => { this.run(() => { if (!this.finished && !this.placeOnceMore()) this.refuse('broken') }) }, RETURN_INTERVAL_MS)
  }

  /** Leaves a target that sends nothing for one that has a free slot. */
  private moveTo (placement: servicePools.Placement, decision: targetMove.Dispatch, reason: string): void {
    const { context, request } = this.options
    this.tried.leave(this.target)
    clearTimeout(this.retryTimer)
    this.exchange?.abort()
    context.metrics.count('abandoned_total', { service: request.service })
    this.logStep('target abandoned', { detail: reason })
    this.endPlacement({ kind: 'ended', outcome: 'failed' })
    this.placement = placement
    this.onDecision(decision)
  }

  private onEnd (outcome: attemptModule.AttemptOutcome): void {
    const { context, request } = this.options
    clearTimeout(this.retryTimer)
    this.move.cancel()
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
    const { context } = this.options
    this.logStep('target unreachable', { via: this.via, detail })
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
    this.tried.exclude(this.target)
    // Nothing was sent, so no retry of the budget limits how many requests are placed again; they wait for a free slot.
    if (this.unreachableAttempts < MAX_UNREACHABLE_ATTEMPTS || this.tried.canReturn) this.requestPlacement(this.mayHaveRun)
    else this.refuse(this.mayHaveRun ? 'broken' : 'unreachable', REJECTED_RETRY_MS)
  }

  private onRejected (status: number): void {
    this.endPlacement({ kind: 'ended', outcome: status === httpStatus.MISDIRECTED_REQUEST ? 'failed' : 'rejected' })
    // The target reports that it has not run the request.
    if (this.tried.sends === 1) this.mayHaveRun = false
    if (this.tried.handleRejection(this.target, status === httpStatus.MISDIRECTED_REQUEST)) this.placeLater()
    else if (!this.placeOnceMore()) this.refuse(this.mayHaveRun ? 'broken' : 'rejected', REJECTED_RETRY_MS)
  }

  private onAnswered (head: targetClient.ResponseHead, body: Buffer): void {
    const failed = head.status >= httpStatus.SERVER_ERROR
    this.endPlacement({ kind: 'ended', outcome: failed ? 'failed' : 'answered' })
    if (failed) {
      this.tried.exclude(this.target)
      // A failure answers the request, unless the caller has the beginning of another response.
      if (this.isRetryable && this.placeOnceMore(this.response.hasBegun)) return
    }
    if (this.response.hasBegun) return this.refuse('broken')
    if (!failed) this.evidence.recordResponse()
    const outcome = head.status < httpStatus.REDIRECTION ? 'answered' : 'target-failed'
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
    this.finish('answered', httpStatus.OK, 'answered')
    this.response.endStream(head)
  }

  /** Sends the request again, also to the same target, since the peer that was lost says nothing of it. */
  private onPathLost (detail: string): void {
    this.endPlacement({ kind: 'ended', outcome: 'cancelled' })
    this.logStep('path broke off', { via: this.via, detail, lastEvent: this.continuity.lastId() })
    if (this.target !== undefined) this.options.context.paths.recordUnreachable(this.target.id, this.via)
    if (!this.isRetryable || !this.placeOnceMore()) this.refuse('broken')
  }

  /** Places the request again, as its target has started again with another software version. */
  private onReplaced (): void {
    this.endPlacement({ kind: 'ended', outcome: 'cancelled' })
    this.logStep('target replaced', { version: this.target?.version, sent: this.isSent, lastEvent: this.continuity.lastId() })
    if (this.binding.version !== undefined) this.tried.exclude(this.target)
    if (!this.isSent) this.requestPlacement(this.mayHaveRun)
    else if (!this.isRetryable || !this.placeOnceMore()) this.refuse('broken')
  }

  private onBroken (message: string): void {
    this.endPlacement({ kind: 'ended', outcome: 'failed' })
    this.logStep('target broke off', { detail: message, awaitedFirstEvent: this.awaitsFirstEvent, lastEvent: this.continuity.lastId(), promptSegments: this.options.request.promptSegments })
    this.tried.exclude(this.target)
    const mayBeRepeated = this.evidence.recordBreak()
    if (!mayBeRepeated || !this.isRetryable || !this.placeOnceMore()) this.refuse('broken')
  }
}
