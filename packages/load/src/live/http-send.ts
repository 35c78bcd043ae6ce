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

/** Which daemons, and how. */
export interface Options {
  readonly addresses: readonly string[]
  readonly httpClient: undici.Dispatcher
  readonly now: () => number
}

const ADDRESSES = zod.looseObject({
  addresses: zod.array(zod.looseObject({ address: zod.string(), identities: zod.array(zod.string()) }))
})
const DONE = 'data: [DONE]'
const SUCCESS_BELOW = 300

interface Destination {
  readonly address: string
  readonly identity: string | undefined
}

function bodyOf (request: plan.LiveRequest): string | null {
  const { kind } = request
  if (kind.method === 'GET') return null
  const text = mix.promptText(request, request.name, protocol.BYTES_PER_TOKEN)
  if (kind.target === 'plain') return JSON.stringify({ item: text })
  const metadata = { marker: request.name, answer_tokens: String(request.answerTokens) }
  return JSON.stringify({ messages: [{ role: 'user', content: text }], prompt: text, max_tokens: request.answerTokens, stream: kind.stream, metadata })
}

function headersOf (request: plan.LiveRequest, identity: string | undefined): Record<string, string> {
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
 * Creates a sender that takes the daemons in turns. Non-idempotent requests ask for an identity first
 * and go to the daemon that issued it, which must be one of those named.
 *
 * @example
 * ```ts
 * const send = createSend({ addresses: ['127.0.0.1:7400'], httpClient: new undici.Agent(), now })
 * ```
 */
export function createSend ({ addresses, httpClient, now }: Options): drive.Ports['send'] {
  let turn = 0

  async function chooseDaemon (request: plan.LiveRequest, signal: AbortSignal): Promise<Destination> {
    const address = addresses[turn++ % addresses.length] as string
    if (!request.kind.nonIdempotent) return { address, identity: undefined }
    const response = await undici.request(`http://${address}/v1/addresses?service=${request.kind.service}`, { dispatcher: httpClient, signal })
    const listed = ADDRESSES.parse(await response.body.json()).addresses.find((each) => addresses.includes(each.address))
    return { address: listed?.address ?? address, identity: listed?.identities[0] }
  }

  async function call (request: plan.LiveRequest, signal: AbortSignal): Promise<drive.Ending> {
    const { address, identity } = await chooseDaemon(request, signal)
    const { method, path, service, stream } = request.kind
    const response = await undici.request(`http://${address}/s/${service}${path}`, {
      dispatcher: httpClient, method: method as undici.Dispatcher.HttpMethod, headers: headersOf(request, identity), body: bodyOf(request), signal
    })
    let firstByteAtMs: number | undefined
    let tail = ''
    for await (const chunk of response.body) {
      firstByteAtMs ??= now()
      tail = (tail + String(chunk)).slice(-DONE.length * 2)
    }
    const isWhole = response.statusCode < SUCCESS_BELOW && (!stream || tail.includes(DONE))
    const reason = response.headers[protocol.HEADERS.reason]
    if (isWhole) return { outcome: 'answered', reason: 'answered', firstByteAtMs, endedAtMs: now() }
    return { outcome: 'refused', reason: typeof reason === 'string' ? reason : `status ${response.statusCode}`, firstByteAtMs: undefined, endedAtMs: now() }
  }

  return async (request, signal) => {
    try {
      return await call(request, signal)
    } catch (error) {
      const outcome = signal.aborted ? 'unanswered' : 'broken'
      return { outcome, reason: signal.aborted ? outcome : error instanceof Error ? error.name : 'error', firstByteAtMs: undefined, endedAtMs: now() }
    }
  }
}
