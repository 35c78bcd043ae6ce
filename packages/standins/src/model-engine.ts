/**
 * Stand-in for a model engine: OpenAI-style completions over continuous batching, with a prefix
 * cache, delayed reports and faults.
 *
 * @module
 */
import * as hono from 'hono'
import * as response from '@hono/node-server/utils/response'
import * as xxhash from 'xxhash-wasm'
import type * as protocol from '@persimmonhatch/protocol'
import * as engine from './engine.js'
import * as engineResponse from './engine-response.js'
import * as engineFaults from './engine-faults.js'
import * as engineOrders from './engine-orders.js'
import * as engineRequest from './engine-request.js'
import * as loopbackServer from './loopback-server.js'
import * as random from './random.js'
import * as timers from './timers.js'

const DEFAULT_CRASH_FOR_MS = 2_000
const DEFAULT_EVENT_INTERVAL_MS = 20
const DEFAULT_KV_BYTES_PER_TOKEN = 64
const IDENTITY_HEADER = 'idempotency-key'
const KV_TOKENS_HEADER = 'x-kv-cache-tokens'

/** Rates, sizes, lags, timers and port. The defaults suit a small test. */
export interface Options {
  readonly port?: number | undefined
  readonly prefillTokensPerS?: number | undefined
  readonly decodeTokensPerS?: number | undefined
  readonly maxDecodeTokensPerSequencePerS?: number | undefined
  readonly maxBatch?: number | undefined
  readonly cacheTokens?: number | undefined
  readonly loadLagMs?: number | undefined
  /** Whether load reports contain their age. */
  readonly statesLoadAge?: boolean | undefined
  readonly cacheEventLagMs?: number | undefined
  readonly cacheEventLossRate?: number | undefined
  readonly eventIntervalMs?: number | undefined
  readonly crashMarker?: string | undefined
  readonly crashForMs?: number | undefined
  readonly checksFencing?: boolean | undefined
  readonly kvBytesPerToken?: number | undefined
  readonly seed?: number | undefined
  readonly timers?: timers.Timers
}

/** A running stand-in. */
export interface ModelEngine {
  readonly address: string
  readonly controlAddress: string
  readonly close: () => Promise<void>
}

type App = hono.Hono<loopbackServer.Env>
type Context = hono.Context<loopbackServer.Env>

interface Dependencies {
  readonly app: App
  readonly engine: engine.Engine
  readonly faults: engineFaults.StreamFaults
  readonly clock: timers.Timers
}

async function readJson (context: Context): Promise<unknown> {
  try {
    return await context.req.json()
  } catch {
    return undefined
  }
}

function readAfter (context: Context): number {
  return Number(context.req.query('after') ?? 0) || 0
}

async function loadHash (): Promise<protocol.TextHash> {
  const { h32ToString } = await xxhash.default()
  return (text) => h32ToString(text)
}

function addCompletionRoutes ({ app, engine, faults, clock }: Dependencies, hash: protocol.TextHash, crashMarker: string | undefined): void {
  async function complete (context: Context, form: 'chat' | 'text'): Promise<Response> {
    const request = engineRequest.parseRequest(await readJson(context), { form, identity: context.req.header(IDENTITY_HEADER), hash, crashMarker })
    if (request === undefined) return context.json({ error: { message: 'not a completion request', type: 'invalid_request_error' } }, 400)
    const options = { engine, job: engine.submit(request), outgoing: context.env.outgoing, now: clock.now }
    if (request.stream) engineResponse.streamResponse(options, 0, faults.consumeNext())
    else engineResponse.sendCompleteResponse(options)
    return response.RESPONSE_ALREADY_SENT
  }
  app.post('/v1/chat/completions', async (context) => await complete(context, 'chat'))
  app.post('/v1/completions', async (context) => await complete(context, 'text'))
}

function addStreamRoutes ({ app, engine, clock }: Dependencies): void {
  app.get('/v1/streams/:id', (context) => {
    const job = engine.job(context.req.param('id'))
    if (job === undefined) return context.json({ error: { message: 'no such stream' } }, 404)
    engineResponse.streamResponse({ engine, job, outgoing: context.env.outgoing, now: clock.now }, readAfter(context), 'none')
    return response.RESPONSE_ALREADY_SENT
  })
  app.delete('/v1/streams/:id', (context) => {
    const job = engine.job(context.req.param('id'))
    if (job === undefined) return context.json({ error: { message: 'no such stream' } }, 404)
    engine.stop(job, 'cancelled')
    return context.json({ id: job.id, outcome: job.outcome })
  })
}

function addReportRoutes ({ app, engine }: Dependencies, ageMs: number | undefined): void {
  const age = ageMs === undefined ? {} : { ageMs }
  app.get('/load', (context) => context.json({ ...age, ...engine.load }))
  app.get('/cache-events', (context) => context.json({
    events: engine.cacheEvents(readAfter(context)).map(({ sequence, stored, evicted }) => ({ sequence, stored, evicted }))
  }))
  app.get('/standin/log', (context) => context.json({ requests: engine.log(readAfter(context)) }))
}

function addOrderRoutes ({ app, clock }: Dependencies, orders: engineOrders.Orders): void {
  app.post('/orders', async (context) => {
    const order = engineOrders.ORDER.safeParse(await readJson(context)).data
    if (order === undefined) return context.json({ error: { message: 'not an order' } }, 400)
    if (!orders.receive(order, clock.now())) return context.json({ error: { message: 'a newer fencing number was seen' } }, 409)
    return context.json(order)
  })
  app.get('/orders', (context) => context.json(orders.current ?? {}))
  app.get('/standin/orders', (context) => context.json({ received: orders.received }))
}

function addKvCacheRoutes ({ app, engine }: Dependencies, bytesPerToken: number): void {
  app.get('/kv-cache/:hash', (context) => {
    const tokens = engine.cache.tokensOf(context.req.param('hash'))
    if (tokens === 0) return context.json({ error: { message: 'not in the cache' } }, 404)
    return context.body(new Uint8Array(tokens * bytesPerToken), 200, { 'content-type': 'application/octet-stream', [KV_TOKENS_HEADER]: String(tokens) })
  })
  app.put('/kv-cache/:hash', async (context) => {
    const tokens = Number(context.req.header(KV_TOKENS_HEADER))
    const body = await context.req.arrayBuffer()
    if (!(tokens > 0) || body.byteLength !== tokens * bytesPerToken) return context.json({ error: { message: 'not a whole KV cache' } }, 400)
    engine.storePrefixes([{ hash: context.req.param('hash'), tokens }])
    return context.json({ tokens })
  })
}

function createEngine (options: Options, clock: timers.Timers, onCrash: () => void): engine.Engine {
  return new engine.Engine({
    timers: clock,
    random: random.seededRandom(options.seed ?? 1),
    prefillTokensPerS: options.prefillTokensPerS ?? 8_000,
    decodeTokensPerS: options.decodeTokensPerS ?? 1_000,
    maxDecodeTokensPerSequencePerS: options.maxDecodeTokensPerSequencePerS ?? 100,
    maxBatch: options.maxBatch ?? 16,
    cacheTokens: options.cacheTokens ?? 65_536,
    loadLagMs: options.loadLagMs ?? 0,
    cacheEventLagMs: options.cacheEventLagMs ?? 0,
    cacheEventLossRate: options.cacheEventLossRate ?? 0,
    eventIntervalMs: options.eventIntervalMs ?? DEFAULT_EVENT_INTERVAL_MS,
    onCrash
  })
}

/**
 * Starts the stand-in on loopback.
 *
 * @example
 * ```ts
 * const target = await startModelEngine({ prefillTokensPerS: 8_000, decodeTokensPerS: 1_000, crashMarker: 'CRASH' })
 * await fetch(`http://${target.address}/v1/completions`, { method: 'POST', body: '{"prompt":"Tag this","user":"m1"}' })
 * ```
 */
export async function startModelEngine (options: Options): Promise<ModelEngine> {
  const clock = options.timers ?? timers.systemTimers()
  const loadLagMs = options.loadLagMs ?? 0
  const dependencies: Dependencies = { app: new hono.Hono<loopbackServer.Env>(), engine: createEngine(options, clock, crash), faults: new engineFaults.StreamFaults(), clock }
  let refusesConnections = false

  function crash (): void {
    server.refuse()
    clock.after(options.crashForMs ?? DEFAULT_CRASH_FOR_MS, () => { if (!refusesConnections) server.accept() })
  }

  addCompletionRoutes(dependencies, await loadHash(), options.crashMarker)
  addStreamRoutes(dependencies)
  addReportRoutes(dependencies, options.statesLoadAge === false ? undefined : loadLagMs)
  addOrderRoutes(dependencies, new engineOrders.Orders(options.checksFencing ?? true))
  addKvCacheRoutes(dependencies, options.kvBytesPerToken ?? DEFAULT_KV_BYTES_PER_TOKEN)
  dependencies.app.post('/standin/faults', async (context) => {
    const change = engineFaults.FAULT_CHANGE.safeParse(await readJson(context)).data
    if (change === undefined) return context.json({ error: 'no such fault' }, 400)
    dependencies.faults.applyChange(change)
    dependencies.engine.slowdown = change.slowdown ?? dependencies.engine.slowdown
    dependencies.engine.leaving = change.leaving ?? dependencies.engine.leaving
    if (change.refuseConnections !== undefined) refuse(change.refuseConnections)
    return context.json(change)
  })

  const server = await loopbackServer.startLoopbackServer({ app: dependencies.app, port: options.port })

  function refuse (refuses: boolean): void {
    refusesConnections = refuses
    if (refuses) server.refuse()
    else server.accept()
  }

  return {
    address: server.address,
    controlAddress: server.controlAddress,
    close: async () => {
      dependencies.engine.close()
      await server.close()
    }
  }
}
