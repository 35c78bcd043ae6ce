/**
 * One request from its admission to its final answer. The task owns the request: it alone sends it to
 * targets, so what may run once does, whatever other daemons do.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import * as attemptModule from './attempt.js'
import type * as contextModule from './context.js'
import * as fingerprint from './fingerprint.js'
import * as rawHeaders from './raw-headers.js'
import * as refusal from './refusal.js'
import type * as servicePools from './service-pools.js'
import type * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'

/** What a task needs. */
export interface Options {
  readonly context: contextModule.Context
  readonly request: admission.Admitted
  readonly body: Buffer | undefined
  readonly outgoing: http.ServerResponse
  readonly done: () => void
}

/** Share of the latency target after which an idempotent request without an answer is tried at another target. */
const REPEAT_AFTER_SHARE = 0.6

/** Least remaining time that is worth another try, ms. */
const LEAST_REMAINING_MS = 40

/** Tries at targets that could not be reached; they send nothing and cost no repeat. */
const MAX_UNREACHABLE = 4

const REJECTED_RETRY_MS = 500
const OK = 200
const REDIRECTION = 300
const SERVER_ERROR = 500
const MISDIRECTED = 421

/**
 * Serves one admitted request.
 *
 * @example
 * ```ts
 * new RequestTask({ context, request, body, outgoing, done }).start()
 * ```
 */
export class RequestTask {
  private readonly excluded = new Set<string>()
  /** Targets in the order in which they were tried. */
  private readonly path: string[] = []
  private readonly content: string
  private readonly repeatable: boolean
  private readonly limitTimer: NodeJS.Timeout
  private repeatTimer: NodeJS.Timeout | undefined
  private finished = false
  private place: servicePools.Place | undefined
  private exchange: targetClient.Exchange | undefined
  private target: routing.targetRegistry.Target | undefined
  private figures: routing.poolEvent.Figures | undefined
  private sends = 0
  private unreachable = 0
  /** Whether a target may have begun to run the request. */
  private mayHaveRun = false
  private lastId: number | undefined
  private lastEventMs = 0
  private firstEventMs: number | undefined
  private firstEventHere = true

  constructor (private readonly options: Options) {
    const { context, request, body } = options
    const { kind, resumable } = request.route
    this.content = fingerprint.fingerprintOf(request, body)
    this.repeatable = kind === 'idempotent' || (kind === 'stream' && resumable)
    this.limitTimer = setTimeout(() => { this.onLimit() }, Math.max(0, request.limitMs - context.now()))
  }

  start (): void {
    const { context, outgoing } = this.options
    outgoing.once('close', () => { this.onCallerGone() })
    if (context.suspects.isRefused(this.content, context.now())) this.refuse('suspect', REJECTED_RETRY_MS)
    else this.ask(false)
  }

  private conclude (outcome: string, status: number, reason: string): void {
    const { context, request, done } = this.options
    const { metrics } = context
    this.finished = true
    clearTimeout(this.limitTimer)
    clearTimeout(this.repeatTimer)
    const { arrivedMs } = request.head
    const elapsedMs = Math.round(context.now() - arrivedMs)
    const firstEventMs = this.firstEventMs === undefined ? undefined : Math.round(this.firstEventMs - arrivedMs)
    metrics.count('requests_total', { service: request.service, kind: request.route.kind, outcome, reason })
    if (firstEventMs !== undefined) metrics.observe('first_event_ms', firstEventMs, { service: request.service })
    metrics.observe('answer_ms', elapsedMs, { service: request.service, outcome })
    context.log.request('request ended', {
      request: request.requestId,
      route: request.route.name,
      service: request.service,
      organisation: request.organisation?.name,
      outcome,
      status,
      reason,
      elapsedMs,
      limitMs: Math.round(request.limitMs - arrivedMs),
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      returned: request.returned,
      sends: this.sends,
      path: this.path,
      ...this.figures,
      firstEventMs,
      lastEvent: this.lastId,
      document: context.table()?.version
    })
    done()
  }

  private freePlace (event: servicePools.PlaceEvent): void {
    const held = this.place
    this.place = undefined
    if (held !== undefined) this.options.context.pools.tell(held, event)
  }

  private refuse (reason: refusal.Reason, retryAfterMs?: number): void {
    if (this.finished) return
    const { context, request, outgoing } = this.options
    this.exchange?.abort()
    this.freePlace({ kind: 'left' })
    if (outgoing.headersSent) {
      // Closing without the end of the body tells the caller that the answer is not whole.
      this.conclude('cut', OK, reason)
      outgoing.destroy()
      return
    }
    if (!this.mayHaveRun && request.organisation !== undefined) context.caps.refund(request.organisation.name, request.cappedTokens, context.now())
    const answer = refusal.refusalOf(reason, retryAfterMs)
    this.conclude('refused', answer.status, reason)
    this.write(answer.status, [...answer.headers], answer.body)
  }

  private write (status: number, headers: string[], body: Buffer): void {
    const { context, outgoing } = this.options
    if (context.stopping()) headers.push('Connection', 'close')
    outgoing.writeHead(status, headers)
    outgoing.end(body)
  }

  private onLimit (): void {
    if (this.mayHaveRun) this.refuse('timed-out')
    else this.refuse('timed-out-unsent', REJECTED_RETRY_MS)
  }

  private onCallerGone (): void {
    if (this.finished) return
    this.exchange?.abort()
    this.freePlace({ kind: 'left' })
    this.conclude('caller-left', 0, 'caller-left')
  }

  private ask (repeated: boolean): void {
    const { context, request } = this.options
    const { route } = request
    context.pools.ask(request.service, {
      priority: request.priority,
      arrivedMs: request.head.arrivedMs,
      targetLatencyMs: route.targetLatencyMs,
      limitMs: request.limitMs,
      returned: request.returned,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      parts: request.parts,
      excluded: this.excluded,
      repeated
    }, {
      placed: (place) => { this.place = place },
      decided: (decision) => { this.onDecision(decision) },
      silenced: () => { this.abandon('no event in time') }
    })
  }

  private onDecision (decision: routing.poolEvent.PoolDecision): void {
    if (this.finished) return
    this.figures = decision.figures
    if (decision.kind === 'dispatch') {
      this.send(decision.target)
      return
    }
    this.place = undefined
    if (this.mayHaveRun) this.refuse('broken')
    else this.refuse(decision.reason, decision.retryAfterMs)
  }

  private send (target: routing.targetRegistry.Target): void {
    const { context, request, body } = this.options
    this.target = target
    this.path.push(target.id)
    this.firstEventHere = true
    this.exchange = attemptModule.startAttempt({
      context,
      request,
      target,
      body,
      sink: { lastId: () => this.lastId, push: (head, events) => this.push(head, events) },
      onSent: () => { this.onSent() },
      onEvent: () => { this.onEvent() },
      done: (end) => { this.onEnd(end) }
    })
  }

  private onSent (): void {
    const { context, request } = this.options
    const { route } = request
    this.sends += 1
    this.mayHaveRun = true
    context.metrics.count('sends_total', { service: request.service, repeated: String(this.sends > 1) })
    if (route.kind !== 'idempotent' || this.sends >= route.attempts) return
    this.repeatTimer = setTimeout(() => { this.abandon('no answer in time') }, REPEAT_AFTER_SHARE * route.targetLatencyMs)
  }

  private onEvent (): void {
    const { context } = this.options
    const nowMs = context.now()
    if (this.place !== undefined) {
      context.pools.tell(this.place, this.firstEventHere ? { kind: 'first-event' } : { kind: 'paused', pauseMs: nowMs - this.lastEventMs })
    }
    this.firstEventHere = false
    this.firstEventMs ??= nowMs
    this.lastEventMs = nowMs
  }

  private push (head: targetClient.AnswerHead, events: readonly streamEvents.StreamEvent[]): boolean {
    const { context, outgoing } = this.options
    if (!outgoing.headersSent) {
      const headers = rawHeaders.withoutHeaders(head.headers, new Set([context.dialect.load, 'content-length']))
      if (context.stopping()) headers.push('Connection', 'close')
      outgoing.writeHead(head.status, headers)
    }
    for (const event of events) this.lastId = event.id ?? this.lastId
    const taken = outgoing.write(events.length === 1 ? events[0]?.bytes : Buffer.concat(events.map((event) => event.bytes)))
    if (!taken) outgoing.once('drain', () => { this.exchange?.resume() })
    return taken
  }

  /** Takes a repeat, if the route, the time left and the fleet's budget allow one. */
  private takeRepeat (): boolean {
    const { context, request } = this.options
    if (this.sends >= request.route.attempts || request.limitMs - context.now() < LEAST_REMAINING_MS) return false
    return context.budget.takeRepeat(request.service, context.daemons(), context.now())
  }

  private repeat (): void {
    if (this.target !== undefined) this.excluded.add(this.target.id)
    this.exchange = undefined
    this.ask(true)
  }

  /** Leaves a target that gives no sign of life, when the request can be repeated. */
  private abandon (message: string): void {
    const { context, request } = this.options
    if (this.finished || this.exchange === undefined || !this.repeatable || !this.takeRepeat()) return
    this.exchange.abort()
    context.metrics.count('abandoned_total', { service: request.service })
    context.log.request('target abandoned', { request: request.requestId, target: this.target?.id, detail: message })
    this.freePlace({ kind: 'ended', end: 'failed' })
    this.repeat()
  }

  private onEnd (end: attemptModule.AttemptEnd): void {
    const { context, request } = this.options
    clearTimeout(this.repeatTimer)
    if (this.finished) return
    if (end.kind !== 'answered' && end.kind !== 'streamed') {
      context.metrics.count('target_failures_total', { service: request.service, end: end.kind })
    }
    switch (end.kind) {
      case 'unreachable': this.onUnreachable(); break
      case 'rejected': this.onRejected(end.status); break
      case 'answered': this.onAnswered(end.head, end.body); break
      case 'streamed': this.onStreamed(); break
      case 'broken': this.onBroken(end.message); break
    }
  }

  private onUnreachable (): void {
    this.freePlace({ kind: 'ended', end: 'unreachable' })
    this.unreachable += 1
    if (this.unreachable < MAX_UNREACHABLE) this.repeat()
    else this.refuse(this.mayHaveRun ? 'broken' : 'unreachable', REJECTED_RETRY_MS)
  }

  private onRejected (status: number): void {
    this.freePlace({ kind: 'ended', end: status === MISDIRECTED ? 'failed' : 'rejected' })
    // The target has said that it has not run the request.
    if (this.sends === 1) this.mayHaveRun = false
    if (status === MISDIRECTED) this.sends -= 1
    if (this.takeRepeat()) this.repeat()
    else this.refuse(this.mayHaveRun ? 'broken' : 'rejected', REJECTED_RETRY_MS)
  }

  private onAnswered (head: targetClient.AnswerHead, body: Buffer): void {
    const { context, outgoing } = this.options
    const failed = head.status >= SERVER_ERROR
    this.freePlace({ kind: 'ended', end: failed ? 'failed' : 'answered' })
    if (failed && this.repeatable && this.takeRepeat()) {
      this.repeat()
      return
    }
    if (outgoing.headersSent) {
      this.refuse('broken')
      return
    }
    if (!failed) context.suspects.clear(this.content)
    const outcome = head.status < REDIRECTION ? 'answered' : 'target-failed'
    this.conclude(outcome, head.status, outcome)
    const headers = rawHeaders.withoutHeaders(head.headers, new Set([context.dialect.load, 'content-length']))
    this.write(head.status, [...headers, 'Content-Length', String(body.length)], body)
  }

  private onStreamed (): void {
    const { context, outgoing } = this.options
    this.freePlace({ kind: 'ended', end: 'answered' })
    context.suspects.clear(this.content)
    if (!outgoing.headersSent) {
      this.refuse('broken')
      return
    }
    this.conclude('answered', OK, 'answered')
    outgoing.end()
  }

  private onBroken (message: string): void {
    const { context, request } = this.options
    this.freePlace({ kind: 'ended', end: 'failed' })
    context.log.request('target broke off', { request: request.requestId, target: this.target?.id, detail: message, lastEvent: this.lastId })
    if (this.target !== undefined) context.suspects.record(this.content, `${this.target.id}@${Math.round(context.now())}`, context.now())
    if (this.repeatable && this.takeRepeat()) this.repeat()
    else this.refuse('broken')
  }
}
