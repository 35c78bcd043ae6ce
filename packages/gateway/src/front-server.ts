/**
 * The HTTP listener for callers.
 *
 * @module
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as backing from '@persimmonhatch/backing-services'
import type * as neverthrow from 'neverthrow'
import * as admission from './admission.js'
import * as bodyBudget from './body-budget.js'
import * as callerConnections from './caller-connections.js'
import type * as contextModule from './context.js'
import * as endpoint from './endpoint.js'
import * as pendingEvents from './pending-events.js'
import * as refusal from './refusal.js'
import * as requestBody from './request-body.js'
import * as requestTask from './request-task.js'
import * as resumption from './resumption.js'
import * as unexpectedErrors from './unexpected-errors.js'

/** Least size up to which heads are parsed, bytes; the document's own limit is checked afterwards. */
const MIN_PARSED_BYTES = 131_072

/** Part of the parsed size that is left to the request line if the document's limit is larger, bytes. Node.js counts the path as part of the head. */
const REQUEST_LINE_BYTES = 65_536

/** Interval of the check for connections with incomplete heads, ms. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000

const NO_DOCUMENT_RETRY_MS = 700

/** The open listener. */
export interface FrontServer {
  /** Applies the limits of a new document. A larger size of heads than usual holds for new connections. */
  readonly adoptLimits: () => void
  /** Returns the number of requests whose response has not been sent. */
  readonly open: () => number
  /** Whether a request has arrived since the start. */
  readonly hasServed: () => boolean
  /** Stops accepting connections and closes idle ones, also those that become idle later. */
  readonly close: () => void
  /** Ends requests in a planned stop: those that have not been sent to a target, or all if the stop is at its end. Answers that have begun are cut. */
  readonly endRequests: (isAtEnd: boolean) => void
}

const RETRY_AFTER_MS: Readonly<Partial<Record<refusal.Reason, number>>> = {
  'no-document': NO_DOCUMENT_RETRY_MS,
  'no-target': NO_DOCUMENT_RETRY_MS,
  'version-gone': NO_DOCUMENT_RETRY_MS,
  'unknown-stream': NO_DOCUMENT_RETRY_MS,
  failed: NO_DOCUMENT_RETRY_MS,
  'no-room': NO_DOCUMENT_RETRY_MS,
  stopping: refusal.STOPPING_RETRY_MS
}

/** Reasons for errors of the HTTP parser; others mean that the request is malformed. */
const PARSE_REASONS: Readonly<Record<string, refusal.Reason>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'body-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'head-timed-out'
}

/** Runs a step of a request. */
type Guard = (step: () => void) => void

/** Returns a guard that handles the error of a step. */
function guardWith (onError: (error: unknown) => void): Guard {
  return (step) => {
    try {
      step()
    } catch (error) {
      onError(error)
    }
  }
}

/**
 * Cuts the response when the caller ends its side within a request. Otherwise Node.js reports the connection as
 * closed only once the rest of the response is sent, which it can't be while the caller reads nothing.
 */
function closeWithCaller (incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
  const { socket } = incoming
  const handleEnd = (): void => { if (!outgoing.writableEnded) backing.cutResponse.cut(outgoing) }
  // Node.js ends its side in a listener of its own, after which a connection can't be reset.
  socket.prependOnceListener('end', handleEnd)
  outgoing.once('close', () => { socket.off('end', handleEnd) })
}

function recordDropped (context: contextModule.Context, { path }: admission.RequestHead): void {
  context.metrics.count('requests_dropped_total')
  context.log.request('request dropped', { path, detail: 'this side of the connection has ended' })
}

function recordRefusal (context: contextModule.Context, reason: refusal.Reason, { status }: refusal.Refusal, details: object): void {
  context.metrics.count('requests_total', { service: '', kind: '', outcome: 'refused', reason })
  context.log.request('request refused', { reason, status, document: context.table()?.version, ...details })
}

/** Returns the response to a request that can't be parsed. */
function refuseUnparsed (context: contextModule.Context, { code = '' }: NodeJS.ErrnoException): refusal.Refusal {
  const reason = PARSE_REASONS[code] ?? 'malformed'
  const response = refusal.refusalOf(reason)
  recordRefusal(context, reason, response, { code })
  return response
}

/**
 * Opens the listener.
 *
 * @example
 * ```ts
 * const server = await openFrontServer(context, '10.1.0.25:8221')
 * ```
 */
export async function openFrontServer (context: contextModule.Context, address: string): Promise<FrontServer> {
  const budget = bodyBudget.createBodyBudget()
  /** The open requests, each with its task once it has been read. */
  const open = new Map<http.ServerResponse, requestTask.RequestTask | undefined>()

  function refuse (outgoing: http.ServerResponse, head: admission.RequestHead, reason: refusal.Reason, retryAfterMs = RETRY_AFTER_MS[reason], figures: object = {}): void {
    const response = refusal.refusalOf(reason, retryAfterMs)
    const headers = [...response.headers]
    if (context.stopping() || reason === 'body-too-large') headers.push('Connection', 'close')
    recordRefusal(context, reason, response, { path: head.path, retryAfterMs, ...figures })
    outgoing.writeHead(response.status, headers)
    outgoing.end(response.body)
  }

  function handleRequest (incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    const head: admission.RequestHead = { method: incoming.method ?? 'GET', path: incoming.url ?? '/', headers: incoming.rawHeaders, arrivedMs: context.now() }
    const run = guardWith((error) => {
      unexpectedErrors.record(context, error, { path: head.path })
      if (outgoing.headersSent) backing.cutResponse.cut(outgoing)
      else refuse(outgoing, head, 'failed')
    })
    backing.responseTurn.awaitTurn(incoming, outgoing, {
      serve: () => { run(() => { serve(incoming, outgoing, head, run) }) },
      drop: () => { recordDropped(context, head) }
    })
  }

  function serve (incoming: http.IncomingMessage, outgoing: http.ServerResponse, head: admission.RequestHead, run: Guard): void {
    open.set(outgoing, undefined)
    outgoing.once('close', () => { open.delete(outgoing) })
    connections.begin(outgoing)
    closeWithCaller(incoming, outgoing)
    const admitted = admission.admit(context, head)
    const read = (done: (body: Buffer | undefined) => void): void => {
      requestBody.readBody(incoming, outgoing, { limitBytes: context.limits().bodyBytes, budget, done, refuse: (reason) => { refuse(outgoing, head, reason) } })
    }
    if (admitted.isErr()) {
      // Closing a connection with an unread body resets it, and the caller may lose the response.
      read(() => { refuse(outgoing, head, admitted.error) })
      return
    }
    context.budget.countRequest(admitted.value.service, context.now())
    const start = (request: admission.AdmittedRequest, body: Buffer | undefined): void => {
      const verdict = request.organisation === undefined ? undefined : context.caps.admit(request.organisation.name, request.cappedTokens, context.now())
      if (verdict?.kind === 'over-cap') return refuse(outgoing, head, 'over-cap', verdict.retryAfterMs, verdict.figures)
      const task = new requestTask.RequestTask({ context, request, body, outgoing })
      open.set(outgoing, task)
      task.start()
    }
    const handleBound = (bound: neverthrow.Result<admission.AdmittedRequest, refusal.Reason>, body: Buffer | undefined): void => {
      if (outgoing.destroyed) return
      if (bound.isOk()) start(bound.value, body)
      else refuse(outgoing, head, bound.error, RETRY_AFTER_MS[bound.error], { request: admitted.value.requestId, resumes: admitted.value.resumes })
    }
    const bind = (body: Buffer | undefined): void => {
      if (outgoing.destroyed) return
      resumption.bindToStream(context, admitted.value, (bound) => { run(() => { handleBound(bound, body) }) })
    }
    read((body) => { pendingEvents.afterPendingEvents(() => { run(() => { bind(body) }) }) })
  }

  const server = backing.headerLines.keepAllLines(http.createServer({
    maxHeaderSize: MIN_PARSED_BYTES,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    requestTimeout: 0,
    noDelay: true
  }, handleRequest))
  backing.unparsedRequests.refuseUnparsed(server, (error) => refuseUnparsed(context, error))
  const connections = callerConnections.followConnections(server)
  await backing.listen.listen(server, endpoint.parseEndpoint(address))
  server.on('error', (error) => { unexpectedErrors.record(context, error, { address }) })

  function adoptLimits (): void {
    const limits = context.limits()
    server.keepAliveTimeout = limits.idleTimeoutMs
    server.headersTimeout = limits.headerTimeoutMs
    // Node.js reads the property for each new connection; its types don't declare it.
    Object.assign(server, { maxHeaderSize: Math.max(MIN_PARSED_BYTES, limits.headerBytes + REQUEST_LINE_BYTES) })
  }

  function close (): void {
    if (!server.listening) return
    // The method of HTTP servers would also close connections whose answer has been handed over and not been sent.
    net.Server.prototype.close.call(server)
    connections.close()
  }

  adoptLimits()
  return { adoptLimits, open: () => open.size, hasServed: connections.hasBegun, close, endRequests: (isAtEnd) => { for (const task of open.values()) task?.stop(isAtEnd) } }
}
