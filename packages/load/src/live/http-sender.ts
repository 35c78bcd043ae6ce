/**
 * Sends requests to daemons over HTTP.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import * as zod from 'zod'
import * as mix from '../mix.js'
import type * as drive from './drive.js'
import type * as plan from './plan.js'

/** Options of a sender. */
export interface Options {
  readonly addresses: readonly string[]
  readonly httpClient: undici.Dispatcher
  readonly now: () => number
}

const ADDRESSES_RESPONSE = zod.looseObject({
  addresses: zod.array(zod.looseObject({ address: zod.string(), identities: zod.array(zod.string()) }))
})
const STREAM_END = 'data: [DONE]'
const MIN_NON_SUCCESS_STATUS = 300

interface Destination {
  readonly address: string
  readonly identity: string | undefined
}

function buildBody (request: plan.LiveRequest): string | null {
  const { kind } = request
  if (kind.method === 'GET') return null
  const promptText = mix.promptText(request, request.name, protocol.BYTES_PER_TOKEN)
  if (kind.target === 'plain') return JSON.stringify({ item: promptText })
  const metadata = { marker: request.name, answer_tokens: String(request.answerTokens) }
  return JSON.stringify({ messages: [{ role: 'user', content: promptText }], prompt: promptText, max_tokens: request.answerTokens, stream: kind.stream, metadata })
}

function buildHeaders (request: plan.LiveRequest, identity: string | undefined): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-marker': request.name,
    [protocol.HEADERS.organisation]: request.organisation,
    [protocol.HEADERS.tier]: request.kind.tier,
    ...(identity === undefined ? {} : { [protocol.HEADERS.identity]: identity }),
    ...(request.deadlineMs === undefined ? {} : { [protocol.HEADERS.deadline]: String(request.deadlineMs) })
  }
}

/**
 * Creates a sender that cycles through the daemons. For a non-idempotent request, it fetches an identity first and
 * sends the request to the daemon that issued it, which must be one of `addresses`.
 *
 * @example
 * ```ts
 * const send = createHttpSender({ addresses: ['127.0.0.1:7400'], httpClient: new undici.Agent(), now })
 * ```
 */
export function createHttpSender ({ addresses, httpClient, now }: Options): drive.Dependencies['send'] {
  let nextIndex = 0

  async function chooseDaemon (request: plan.LiveRequest, signal: AbortSignal): Promise<Destination> {
    const address = addresses[nextIndex++ % addresses.length] as string
    if (!request.kind.nonIdempotent) return { address, identity: undefined }
    const response = await undici.request(`http://${address}/v1/addresses?service=${request.kind.service}`, { dispatcher: httpClient, signal })
    const issuer = ADDRESSES_RESPONSE.parse(await response.body.json()).addresses.find((each) => addresses.includes(each.address))
    return { address: issuer?.address ?? address, identity: issuer?.identities[0] }
  }

  async function sendRequest (request: plan.LiveRequest, signal: AbortSignal): Promise<drive.CallResult> {
    const { address, identity } = await chooseDaemon(request, signal)
    const { method, path, service, stream } = request.kind
    const response = await undici.request(`http://${address}/s/${service}${path}`, {
      dispatcher: httpClient, method: method as undici.Dispatcher.HttpMethod, headers: buildHeaders(request, identity), body: buildBody(request), signal
    })
    let firstByteAtMs: number | undefined
    let tail = ''
    for await (const chunk of response.body) {
      firstByteAtMs ??= now()
      tail = (tail + String(chunk)).slice(-STREAM_END.length * 2)
    }
    const isComplete = response.statusCode < MIN_NON_SUCCESS_STATUS && (!stream || tail.includes(STREAM_END))
    const reason = response.headers[protocol.HEADERS.reason]
    if (isComplete) return { outcome: 'answered', reason: 'answered', firstByteAtMs, endedAtMs: now() }
    return { outcome: 'refused', reason: typeof reason === 'string' ? reason : `status ${response.statusCode}`, firstByteAtMs: undefined, endedAtMs: now() }
  }

  return async (request, signal) => {
    try {
      return await sendRequest(request, signal)
    } catch (error) {
      const outcome = signal.aborted ? 'unanswered' : 'broken'
      return { outcome, reason: signal.aborted ? outcome : error instanceof Error ? error.name : 'error', firstByteAtMs: undefined, endedAtMs: now() }
    }
  }
}
