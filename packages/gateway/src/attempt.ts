/**
 * One attempt to send a request to one target, up to the end of the response.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import type * as contextModule from './context.js'
import * as headerNames from './header-names.js'
import * as httpStatus from './http-status.js'
import * as rawHeaders from './raw-headers.js'
import * as streamContinuity from './stream-continuity.js'
import * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'

/** Outcome of an attempt. */
export type AttemptOutcome =
  /** Nothing was sent. */
  | { readonly kind: 'unreachable', readonly message: string }
  /** The target reports that it has not run the request. */
  | { readonly kind: 'rejected', readonly status: number }
  /** A complete response with any status. */
  | { readonly kind: 'answered', readonly head: targetClient.ResponseHead, readonly body: Buffer }
  /** A complete stream. */
  | { readonly kind: 'streamed', readonly head: targetClient.ResponseHead }
  /** The request may have run and its response is lost. */
  | { readonly kind: 'broken', readonly message: string }
  /** The same, because of the peer that carried the connection. */
  | { readonly kind: 'path-lost', readonly message: string }
  /** The same; the target began a stream that can't be accepted, as its software version is no longer the one for which it was chosen. */
  | { readonly kind: 'replaced' }

/** Dependencies and callbacks of an attempt. */
export interface Options {
  readonly context: contextModule.Context
  readonly request: admission.AdmittedRequest
  readonly target: routing.targetRegistry.Target
  /** Endpoint of the peer that carries the connection to the target; undefined for a direct one. */
  readonly via: string | undefined
  readonly body: Buffer | undefined
  readonly continuity: streamContinuity.StreamContinuity
  readonly onSent: () => void
  /** Whether the stream is of the version for which the target was chosen. */
  readonly isVersionCurrent: () => boolean
  /** Forwards events; returns false if the caller reads too slowly. */
  readonly onEvents: (head: targetClient.ResponseHead, events: readonly streamEvents.StreamEvent[]) => boolean
  readonly done: (outcome: AttemptOutcome) => void
}

/** Value of the header of a target that leaves. */
const LEAVING = '1'

/** Maximum size of a response that is held until it is complete, bytes. */
const MAX_HELD_BYTES = 16_777_216

function requestHeaders (options: Options): string[] {
  const { context, request, target, continuity } = options
  const names = context.headerNames
  const dropped = new Set([...names.reserved, names.key, names.organisation, names.expectedTarget, names.remainingMs, 'content-length', 'expect'])
  const lastId = continuity.lastId()
  if (lastId !== undefined) dropped.add(names.lastEventId)
  const headers = rawHeaders.withoutHeaders(request.head.headers, { dropped, endToEnd: names.endToEnd })
  headers.push(names.expectedTarget, target.id, names.remainingMs, String(Math.max(1, Math.floor(request.limitMs - context.now()))))
  if (request.organisation !== undefined) headers.push(names.organisation, request.organisation.name)
  if (lastId !== undefined) headers.push(names.lastEventId, String(lastId))
  return headers
}

function isSuccess (head: targetClient.ResponseHead): boolean {
  return head.status >= httpStatus.OK && head.status < httpStatus.REDIRECTION
}

/** Returns why a response can't be accepted for this request; undefined if it can. */
function findFault (options: Options, head: targetClient.ResponseHead): string | undefined {
  const { headerNames: names } = options.context
  const success = isSuccess(head)
  const echoed = rawHeaders.findHeader(head.headers, names.requestId)
  if (echoed === undefined ? success : echoed !== options.request.requestId) return 'the response belongs to another request'
  if (!success) return undefined
  if (rawHeaders.findHeader(head.headers, names.proof) === undefined) return 'the response has no proof'
  if (rawHeaders.findHeader(head.headers, 'content-encoding') !== undefined) return 'the response is encoded'
  return undefined
}

/** Observes what a target says of itself in a response. */
interface ResponseObserver {
  readonly sent: () => void
  readonly head: (head: targetClient.ResponseHead) => void
}

/** Observes the limit of requests that the target names in its response. */
function createLimitObserver ({ context, target }: Options): ResponseObserver {
  let known: routing.targetLimits.LimitStatement | undefined
  return {
    sent: () => { known = context.targetLimits.statementOf(target.id) },
    head: (head) => {
      const requestsPerS = headerNames.parseRequestLimit(rawHeaders.findHeader(head.headers, context.headerNames.requestLimit))
      // Only a success shows that the target has no limit any more: a misdirected request is answered by another one.
      if (requestsPerS === undefined && !isSuccess(head)) return
      if (context.targetLimits.observe({ target: target.id, requestsPerS, known }, context.now())) context.onLimitsChanged([target.id], 'response')
    }
  }
}

/** Observes whether the target says that it leaves. The start that says so is the one that was known when the request was sent. */
function createDepartureObserver ({ context, target }: Options): ResponseObserver {
  let startedMs = 0
  return {
    sent: () => { startedMs = context.targets.startOf(target.id) },
    head: (head) => {
      if (head.status === httpStatus.MISDIRECTED_REQUEST || rawHeaders.findHeader(head.headers, context.headerNames.leaving) !== LEAVING) return
      context.targets.depart({ id: target.id, startedMs }, 'response')
    }
  }
}

/** Observes the pause that the target asks for. */
function observePause ({ context, target, via }: Options, head: targetClient.ResponseHead): void {
  const retryAfter = rawHeaders.findHeader(head.headers, 'retry-after')
  if (head.status !== httpStatus.SERVICE_UNAVAILABLE || retryAfter === undefined) return
  const durationMs = headerNames.parseRetryAfterMs(retryAfter)
  if (durationMs === undefined) context.targets.ignorePause(target.id, retryAfter)
  else context.targets.pause(target.id, durationMs, via)
}

/** Applies the load of the target, and whether targets of its service are brittle: only a success shows that they are not. */
function applyLoad ({ context, request, target }: Options, head: targetClient.ResponseHead): void {
  const load = headerNames.parseLoad(rawHeaders.findHeader(head.headers, context.headerNames.load))
  if (load !== undefined) context.pools.applyReportedLoad(request.service, target.id, load)
  const isBrittle = rawHeaders.findHeader(head.headers, context.headerNames.brittle) !== undefined
  if (isBrittle ? head.status !== httpStatus.MISDIRECTED_REQUEST : isSuccess(head)) context.pools.applyBrittleness(request.service, isBrittle)
}

function isRejection ({ context }: Options, head: targetClient.ResponseHead): boolean {
  return rawHeaders.findHeader(head.headers, context.headerNames.notRun) !== undefined || head.status === httpStatus.MISDIRECTED_REQUEST
}

function isStream (head: targetClient.ResponseHead): boolean {
  const [mediaType = ''] = (rawHeaders.findHeader(head.headers, 'content-type') ?? '').split(';')
  return head.status === httpStatus.OK && mediaType.trim().toLowerCase() === 'text/event-stream'
}

/** Takes events up to an error, which may follow sound events. */
function takeUntilFault (iterable: Iterable<streamEvents.StreamEvent>): { readonly events: readonly streamEvents.StreamEvent[], readonly fault: Error | undefined } {
  const events: streamEvents.StreamEvent[] = []
  try {
    for (const event of iterable) events.push(event)
    return { events, fault: undefined }
  } catch (error) {
    return { events, fault: error as Error }
  }
}

/**
 * Sends the request. `done` is called once unless the attempt is aborted.
 *
 * @example
 * ```ts
 * const exchange = startAttempt({ context, request, target, body, continuity, onSent, isVersionCurrent, onEvents, done })
 * ```
 */
export function startAttempt (options: Options): targetClient.Exchange {
  const { context, request, target, continuity } = options
  const chunks: Buffer[] = []
  const splitter = streamEvents.createEventSplitter()
  const responseContinuity = continuity.beginResponse()
  const observers = [createLimitObserver(options), createDepartureObserver(options)]
  let head: targetClient.ResponseHead | undefined
  let heldBytes = 0
  let finished = false

  function finish (outcome: AttemptOutcome): void {
    if (finished) return
    finished = true
    options.done(outcome)
  }

  function fail (outcome: AttemptOutcome): void {
    exchange.abort()
    finish(outcome)
  }

  const failBroken = (message: string): void => { fail({ kind: 'broken', message }) }

  function failStream (fault: Error): void {
    if (fault instanceof streamContinuity.Discontinuity) context.metrics.count('stream_discontinuities_total', { service: request.service })
    failBroken(fault.message)
  }

  function handleHead (response: targetClient.ResponseHead): void {
    const fault = findFault(options, response)
    if (fault !== undefined) {
      failBroken(fault)
      return
    }
    head = response
    for (const observer of observers) observer.head(response)
    observePause(options, response)
    applyLoad(options, response)
  }

  function handleEvents (response: targetClient.ResponseHead, chunk: Buffer): void {
    // Events that are followed count as forwarded.
    if (!options.isVersionCurrent()) return fail({ kind: 'replaced' })
    const { events, fault } = takeUntilFault(responseContinuity.follow(splitter.push(chunk)))
    if (events.length > 0 && !options.onEvents(response, events)) exchange.pause()
    if (fault !== undefined) failStream(fault)
  }

  function handleData (chunk: Buffer): void {
    if (head === undefined) return
    if (!isStream(head)) {
      chunks.push(chunk)
      heldBytes += chunk.length
      if (heldBytes > MAX_HELD_BYTES) failBroken(`the response has more than ${MAX_HELD_BYTES} bytes`)
      return
    }
    handleEvents(head, chunk)
  }

  function handleEnd (): void {
    if (head === undefined) return
    if (isRejection(options, head)) finish({ kind: 'rejected', status: head.status })
    else if (!isStream(head)) finish({ kind: 'answered', head, body: Buffer.concat(chunks) })
    else if (!options.isVersionCurrent()) fail({ kind: 'replaced' })
    else if (splitter.pending().length > 0) finish({ kind: 'broken', message: 'the stream ended in the middle of an event' })
    else if (responseContinuity.isBehind()) failStream(new streamContinuity.Discontinuity(`the stream ended before event ${continuity.lastId()}, which the caller has`))
    else finish({ kind: 'streamed', head })
  }

  const exchange = context.clients.send({
    address: target.address,
    via: options.via,
    method: request.head.method,
    path: request.head.path,
    headers: requestHeaders(options),
    body: options.body
  }, {
    sent: () => {
      for (const observer of observers) observer.sent()
      options.onSent()
    },
    head: handleHead,
    data: handleData,
    end: handleEnd,
    failed: (kind, message) => finish({ kind, message })
  })
  return { ...exchange, abort: () => { finished = true; exchange.abort() } }
}
