/**
 * Minimal target that responds at once, with JSON or with a stream of events at fixed intervals.
 *
 * @module
 */
import * as http from 'node:http'
import type * as net from 'node:net'

const COMPLETION_BODY = JSON.stringify({ id: 'c1', choices: [{ index: 0, message: { role: 'assistant', content: 'ok' } }], usage: { prompt_tokens: 20, completion_tokens: 1 } })
const LOAD_REPORT_BODY = JSON.stringify({ ageMs: 0, runningRequests: 0, queuedRequests: 0, tokensInProgress: 0 })

const KEEP_ALIVE_TIMEOUT_MS = 60_000

/** Body of a request for a streamed response. */
export interface StreamRequest {
  readonly stream: true
  readonly events: number
  /** Interval between events; 0 sends all events at once. */
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

function streamEvents (response: http.ServerResponse, request: StreamRequest): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  let sentEvents = 0

  function writeNextEvent (): void {
    if (response.destroyed) return
    if (sentEvents === request.events) {
      response.end('data: [DONE]\n\n')
      return
    }
    response.write(eventText(sentEvents))
    sentEvents += 1
    if (request.intervalMs > 0) setTimeout(writeNextEvent, request.intervalMs)
    else writeNextEvent()
  }

  writeNextEvent()
}

function respond (url: string, body: string, response: http.ServerResponse): void {
  if (url === '/load') {
    response.end(LOAD_REPORT_BODY)
  } else if (url.startsWith('/cache-events')) {
    response.end('{"events":[]}')
  } else {
    const parsed = body === '' ? {} : JSON.parse(body) as Partial<StreamRequest>
    if (parsed.stream === true) return streamEvents(response, parsed as StreamRequest)
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(COMPLETION_BODY)
  }
}

function listen (): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => respond(request.url ?? '', Buffer.concat(chunks).toString('utf8'), response))
  })
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)))
}

function close (server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/**
 * Starts the target on loopback, listening on `count` addresses.
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
