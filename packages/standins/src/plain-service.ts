/**
 * Stand-in for a plain service: it counts the requests that it ran, and responds after a set time.
 *
 * @module
 */
import * as hono from 'hono'
import * as response from '@hono/node-server/utils/response'
import * as zod from 'zod'
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as loopbackServer from './loopback-server.js'
import * as timers from './timers.js'

const DEFAULT_CRASH_FOR_MS = 2_000
const MARKER_HEADER = 'x-marker'
const IDENTITY_HEADER = 'idempotency-key'

/** Service time, crashes, timers and port. */
export interface Options {
  readonly port?: number | undefined
  readonly serviceTimeMs?: number | undefined
  /** A body that contains this text crashes the service. */
  readonly crashMarker?: string | undefined
  readonly crashForMs?: number | undefined
  readonly timers?: timers.Timers
}

/** A running stand-in. */
export interface PlainService {
  readonly address: string
  readonly controlAddress: string
  readonly close: () => Promise<void>
}

/** One request that arrived. It runs once its complete body has been received. */
export interface LogEntry {
  readonly marker: string
  readonly identity: string | undefined
  readonly method: string
  readonly path: string
  readonly arrivedAtMs: number
  readonly arrivedWhileLeaving: boolean
  readonly ranAtMs: number | undefined
  readonly endedAtMs: number | undefined
  readonly outcome: 'running' | 'answered' | 'reset' | 'caller-gone' | 'crashed'
}

/** When a connection is reset: before, during or after the transfer of the request. */
const RESET = zod.enum(['before', 'during', 'after'])

const FAULT_CHANGE = zod.object({
  /** Resets the next requests, one for each item. */
  resetNext: zod.array(RESET),
  slowMs: zod.number().min(0),
  /** Responses to requests whose marker has this prefix are held back until the prefix is changed or emptied. */
  heldPrefix: zod.string(),
  refuseConnections: zod.boolean(),
  leaving: zod.boolean()
}).partial()

type Context = hono.Context<loopbackServer.Env>

class Run {
  ranAtMs: number | undefined
  endedAtMs: number | undefined
  outcome: LogEntry['outcome'] = 'running'

  constructor (readonly request: Pick<LogEntry, 'marker' | 'identity' | 'method' | 'path' | 'arrivedAtMs' | 'arrivedWhileLeaving'>) {}

  end (outcome: LogEntry['outcome'], atMs: number): void {
    if (this.outcome !== 'running') return
    this.outcome = outcome
    this.endedAtMs = atMs
  }

  get logEntry (): LogEntry {
    return {
      ...this.request,
      ranAtMs: this.ranAtMs,
      endedAtMs: this.endedAtMs,
      outcome: this.outcome
    }
  }
}

function resetOnFirstBytes (incoming: http.IncomingMessage): void {
  incoming.once('data', () => incoming.socket.resetAndDestroy())
  incoming.once('end', () => incoming.socket.resetAndDestroy())
}

/** Handles requests, with the settings that faults change. */
class Service {
  readonly log: Run[] = []
  pendingResets: Array<zod.infer<typeof RESET>> = []
  slowMs = 0
  leaving = false
  heldPrefix = ''
  /** Functions that resume the held requests. */
  resumeHeld: Array<() => void> = []
  runningRequests = 0
  runCount = 0

  constructor (readonly options: Options, readonly clock: timers.Timers, readonly onCrash: () => void) {}

  onConnection (socket: net.Socket): void {
    if (this.pendingResets[0] !== 'before') return
    this.pendingResets.shift()
    socket.resetAndDestroy()
  }

  async handle (context: Context): Promise<Response> {
    const { incoming } = context.env
    const run = new Run(this.#readRequest(context))
    this.log.push(run)
    this.runningRequests += 1
    context.env.outgoing.on('close', () => {
      this.runningRequests -= 1
      run.end('caller-gone', this.clock.now())
    })
    const reset = this.pendingResets.shift()
    if (reset === 'before') return this.#reset(run, context)
    if (reset === 'during') {
      run.end('reset', this.clock.now())
      resetOnFirstBytes(incoming)
      return response.RESPONSE_ALREADY_SENT
    }
    const body = await context.req.text()
    run.ranAtMs = this.clock.now()
    this.runCount += 1
    if (this.options.crashMarker !== undefined && body.includes(this.options.crashMarker)) return this.#crash()
    if (reset === 'after') return this.#reset(run, context)
    await new Promise<void>((resolve) => { this.clock.after((this.options.serviceTimeMs ?? 0) + this.slowMs, resolve) })
    if (this.heldPrefix !== '' && run.request.marker.startsWith(this.heldPrefix)) await new Promise<void>((resolve) => this.resumeHeld.push(resolve))
    run.end('answered', this.clock.now())
    return context.json({ marker: run.request.marker, path: run.request.path, runs: this.runCount })
  }

  setHeldPrefix (prefix: string): void {
    this.heldPrefix = prefix
    for (const resume of this.resumeHeld) resume()
    this.resumeHeld = []
  }

  #readRequest (context: Context): Run['request'] {
    const { req } = context
    const identity = req.header(IDENTITY_HEADER)
    return {
      marker: req.header(MARKER_HEADER) ?? identity ?? 'unmarked',
      identity,
      method: req.method,
      path: req.path,
      arrivedAtMs: this.clock.now(),
      arrivedWhileLeaving: this.leaving
    }
  }

  #reset (run: Run, context: Context): Response {
    run.end('reset', this.clock.now())
    context.env.incoming.socket.resetAndDestroy()
    return response.RESPONSE_ALREADY_SENT
  }

  #crash (): Response {
    for (const run of this.log) run.end('crashed', this.clock.now())
    this.onCrash()
    return response.RESPONSE_ALREADY_SENT
  }
}

/**
 * Starts the stand-in on loopback.
 *
 * @example
 * ```ts
 * const target = await startPlainService({ serviceTimeMs: 20 })
 * await fetch(`http://${target.address}/reserve`, { method: 'POST', headers: { 'x-marker': 'r1' }, body: '{}' })
 * ```
 */
export async function startPlainService (options: Options): Promise<PlainService> {
  const clock = options.timers ?? timers.systemTimers()
  const service = new Service(options, clock, crash)
  let refusesConnections = false

  function crash (): void {
    server.refuse()
    clock.after(options.crashForMs ?? DEFAULT_CRASH_FOR_MS, () => { if (!refusesConnections) server.accept() })
  }

  const app = new hono.Hono<loopbackServer.Env>()
  app.get('/load', (context) => context.json({ ageMs: 0, runningRequests: service.runningRequests, queuedRequests: 0, tokensInProgress: 0 }))
  app.get('/standin/log', (context) => context.json({ requests: service.log.slice(Number(context.req.query('after') ?? 0)).map((run) => run.logEntry) }))
  app.post('/standin/faults', async (context) => {
    const change = FAULT_CHANGE.safeParse(await context.req.json()).data
    if (change === undefined) return context.json({ error: 'no such fault' }, 400)
    service.pendingResets = change.resetNext ?? service.pendingResets
    service.slowMs = change.slowMs ?? service.slowMs
    service.leaving = change.leaving ?? service.leaving
    if (change.heldPrefix !== undefined) service.setHeldPrefix(change.heldPrefix)
    if (change.refuseConnections !== undefined) refuse(change.refuseConnections)
    return context.json(change)
  })
  app.all('*', async (context) => await service.handle(context))

  const server = await loopbackServer.startLoopbackServer({ app, port: options.port, onConnection: (socket) => service.onConnection(socket) })

  function refuse (refuses: boolean): void {
    refusesConnections = refuses
    if (refuses) server.refuse()
    else server.accept()
  }

  return { address: server.address, controlAddress: server.controlAddress, close: server.close }
}
