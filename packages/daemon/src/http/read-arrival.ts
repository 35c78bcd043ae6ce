/**
 * Parses a caller's request into what the scheduler needs.
 *
 * @module
 */
import type * as entry from '@persimmonhatch/entry'
import * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'

/** Hash functions, loaded once at startup. */
export interface Hashes {
  readonly prefix: protocol.TextHash
  /** 64-bit hash of any text as 16 hexadecimal digits. */
  readonly fingerprint: (text: string) => string
}

/** A complete request of a caller. */
export interface CallerRequest {
  readonly request: number
  readonly service: string
  readonly method: string
  /** Path within the service, including the query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  readonly body: Uint8Array
}

/** The request can't be parsed. */
export class MalformedRequest extends Error {
  constructor (readonly detail: string) {
    super(`The request could not be read: ${detail}. Correct it and send it again.`)
    this.name = 'MalformedRequest'
  }
}

const EMPTY_PROMPT: protocol.Prompt = { text: '', answerTokens: undefined, stream: false }
const CHAT_PATH = '/v1/chat/completions'
const COMPLETION_PATH = /^\/v1\/(chat\/)?completions$/

/** Returns the problem with a completion's body, starting with the field's name; undefined when it is valid. */
function findInvalidField (path: string, body: Readonly<Record<string, unknown>>): string | undefined {
  if (path !== CHAT_PATH) {
    const { prompt } = body
    return prompt === undefined || typeof prompt === 'string' || Array.isArray(prompt) ? undefined : 'prompt must be a text or a list'
  }
  const { messages } = body
  if (!Array.isArray(messages) || messages.length === 0) return 'messages must be a list of at least one message, each with role and content'
  const invalidIndex = messages.findIndex((message: unknown) => typeof message !== 'object' || message === null)
  return invalidIndex < 0 ? undefined : `messages[${invalidIndex}] must be an object with role and content`
}

function readBody (path: string, text: string): neverthrow.Result<protocol.Prompt, MalformedRequest> {
  if (!COMPLETION_PATH.test(path)) return neverthrow.ok({ ...EMPTY_PROMPT, text })
  try {
    const body: unknown = JSON.parse(text)
    if (typeof body !== 'object' || body === null || Array.isArray(body)) return neverthrow.err(new MalformedRequest('the body is not a JSON object'))
    const fields = body as Readonly<Record<string, unknown>>
    const fault = findInvalidField(path, fields)
    return fault === undefined ? neverthrow.ok(protocol.readPrompt(fields)) : neverthrow.err(new MalformedRequest(fault))
  } catch (error) {
    return neverthrow.err(new MalformedRequest(`the body is not JSON (${(error as Error).message})`))
  }
}

function readDeadline (text: string | undefined): neverthrow.Result<number | undefined, MalformedRequest> {
  if (text === undefined) return neverthrow.ok(undefined)
  const milliseconds = Number(text)
  if (Number.isInteger(milliseconds) && milliseconds > 0) return neverthrow.ok(milliseconds)
  return neverthrow.err(new MalformedRequest(`${protocol.HEADERS.deadline} is ${JSON.stringify(text)} and must be a positive whole number of milliseconds`))
}

function headerOf (request: CallerRequest, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : value?.[0]
}

function withoutQuery (path: string): string {
  const query = path.indexOf('?')
  return query < 0 ? path : path.slice(0, query)
}

// Latin-1 maps each byte to a different character, so different bodies that are not text don't collide.
function fingerprintText (request: CallerRequest): string {
  return [request.service, request.method, request.path, Buffer.from(request.body).toString('latin1')].join('\n')
}

/**
 * Parses a request into the arrival event of the entry.
 *
 * @example
 * ```ts
 * const arrival = readArrival(request, hashes)
 * if (arrival.isErr()) refuse(arrival.error.detail)
 * ```
 */
export function readArrival (request: CallerRequest, hashes: Hashes): neverthrow.Result<entry.event.Arrival, MalformedRequest> {
  return neverthrow.safeTry(function * () {
    const path = withoutQuery(request.path)
    const text = Buffer.from(request.body).toString('utf8')
    const prompt = yield * readBody(path, text)
    const deadlineMs = yield * readDeadline(headerOf(request, protocol.HEADERS.deadline))
    const isCompletion = COMPLETION_PATH.test(path)
    return neverthrow.ok({
      request: request.request,
      identity: headerOf(request, protocol.HEADERS.identity),
      service: request.service,
      organisation: headerOf(request, protocol.HEADERS.organisation) ?? headerOf(request, protocol.HEADERS.openaiOrganisation),
      tier: headerOf(request, protocol.HEADERS.tier),
      method: request.method,
      path,
      fingerprint: hashes.fingerprint(fingerprintText(request)),
      promptTokens: protocol.estimateTokens(prompt.text),
      answerTokens: prompt.answerTokens,
      prefixes: isCompletion ? protocol.prefixHashes(prompt.text, hashes.prefix) : [],
      deadlineMs
    })
  })
}
