/**
 * A target that answers at once: JSON, or a stream of events at a steady pace.
 *
 * @module
 */
import * as http from 'node:http'
import type * as net from 'node:net'

const ANSWER = JSON.stringify({ id: 'c1', choices: [{ index: 0, message: { role: 'assistant', content: 'ok' } }], usage: { prompt_tokens: 20, completion_tokens: 1 } })
const LOAD = JSON.stringify({ ageMs: 0, runningRequests: 0, queuedRequests: 0, tokensInProgress: 0 })

const KEEP_ALIVE_MS = 60_000

/** What a streamed request asks of the target, in its body. */
export interface StreamRequest {
  readonly stream: true
  readonly events: number
  /** Pause between events; 0 sends all at once. */
  readonly intervalMs: number
}

/** A running target. */
export interface BareTarget {
  readonly addresses: readonly string[]
  readonly close: () => Promise<void>
}

function eventText (index: number): string {
  const event = { id: 'c1', object: 'chat.completion.chunk', created: 1_790_000_000, model: 'm', choices: [{ index: 0, delta: { content: ` word${index}` }, finish_reason: null }] }
  return `data: ${JSON.stringify(event)}\n\n`
}

function stream (response: http.ServerResponse, request: StreamRequest): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  let sent = 0

  function next (): void {
    if (response.destroyed) return
    if (sent === request.events) {
      response.end('data: [DONE]\n\n')
      return
    }
    response.write(eventText(sent))
    sent += 1
    if (request.intervalMs > 0) setTimeout(next, request.intervalMs)
    else next()
  }

  next()
}

function answer (url: string, body: string, response: http.ServerResponse): void {
  if (url === '/load') {
    response.end(LOAD)
  } else if (url.startsWith('/cache-events')) {
    response.end('{"events":[]}')
  } else {
    const parsed = body === '' ? {} : JSON.parse(body) as Partial<StreamRequest>
    if (parsed.stream === true) return stream(response, parsed as StreamRequest)
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(ANSWER)
  }
}

function listen (): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => answer(request.url ?? '', Buffer.concat(chunks).toString('utf8'), response))
  })
  server.keepAliveTimeout = KEEP_ALIVE_MS
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)))
}

function close (server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/**
 * Starts the target on loopback, under as many addresses as are asked for.
 *
 * @example
 * ```ts
 * const target = await startBareTarget(4)
 * ```
 */
export async function startBareTarget (count: number): Promise<BareTarget> {
  const servers = await Promise.all(Array.from({ length: count }, listen))
  return {
    addresses: servers.map((server) => `127.0.0.1:${(server.address() as net.AddressInfo).port}`),
    close: async () => { await Promise.all(servers.map(close)) }
  }
}
