/**
 * Makes one call of a caller and records it as the caller sees it.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import type * as daemonProcess from './daemon-process.js'
import type * as recorderModule from './recorder.js'

/** A request that a caller sends. */
export interface Request {
  /** The caller's name for the request; targets log it as the marker. */
  readonly request: string
  readonly service: string
  readonly kind: 'model' | 'plain'
  readonly method: string
  readonly path: string
  readonly organisation: string
  readonly tier: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  readonly promptText: string
  readonly answerTokens: number
  readonly stream: boolean
  readonly deadlineMs?: number
  /** The body has no marker, so that several requests can have equal content. Targets then log the identity, which must be the name. */
  readonly omitsBodyMarker?: boolean
}

/** The outcome of a call. */
export interface Result {
  readonly call: number
  readonly status: number
  readonly outcome: 'answered' | 'refused' | 'redirected' | 'disconnected'
  readonly reason: string
  readonly location: string | undefined
  readonly identity: string | undefined
  readonly firstByteMs: number
  readonly totalMs: number
  readonly retryAfterMs: number
}

/** Dependencies and parameters of a call. */
export interface Options {
  readonly recorder: recorderModule.Recorder
  readonly httpClient: undici.Dispatcher
  readonly daemon: Pick<daemonProcess.DaemonProcess, 'name' | 'address'>
  readonly request: Request
  /** When undefined, the daemon assigns one and the request can't be retried. */
  readonly identity: string | undefined
  /** The caller closes the connection when this aborts. */
  readonly signal?: AbortSignal
}

interface RefusalBody {
  readonly error?: { readonly reason?: protocol.Reason, readonly execution?: protocol.Execution, readonly retryAfterMs?: number }
}

const DONE_MARKER = '[DONE]'

/** Timeout of any call, ms; longer than every deadline that the tests and the soak set. */
const CALL_TIMEOUT_MS = 150_000

/** Thrown when a call neither ended nor failed; its caller would wait forever. */
class CallTimeoutError extends Error {
  constructor (request: Request, daemon: string) {
    super(`The call ${request.request} (${request.method} ${request.path}) to ${daemon} had no outcome within ${CALL_TIMEOUT_MS} ms: inspect the connection that it was sent on.`)
    this.name = 'EndlessCall'
  }
}

function buildBody (request: Request): string | null {
  if (request.method === 'GET') return null
  if (request.kind === 'plain') return JSON.stringify({ item: request.promptText })
  return JSON.stringify({
    messages: [{ role: 'user', content: request.promptText }],
    prompt: request.promptText,
    max_tokens: request.answerTokens,
    stream: request.stream,
    ...(request.omitsBodyMarker === true ? {} : { metadata: { marker: request.request } })
  })
}

function buildHeaders (options: Options): Record<string, string> {
  const { request, identity } = options
  return {
    'content-type': 'application/json',
    [protocol.HEADERS.organisation]: request.organisation,
    [protocol.HEADERS.tier]: request.tier,
    'x-marker': request.request,
    ...(identity === undefined ? {} : { [protocol.HEADERS.identity]: identity }),
    ...(request.deadlineMs === undefined ? {} : { [protocol.HEADERS.deadline]: String(request.deadlineMs) })
  }
}

function parseJson (text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>
  } catch {
    return {}
  }
}

interface Choice {
  readonly text?: string
  readonly delta?: { readonly content?: string }
  readonly message?: { readonly content?: string }
}

function choiceText (data: Readonly<Record<string, unknown>>): string {
  const choice = (data.choices as readonly Choice[] | undefined)?.[0]
  return choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? ''
}

/** Yields the text of each event of a stream, then whether the stream ended properly. */
async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<{ readonly kind: 'text' | 'done' | 'error', readonly text: string }> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const bytes of body) {
    pending += decoder.decode(bytes, { stream: true })
    const events = pending.split('\n\n')
    pending = events.pop() ?? ''
    for (const event of events) {
      if (event.startsWith('event: error')) yield { kind: 'error', text: event.slice(event.indexOf('data: ') + 'data: '.length) }
      else if (event === `data: ${DONE_MARKER}`) yield { kind: 'done', text: '' }
      else if (event.startsWith('data: ')) yield { kind: 'text', text: choiceText(parseJson(event.slice('data: '.length))) }
    }
  }
}

/**
 * Sends one request and records its outcome.
 *
 * @example
 * ```ts
 * const result = await makeCall({ recorder, httpClient, daemon, request, identity: undefined })
 * ```
 */
export async function makeCall (options: Options): Promise<Result> {
  const { recorder, request, daemon } = options
  const call = recorder.nextCall()
  const startMs = recorder.clock()
  let firstByteMs = 0
  const base = { call, status: 0, reason: '', location: undefined, identity: options.identity, retryAfterMs: 0 }
  const withTimings = <Rest extends object>(rest: Rest): Rest & { readonly firstByteMs: number, readonly totalMs: number } => ({ ...rest, firstByteMs, totalMs: recorder.clock() - startMs })

  function recordRefusal (status: number, body: RefusalBody): Result {
    const reason = body.error?.reason ?? 'target-failed'
    recorder.record({ kind: 'refused', call, reason, execution: body.error?.execution ?? 'unknown' })
    return withTimings({ ...base, status, outcome: 'refused' as const, reason, retryAfterMs: body.error?.retryAfterMs ?? 0 })
  }

  function recordResponse (status: number, text: string): Result {
    if (text !== '') recorder.record({ kind: 'received', call, text })
    recorder.record({ kind: 'answered', call })
    return withTimings({ ...base, status, outcome: 'answered' as const })
  }

  async function readStream (response: undici.Dispatcher.ResponseData): Promise<Result> {
    for await (const event of readEvents(response.body)) {
      if (firstByteMs === 0) firstByteMs = recorder.clock() - startMs
      if (event.kind === 'error') return recordRefusal(response.statusCode, parseJson(event.text) as RefusalBody)
      if (event.kind === 'done') return recordResponse(response.statusCode, '')
      if (event.text !== '') recorder.record({ kind: 'received', call, text: event.text })
    }
    throw new Error('the stream ended without [DONE]')
  }

  async function readCompleteResponse (response: undici.Dispatcher.ResponseData): Promise<Result> {
    const text = await response.body.text()
    firstByteMs = recorder.clock() - startMs
    const body = parseJson(text)
    const { statusCode, headers } = response
    if (statusCode === 307) {
      recorder.record({ kind: 'redirected', call })
      return withTimings({ ...base, status: statusCode, outcome: 'redirected' as const, location: String(headers.location) })
    }
    if (headers[protocol.HEADERS.reason] !== undefined || statusCode >= 400) return recordRefusal(statusCode, body as RefusalBody)
    return recordResponse(statusCode, request.kind === 'model' ? choiceText(body) : String(body.marker ?? ''))
  }

  recorder.record({
    kind: 'sent',
    call,
    request: request.request,
    service: request.service,
    rank: request.rank,
    nonIdempotent: request.nonIdempotent,
    daemon: daemon.name,
    deadlineMs: request.deadlineMs
  })
  const timeoutSignal = AbortSignal.timeout(CALL_TIMEOUT_MS)
  try {
    const response = await undici.request(`http://${daemon.address}/s/${request.service}${request.path}`, {
      dispatcher: options.httpClient,
      method: request.method as undici.Dispatcher.HttpMethod,
      headers: buildHeaders(options),
      body: buildBody(request),
      signal: options.signal === undefined ? timeoutSignal : AbortSignal.any([options.signal, timeoutSignal])
    })
    const isStream = String(response.headers['content-type'] ?? '').startsWith('text/event-stream')
    return isStream ? await readStream(response) : await readCompleteResponse(response)
  } catch (error) {
    if (timeoutSignal.aborted) {
      const timeoutError = new CallTimeoutError(request, daemon.name)
      console.error(timeoutError.message)
      throw timeoutError
    }
    const isConnectionRefused = (error as { readonly code?: string }).code === 'ECONNREFUSED'
    if (isConnectionRefused) recorder.record({ kind: 'redirected', call })
    else recorder.record({ kind: 'disconnected', call, by: options.signal?.aborted === true ? 'caller' : 'daemon' })
    return withTimings({ ...base, outcome: isConnectionRefused ? 'redirected' as const : 'disconnected' as const, reason: String((error as Error).message) })
  }
}
