/**
 * HTTP server for callers and operators.
 *
 * @module
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeServer from '@hono/node-server'
import * as sentResponse from '@hono/node-server/utils/response'
import * as backing from '@persimmonhatch/backing-services'
import * as protocol from '@persimmonhatch/protocol'
import * as hono from 'hono'
import type * as settings from '../settings/settings.js'
import * as splitAddress from '../util/split-address.js'
import * as endAfterBody from './end-after-body.js'
import * as readBody from './read-body.js'
import type * as readArrival from './read-arrival.js'
import * as localResponses from './local-responses.js'

/** Query for the addresses that a caller should use. */
export interface AddressQuery {
  readonly service: string | undefined
  readonly availabilityZone: string | undefined
}

/** Settings and handlers of the server. */
export interface Options {
  readonly listen: protocol.Address
  readonly limits: settings.Settings['limits']
  readonly addresses: (query: AddressQuery) => localResponses.LocalResponse
  /** Returns the response to `GET /v1/requests/IDENTITY`; undefined when this daemon has no receipt of the request. */
  readonly explain: (identity: string) => object | undefined
  readonly status: () => object
  /** Whether the daemon has the service documents. */
  readonly ready: () => boolean
  /** Handles a request; settles when the response was written or the caller disconnected. */
  readonly submit: (request: Omit<readArrival.CallerRequest, 'request'>, response: http.ServerResponse, url: string) => Promise<void>
  readonly count: (counter: string, value: number) => void
}

/** The running server. */
export interface CallerServer {
  /** Stops accepting connections and settles when the open ones have closed. */
  readonly close: () => Promise<void>
}

interface Environment {
  readonly Bindings: nodeServer.HttpBindings
}

type Context = hono.Context<Environment>

/** Timeout for the first byte of a connection while the server closes, milliseconds. */
const FIRST_BYTE_TIMEOUT_MS = 1_000

/** Interval at which a closing server closes connections that have become idle, milliseconds. */
const CLOSE_IDLE_INTERVAL_MS = 50

const SERVICE_PATH = /^\/s\/([^/?]+)(\/[^?]*)?(\?.*)?$/
const HEADERS_TOO_LARGE = 'HPE_HEADER_OVERFLOW'

function sendLocalResponse (response: http.ServerResponse, localResponse: localResponses.LocalResponse): void {
  if (response.destroyed) return
  response.writeHead(localResponse.status, localResponse.headers)
  response.end(localResponse.body)
}

/** Sends a response to a request whose body was not read. */
function sendUnread (incoming: http.IncomingMessage, outgoing: http.ServerResponse, localResponse: localResponses.LocalResponse): void {
  if (outgoing.destroyed) return
  outgoing.writeHead(localResponse.status, { ...localResponse.headers, 'content-length': Buffer.byteLength(localResponse.body) })
  endAfterBody.endAfterBody(incoming, outgoing, localResponse.body)
}

/** Returns the execution reported for a request that was refused unread. With an identity it may be a retry of a request that ran, so nothing is claimed. */
function executionBeforeRead (incoming: http.IncomingMessage): protocol.Execution {
  return incoming.headers[protocol.HEADERS.identity] === undefined ? 'not-run' : 'unknown'
}

async function handleServiceRequest (options: Options, context: Context): Promise<Response> {
  const { incoming, outgoing } = context.env
  const url = incoming.url ?? '/'
  if (!options.ready()) {
    sendLocalResponse(outgoing, localResponses.errorResponse('no-authority', {}, executionBeforeRead(incoming)))
    return sentResponse.RESPONSE_ALREADY_SENT
  }
  const match = SERVICE_PATH.exec(url)
  const body = await readBody.readBody(incoming, options.limits.bodyBytes)
  if (body.isErr()) {
    options.count('requests.unreadable', 1)
    if (outgoing.headersSent) return sentResponse.RESPONSE_ALREADY_SENT
    outgoing.setHeader('connection', 'close')
    const localResponse = body.error instanceof readBody.OversizedBody
      ? localResponses.errorResponse('body-too-large', { limitBytes: body.error.limitBytes }, executionBeforeRead(incoming))
      : localResponses.errorResponse('unsupported-transfer', {}, executionBeforeRead(incoming))
    sendUnread(incoming, outgoing, localResponse)
    return sentResponse.RESPONSE_ALREADY_SENT
  }
  await options.submit({
    service: match?.[1] ?? '',
    method: incoming.method ?? 'GET',
    path: `${match?.[2] ?? '/'}${match?.[3] ?? ''}`,
    headers: incoming.headers,
    body: body.value
  }, outgoing, url)
  return sentResponse.RESPONSE_ALREADY_SENT
}

function buildApp (options: Options): hono.Hono<Environment> {
  const app = new hono.Hono<Environment>()
  app.get('/healthz', (context) => options.ready() ? context.text('ok') : context.text('no service document has been read yet', 503))
  app.get('/v1/status', (context) => context.json(options.status()))
  app.get('/v1/addresses', (context) => {
    const localResponse = options.addresses({ service: context.req.query('service'), availabilityZone: context.req.query('availability-zone') })
    return new Response(localResponse.body, { status: localResponse.status, headers: localResponse.headers })
  })
  app.get('/v1/requests/:identity', (context) => {
    const found = options.explain(context.req.param('identity'))
    if (found !== undefined) return context.json(found)
    return context.json({ error: { reason: 'unknown-identity', message: 'This daemon has no receipt for that identity.', remedy: 'Query the daemon that responded to the request, or give the receipt from the x-persimmonhatch-receipt header to: persimmonhatch explain --receipt.' } }, 404)
  })
  app.all('/s/*', (context) => handleServiceRequest(options, context))
  app.notFound((context) => context.json({ error: { reason: 'unknown-path', message: `There is nothing at ${context.req.path}.`, remedy: 'Send requests to /s/SERVICE/PATH; see docs/callers.md.' } }, 404))
  app.onError((error, context) => {
    options.count('requests.faults', 1)
    return context.json({ error: { reason: 'fault', message: error.message, remedy: 'Report this fault with the daemon\'s log.' } }, 500)
  })
  return app
}

/** Tracks the open connections and when each was opened. */
function trackConnections (server: http.Server): ReadonlyMap<net.Socket, number> {
  const connections = new Map<net.Socket, number>()
  server.on('connection', (socket: net.Socket) => {
    connections.set(socket, performance.now())
    socket.once('close', () => connections.delete(socket))
  })
  return connections
}

/** Closes connections that never carried a request, which Node.js does not treat as idle. */
function closeUnusedConnections (connections: ReadonlyMap<net.Socket, number>): void {
  for (const [socket, openedMs] of connections) {
    if (socket.bytesRead === 0 && performance.now() - openedMs > FIRST_BYTE_TIMEOUT_MS) socket.destroy()
  }
}

function refuseUnparsed ({ code }: NodeJS.ErrnoException): backing.unparsedRequests.Refusal {
  const tooLarge = code === HEADERS_TOO_LARGE
  const detail = tooLarge ? 'the headers are larger than limits.headerBytes' : 'it is not a complete HTTP request'
  const body = localResponses.errorBody('malformed-request', { detail })
  return { status: tooLarge ? 431 : 400, headers: ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))], body }
}

/** Creates the server, which handles a request once its response can be written. */
function createServer (options: Options, hostname: string): http.Server {
  const { limits, count } = options
  const handle = nodeServer.getRequestListener(buildApp(options).fetch, { hostname })
  return backing.headerLines.keepAllLines(http.createServer({ maxHeaderSize: limits.headerBytes, requestTimeout: limits.requestReadMs }, (incoming, outgoing) => {
    const cut = (): void => {
      count('requests.faults', 1)
      backing.cutResponse.cut(outgoing)
    }
    backing.responseTurn.awaitTurn(incoming, outgoing, {
      serve: () => { handle(incoming, outgoing).catch(cut) },
      drop: () => { count('requests.dropped', 1) }
    })
  }))
}

/**
 * Starts the server.
 *
 * @example
 * ```ts
 * const server = await openCallerServer(options)
 * await server.close()
 * ```
 */
export async function openCallerServer (options: Options): Promise<CallerServer> {
  const endpoint = splitAddress.splitAddress(options.listen)
  const server = createServer(options, endpoint.host)
  await backing.listen.listen(server, endpoint)
  backing.unparsedRequests.refuseUnparsed(server, refuseUnparsed)
  const connections = trackConnections(server)

  function close (): Promise<void> {
    return new Promise((resolve) => {
      // Connections become idle one by one, as their responses end.
      const closing = setInterval(() => {
        server.closeIdleConnections()
        closeUnusedConnections(connections)
      }, CLOSE_IDLE_INTERVAL_MS)
      server.close(() => {
        clearInterval(closing)
        resolve()
      })
    })
  }

  return { close }
}
