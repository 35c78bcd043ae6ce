/**
 * Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway with rate
 * limits and faults.
 *
 * @module
 */
import * as hono from 'hono'
import * as response from '@hono/node-server/utils/response'
import * as zod from 'zod'
import * as rateLimit from './rate-limit.js'
import * as keyValueStore from './key-value-store.js'
import * as loopbackServer from './loopback-server.js'
import * as random from './random.js'
import * as timers from './timers.js'
import * as wire from './key-value-wire.js'

const DEFAULT_WRITES_PER_S = 300
const DEFAULT_READS_PER_S = 2_000
const DEFAULT_RETAINED_REVISIONS = 10_000
const LEASE_CHECK_INTERVAL_MS = 100
const MAX_VALUE_BYTES = 1_048_576

/** Limits, timers and port. */
export interface Options {
  readonly port?: number | undefined
  readonly writesPerS?: number | undefined
  readonly readsPerS?: number | undefined
  /** Number of revisions to keep; older ones are compacted. */
  readonly retainedRevisions?: number | undefined
  readonly seed?: number | undefined
  readonly timers?: timers.Timers
}

/** A running stand-in. */
export interface KeyValueService {
  readonly address: string
  readonly controlAddress: string
  readonly close: () => Promise<void>
}

/** One accepted write. */
export interface LogEntry {
  readonly atMs: number
  readonly revision: number
  readonly type: 'PUT' | 'DELETE'
  readonly key: string
  readonly value: string
}

const FAULTS = zod.object({
  /** `refuse` closes the listener, `hang` never responds, `error` responds with 503. */
  outage: zod.union([zod.boolean().transform((down) => (down ? 'refuse' as const : 'none' as const)), zod.enum(['none', 'refuse', 'hang', 'error'])]),
  /** Delay of every response; the call takes effect first. */
  delayMs: zod.number().min(0),
  /** Number of next writes that take effect but whose connection is reset instead of a response. */
  loseNextAnswers: zod.number().int().min(0),
  /** Share of calls that are rejected as over the rate limit. */
  rejectRate: zod.number().min(0).max(1),
  /** Revision whose content is restored. */
  restoreOlder: zod.number().int().min(0).optional()
})

/** The faults that are switched on. */
export type Faults = zod.infer<typeof FAULTS>

/** Faults to change; omitted ones stay as they are. */
type FaultChange = zod.infer<typeof FAULT_CHANGE>

const FAULT_CHANGE = FAULTS.partial()

const NO_FAULTS: Faults = { outage: 'none', delayMs: 0, loseNextAnswers: 0, rejectRate: 0 }

type Context = hono.Context<loopbackServer.Env>

class CallCounts {
  reads = 0
  writes = 0
  watches = 0
  openWatches = 0
  rejected = 0
}

const WRITE_PATHS: ReadonlySet<string> = new Set(['/v3/kv/txn', '/v3/lease/grant', '/v3/lease/keepalive', '/v3/lease/revoke', '/v3/kv/compaction'])
const LOSABLE_RESPONSE_PATHS: ReadonlySet<string> = new Set(['/v3/kv/txn', '/v3/lease/grant', '/v3/lease/revoke'])

function grpcError (context: Context, status: 400 | 404 | 429 | 503, code: number, message: string): Response {
  return context.json({ error: message, code, message }, status)
}

function invalidRequest (context: Context): Response {
  return grpcError(context, 400, 3, 'etcdserver: invalid request')
}

function tooManyRequests (context: Context): Response {
  return grpcError(context, 429, 8, 'etcdserver: too many requests')
}

function resetConnection (context: Context): Response {
  context.env.incoming.socket.resetAndDestroy()
  return response.RESPONSE_ALREADY_SENT
}

async function readBody<Value> (context: Context, schema: zod.ZodType<Value>): Promise<Value | undefined> {
  const text = await context.req.text()
  if (text.length > MAX_VALUE_BYTES * 2) return undefined
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

function addKeyValueRoutes (app: hono.Hono<loopbackServer.Env>, store: keyValueStore.KeyValueStore): void {
  app.post('/v3/kv/range', async (context) => {
    const body = await readBody(context, wire.RANGE)
    if (body === undefined) return invalidRequest(context)
    return context.json({ header: wire.header(store.revision), ...wire.pairs(store.range(body.key, body.range_end)) })
  })
  app.post('/v3/kv/txn', async (context) => {
    const body = await readBody(context, wire.TRANSACTION)
    if (body === undefined) return invalidRequest(context)
    const result = store.transact(body.compare, body.success, body.failure)
    if (result === 'lease-not-found') return grpcError(context, 404, 5, 'etcdserver: requested lease not found')
    return context.json(wire.transaction(result, store.revision))
  })
  app.post('/v3/kv/compaction', async (context) => {
    const body = await readBody(context, wire.COMPACTION)
    if (body === undefined) return invalidRequest(context)
    store.compact(body.revision)
    return context.json({ header: wire.header(store.revision) })
  })
}

function addLeaseRoutes (app: hono.Hono<loopbackServer.Env>, store: keyValueStore.KeyValueStore): void {
  app.post('/v3/lease/grant', async (context) => {
    const body = await readBody(context, wire.LEASE_GRANT)
    if (body === undefined || body.TTL <= 0) return invalidRequest(context)
    const id = store.grantLease(body.TTL)
    return context.json({ header: wire.header(store.revision), ID: String(id), TTL: String(body.TTL) })
  })
  app.post('/v3/lease/keepalive', async (context) => {
    const body = await readBody(context, wire.LEASE)
    if (body === undefined) return invalidRequest(context)
    const timeToLiveS = store.keepLeaseAlive(body.ID)
    const timeToLive = timeToLiveS > 0 ? { TTL: String(timeToLiveS) } : {}
    return context.json({ result: { header: wire.header(store.revision), ID: String(body.ID), ...timeToLive } })
  })
  app.post('/v3/lease/revoke', async (context) => {
    const body = await readBody(context, wire.LEASE)
    if (body === undefined) return invalidRequest(context)
    if (!store.revokeLease(body.ID)) return grpcError(context, 404, 5, 'etcdserver: requested lease not found')
    return context.json({ header: wire.header(store.revision) })
  })
}

function addWatchRoute (app: hono.Hono<loopbackServer.Env>, store: keyValueStore.KeyValueStore, calls: CallCounts): void {
  app.post('/v3/watch', async (context) => {
    const request = (await readBody(context, wire.WATCH))?.create_request
    if (request === undefined) return invalidRequest(context)
    const { outgoing } = context.env
    const send = (message: wire.Message): void => { outgoing.write(`${JSON.stringify(message)}\n`) }
    outgoing.writeHead(200, { 'content-type': 'application/json' })
    send({ result: { header: wire.header(store.revision), created: true } })
    if (request.start_revision > 0 && request.start_revision <= store.compactedRevision) {
      send({ result: { header: wire.header(store.revision), canceled: true, compact_revision: String(store.compactedRevision) } })
      outgoing.end()
      return response.RESPONSE_ALREADY_SENT
    }
    calls.openWatches += 1
    const stop = store.watch(request.start_revision, (events) => {
      const matching = events.filter((event) => event.pair.modRevision >= request.start_revision && keyValueStore.isInRange(event.pair.key, request.key, request.range_end))
      if (matching.length > 0) send(wire.watchEvents(matching, store.revision))
    })
    outgoing.on('close', () => {
      calls.openWatches -= 1
      stop()
    })
    return response.RESPONSE_ALREADY_SENT
  })
}

/**
 * Starts the stand-in on loopback.
 *
 * @example
 * ```ts
 * const service = await startKeyValueService({ writesPerS: 300 })
 * await fetch(`http://${service.controlAddress}/standin/faults`, { method: 'POST', body: '{"outage":true}' })
 * ```
 */
export async function startKeyValueService (options: Options): Promise<KeyValueService> {
  const clock = options.timers ?? timers.systemTimers()
  const nextRandom = random.seededRandom(options.seed ?? 1)
  const store = new keyValueStore.KeyValueStore(clock.now, options.retainedRevisions ?? DEFAULT_RETAINED_REVISIONS)
  const calls = new CallCounts()
  const log: LogEntry[] = []
  const admitWrite = rateLimit.createRateLimit(options.writesPerS ?? DEFAULT_WRITES_PER_S, clock.now)
  const admitRead = rateLimit.createRateLimit(options.readsPerS ?? DEFAULT_READS_PER_S, clock.now)
  let faults = NO_FAULTS
  store.watch(0, (events) => log.push(...events.map(({ type, pair }) => ({ atMs: clock.now(), revision: pair.modRevision, type, key: decode(pair.key), value: decode(pair.value) }))))

  const app = new hono.Hono<loopbackServer.Env>()
  app.use('/v3/*', async (context, next) => {
    const isWrite = WRITE_PATHS.has(context.req.path)
    if (faults.outage === 'hang') return response.RESPONSE_ALREADY_SENT
    if (faults.outage === 'error') return grpcError(context, 503, 14, 'etcdserver: no leader')
    if (faults.outage === 'refuse') return resetConnection(context)
    if (context.req.path === '/v3/watch') calls.watches += 1
    else if (isWrite) calls.writes += 1
    else calls.reads += 1
    if (!(isWrite ? admitWrite() : admitRead()) || nextRandom() < faults.rejectRate) {
      calls.rejected += 1
      return tooManyRequests(context)
    }
    await next()
    if (faults.delayMs > 0) await new Promise<void>((resolve) => { clock.after(faults.delayMs, resolve) })
    if (faults.loseNextAnswers > 0 && LOSABLE_RESPONSE_PATHS.has(context.req.path)) {
      faults = { ...faults, loseNextAnswers: faults.loseNextAnswers - 1 }
      context.res = resetConnection(context)
    }
    return undefined
  })
  addKeyValueRoutes(app, store)
  addLeaseRoutes(app, store)
  addWatchRoute(app, store, calls)
  app.get('/standin/log', (context) => context.json({ writes: log.slice(Number(context.req.query('after') ?? 0)) }))
  app.get('/standin/calls', (context) => context.json({ ...calls }))
  app.get('/standin/faults', (context) => context.json(faults))
  app.post('/standin/faults', async (context) => {
    const change = await readBody(context, FAULT_CHANGE)
    if (change === undefined) return context.json({ error: 'no such fault' }, 400)
    applyChange(change)
    return context.json(faults)
  })

  const server = await loopbackServer.startLoopbackServer({ app, port: options.port })
  const stopExpiry = clock.every(LEASE_CHECK_INTERVAL_MS, () => store.expireLeases())

  function applyChange ({ restoreOlder, ...change }: FaultChange): void {
    faults = { ...faults, ...change as Partial<Faults> }
    if (restoreOlder !== undefined) {
      store.restore(restoreOlder)
      server.resetConnections()
    }
    if (faults.outage === 'refuse') server.refuse()
    else server.accept()
  }

  return {
    address: server.address,
    controlAddress: server.controlAddress,
    close: async () => {
      stopExpiry()
      await server.close()
    }
  }
}

function decode (bytes: string): string {
  return Buffer.from(bytes, 'latin1').toString()
}
