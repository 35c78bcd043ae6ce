/**
 * One send of a request to one target, up to the end of its answer.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import type * as contextModule from './context.js'
import * as dialect from './dialect.js'
import * as rawHeaders from './raw-headers.js'
import * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'

/** How an attempt ended. */
export type AttemptEnd =
  /** Nothing was sent. */
  | { readonly kind: 'unreachable', readonly message: string }
  /** The target says that it has not run the request. */
  | { readonly kind: 'rejected', readonly status: number }
  /** A whole answer of any status. */
  | { readonly kind: 'answered', readonly head: targetClient.AnswerHead, readonly body: Buffer }
  /** A stream to its end. */
  | { readonly kind: 'streamed' }
  /** The request may have run and its answer is lost. */
  | { readonly kind: 'broken', readonly message: string }

/** Where a stream's events go. */
export interface StreamSink {
  /** The number of the last event that was handed on. */
  readonly lastId: () => number | undefined
  /** Hands on events; false when the caller reads too slowly. */
  readonly push: (head: targetClient.AnswerHead, events: readonly streamEvents.StreamEvent[]) => boolean
}

/** What an attempt needs. */
export interface Options {
  readonly context: contextModule.Context
  readonly request: admission.Admitted
  readonly target: routing.targetRegistry.Target
  readonly body: Buffer | undefined
  readonly sink: StreamSink
  readonly onSent: () => void
  readonly onEvent: () => void
  readonly done: (end: AttemptEnd) => void
}

const MISDIRECTED = 421

function requestHeaders (options: Options): string[] {
  const { context, request, target, sink } = options
  const names = context.dialect
  const dropped = new Set([...names.reserved, names.key, names.organisation, names.expectedTarget, names.remainingMs, 'content-length', 'expect'])
  const lastId = sink.lastId()
  if (lastId !== undefined) dropped.add(names.lastEventId)
  const headers = rawHeaders.withoutHeaders(request.head.headers, dropped)
  headers.push(names.expectedTarget, target.id, names.remainingMs, String(Math.max(1, Math.floor(request.limitMs - context.now()))))
  if (request.organisation !== undefined) headers.push(names.organisation, request.organisation.name)
  if (lastId !== undefined) headers.push(names.lastEventId, String(lastId))
  return headers
}

/** Why an answer can't be this request's whole answer; undefined when it can. */
function findFault (options: Options, head: targetClient.AnswerHead): string | undefined {
  const { dialect: names } = options.context
  const success = head.status >= 200 && head.status < 300
  const echoed = rawHeaders.findHeader(head.headers, names.requestId)
  if (echoed === undefined ? success : echoed !== options.request.requestId) return 'the answer belongs to another request'
  if (!success) return undefined
  if (rawHeaders.findHeader(head.headers, names.proof) === undefined) return 'the answer has no proof'
  if (rawHeaders.findHeader(head.headers, 'content-encoding') !== undefined) return 'the answer is encoded'
  return undefined
}

function isStream (head: targetClient.AnswerHead): boolean {
  return head.status === 200 && (rawHeaders.findHeader(head.headers, 'content-type') ?? '').startsWith('text/event-stream')
}

/**
 * Sends the request; `done` is called once unless the attempt is aborted.
 *
 * @example
 * ```ts
 * const exchange = startAttempt({ context, request, target, body, sink, onSent, onEvent, done })
 * ```
 */
export function startAttempt (options: Options): targetClient.Exchange {
  const { context, request, target, sink } = options
  const chunks: Buffer[] = []
  const splitter = streamEvents.createEventSplitter()
  let head: targetClient.AnswerHead | undefined
  let ended = false

  function end (how: AttemptEnd): void {
    if (ended) return
    ended = true
    options.done(how)
  }

  function breakOff (message: string): void {
    exchange.abort()
    end({ kind: 'broken', message })
  }

  function takeHead (answer: targetClient.AnswerHead): void {
    const fault = findFault(options, answer)
    if (fault !== undefined) {
      breakOff(fault)
      return
    }
    head = answer
    const load = dialect.parseLoad(rawHeaders.findHeader(answer.headers, context.dialect.load))
    if (load !== undefined) context.pools.tellLoad(request.service, target.id, load)
  }

  function takeEvents (answer: targetClient.AnswerHead, chunk: Buffer): void {
    const lastId = sink.lastId()
    const events = [...splitter.push(chunk)].filter((event) => event.id === undefined || lastId === undefined || event.id > lastId)
    if (events.length === 0) return
    const first = events.find((event) => event.id !== undefined)?.id
    if (lastId !== undefined && first !== undefined && first !== lastId + 1) {
      breakOff(`the stream goes on at event ${first} after ${lastId}`)
      return
    }
    options.onEvent()
    if (!sink.push(answer, events)) exchange.pause()
  }

  function takeData (chunk: Buffer): void {
    if (head === undefined) return
    if (!isStream(head)) {
      chunks.push(chunk)
      return
    }
    try {
      takeEvents(head, chunk)
    } catch (error) {
      breakOff((error as Error).message)
    }
  }

  function takeEnd (): void {
    if (head === undefined) return
    if (rawHeaders.findHeader(head.headers, context.dialect.notRun) !== undefined || head.status === MISDIRECTED) {
      end({ kind: 'rejected', status: head.status })
    } else if (!isStream(head)) {
      end({ kind: 'answered', head, body: Buffer.concat(chunks) })
    } else if (splitter.pending().length > 0) {
      end({ kind: 'broken', message: 'the stream ended within an event' })
    } else {
      end({ kind: 'streamed' })
    }
  }

  const exchange = context.clients.send({
    address: target.address,
    method: request.head.method,
    path: request.head.path,
    headers: requestHeaders(options),
    body: options.body
  }, {
    sent: options.onSent,
    head: takeHead,
    data: takeData,
    end: takeEnd,
    failed: (kind, message) => end({ kind, message })
  })
  return { ...exchange, abort: () => { ended = true; exchange.abort() } }
}
