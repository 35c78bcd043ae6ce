import * as assert from 'uvu/assert'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as standins from '@persimmonhatch/standins'
import * as undici from 'undici'
import * as uvu from 'uvu'
import * as etcdKeyValue from '../src/etcd-key-value.js'
import * as httpClient from '../src/http-client.js'
import type * as keyValue from '../src/key-value.js'

const UNREACHED_TIMEOUT_MS = 60_000
const MAX_READS = 10_000

interface Log {
  readonly writes: readonly unknown[]
}

interface Context {
  setup: Setup // eslint-disable-line no-restricted-syntax -- uvu's hooks write to the context
}

interface Setup {
  readonly timers: standins.timers.ManualTimers
  readonly service: standins.keyValueService.KeyValueService
  readonly client: undici.Agent
  readonly store: keyValue.KeyValue
}

async function setUp (options: standins.keyValueService.Options = {}): Promise<Setup> {
  const timers = standins.timers.manualTimers()
  const service = await standins.keyValueService.startKeyValueService({ timers, ...options })
  const client = httpClient.createHttpClient({ connectTimeoutMs: UNREACHED_TIMEOUT_MS, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const store = etcdKeyValue.createEtcdKeyValue({ client, endpoints: [`http://${service.address}`], timeoutMs: UNREACHED_TIMEOUT_MS })
  return { timers, service, client, store }
}

async function tearDown ({ service, client }: Setup): Promise<void> {
  await client.destroy()
  await service.close()
}

async function control (setup: Setup, path: string, body?: unknown): Promise<unknown> {
  const response = await undici.request(`http://${setup.service.controlAddress}/standin/${path}`, body === undefined ? {} : { method: 'POST', body: JSON.stringify(body) })
  return await response.body.json()
}

async function outcomeOf<Value> (result: keyValue.PlatformResult<Value>): Promise<string> {
  return await result.match(() => 'ok', (failure) => failure.failure)
}

const calls = uvu.suite<Context>('etcdKeyValue')

calls.before.each(async (context) => { context.setup = await setUp() })
calls.after.each(async ({ setup }) => { await tearDown(setup) })

calls('swaps only at the expected revision', async ({ setup: { store } }) => {
  const first = (await store.compareAndSwap({ key: '/a/ü', expectedRevision: 0, value: 'one' }))._unsafeUnwrap()
  assert.equal(first, { succeeded: true, revision: 2, current: undefined })
  const second = (await store.compareAndSwap({ key: '/a/ü', expectedRevision: 0, value: 'two' }))._unsafeUnwrap()
  assert.equal(second, { succeeded: false, revision: 2, current: { key: '/a/ü', value: 'one', modRevision: 2 } })
  const deleted = (await store.compareAndSwap({ key: '/a/ü', expectedRevision: 2, value: undefined }))._unsafeUnwrap()
  assert.ok(deleted.succeeded)
  assert.is((await store.get('/a/ü'))._unsafeUnwrap(), undefined)
})

calls('lists only the keys under the prefix', async ({ setup: { store } }) => {
  for (const key of ['/a/1', '/a/2', '/a0', '/b']) await store.compareAndSwap({ key, expectedRevision: 0, value: key })
  const listing = (await store.list('/a/'))._unsafeUnwrap()
  assert.equal(listing.entries.map((entry) => entry.key), ['/a/1', '/a/2'])
  assert.is(listing.revision, 5)
})

calls('deletes keys with their lease', async ({ setup: { store, timers } }) => {
  const lease = (await store.grantLease(10))._unsafeUnwrap()
  const later = (await store.grantLease(30))._unsafeUnwrap()
  assert.ok(BigInt(later) > BigInt(lease))
  await store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x', lease })
  timers.advance(9_000)
  assert.is((await store.keepLeaseAlive(lease))._unsafeUnwrap(), 10)
  timers.advance(9_000)
  assert.is((await store.get('/a'))._unsafeUnwrap()?.value, 'x')
  timers.advance(2_000)
  assert.is((await store.get('/a'))._unsafeUnwrap(), undefined)
  assert.is((await store.keepLeaseAlive(lease))._unsafeUnwrap(), 0)
  assert.is(await outcomeOf(store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x', lease })), 'unavailable')
  assert.is(await outcomeOf(store.revokeLease(later)), 'ok')
})

const FAULTS = [
  { fault: { outage: 'refuse' }, read: 'unavailable', write: 'unavailable', effect: false },
  { fault: { outage: 'error' }, read: 'unavailable', write: 'unanswered', effect: false },
  { fault: { rejectRate: 1 }, read: 'over-limit', write: 'over-limit', effect: false },
  { fault: { loseNextAnswers: 1 }, read: 'ok', write: 'unanswered', effect: true }
] as const

for (const { fault, read, write, effect } of FAULTS) {
  calls(`classifies the failure caused by ${JSON.stringify(fault)}`, async ({ setup }) => {
    await control(setup, 'faults', fault)
    assert.is(await outcomeOf(setup.store.get('/a')), read)
    assert.is(await outcomeOf(setup.store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x' })), write)
    await control(setup, 'faults', { outage: 'none', rejectRate: 0 })
    assert.is((await setup.store.get('/a'))._unsafeUnwrap()?.value, effect ? 'x' : undefined)
    const log = await control(setup, 'log') as Log
    assert.is(log.writes.length, effect ? 1 : 0)
  })
}

calls('calls beyond the call limit are refused', async ({ setup }) => {
  for (let index = 0; index < 300; index += 1) assert.is(await outcomeOf(setup.store.compareAndSwap({ key: `/${index}`, expectedRevision: 0, value: 'x' })), 'ok')
  assert.is(await outcomeOf(setup.store.compareAndSwap({ key: '/more', expectedRevision: 0, value: 'x' })), 'over-limit')
  setup.timers.advance(1_000)
  assert.is(await outcomeOf(setup.store.compareAndSwap({ key: '/more', expectedRevision: 0, value: 'x' })), 'ok')
})

calls('reads older content from a restored store', async ({ setup }) => {
  await setup.store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'old' })
  await setup.store.compareAndSwap({ key: '/a', expectedRevision: 2, value: 'new' })
  await control(setup, 'faults', { restoreOlder: 2 })
  assert.equal((await setup.store.get('/a'))._unsafeUnwrap(), { key: '/a', value: 'old', modRevision: 2 })
})

calls.run()

const failOver = uvu.suite('fail-over')

async function startServer (listener: http.RequestListener): Promise<http.Server> {
  const server = http.createServer(listener)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

function urlOf (server: http.Server): string {
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

const FIRST_ENDPOINTS = [
  { name: 'refuses connections', listener: undefined, read: 'ok', write: 'ok' },
  { name: 'resets after the whole request', listener: (incoming: http.IncomingMessage) => { incoming.resume().on('end', () => incoming.socket.resetAndDestroy()) }, read: 'ok', write: 'unanswered' },
  { name: 'responds with 500', listener: (_: http.IncomingMessage, outgoing: http.ServerResponse) => { outgoing.writeHead(500).end() }, read: 'ok', write: 'unanswered' },
  { name: 'redirects', listener: (_: http.IncomingMessage, outgoing: http.ServerResponse) => { outgoing.writeHead(307, { location: '/' }).end() }, read: 'malformed', write: 'malformed' },
  { name: 'sends an invalid response', listener: (_: http.IncomingMessage, outgoing: http.ServerResponse) => { outgoing.end('<html>') }, read: 'malformed', write: 'malformed' }
] as const

for (const { name, listener, read, write } of FIRST_ENDPOINTS) {
  for (const [effect, expected] of [['read', read], ['write', write]] as const) {
    failOver(`a ${effect} when the first endpoint ${name}`, async () => {
      const setup = await setUp()
      const first = await startServer(listener ?? (() => undefined))
      const url = urlOf(first)
      if (listener === undefined) await new Promise((resolve) => { first.close(resolve) })
      const store = etcdKeyValue.createEtcdKeyValue({ client: setup.client, endpoints: [url, `http://${setup.service.address}`], timeoutMs: UNREACHED_TIMEOUT_MS })
      const result = effect === 'read' ? outcomeOf(store.get('/a')) : outcomeOf(store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x' }))
      assert.is(await result, expected)
      const log = await control(setup, 'log') as Log
      assert.is(log.writes.length, effect === 'write' && expected === 'ok' ? 1 : 0)
      first.close()
      first.closeAllConnections()
      await tearDown(setup)
    })
  }
}

for (const { effect, expected } of [{ effect: 'read', expected: 'unavailable' }, { effect: 'write', expected: 'unanswered' }] as const) {
  failOver(`a ${effect} that times out after it arrived`, async () => {
    let arrivals = 0
    const timeout = new AbortController()
    const server = await startServer((incoming) => {
      arrivals += 1
      incoming.resume().on('end', () => timeout.abort())
    })
    const setup = await setUp()
    const store = etcdKeyValue.createEtcdKeyValue({ client: setup.client, endpoints: [urlOf(server)], timeoutMs: 1, timeoutSignal: () => timeout.signal })
    const result = effect === 'read' ? outcomeOf(store.get('/a')) : outcomeOf(store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x' }))
    assert.is(await result, expected)
    assert.is(arrivals, 1)
    server.close()
    server.closeAllConnections()
    await tearDown(setup)
  })
}

failOver('each endpoint is tried once', async () => {
  let arrivals = 0
  const server = await startServer((_, outgoing) => {
    arrivals += 1
    outgoing.writeHead(503).end()
  })
  const setup = await setUp()
  const store = etcdKeyValue.createEtcdKeyValue({ client: setup.client, endpoints: [urlOf(server), urlOf(server), urlOf(server)], timeoutMs: UNREACHED_TIMEOUT_MS })
  assert.is(await outcomeOf(store.get('/a')), 'unavailable')
  assert.is(arrivals, 3)
  server.close()
  server.closeAllConnections()
  await tearDown(setup)
})

failOver('no endpoint is configured', async () => {
  const client = httpClient.createHttpClient({ connectTimeoutMs: UNREACHED_TIMEOUT_MS, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  assert.is(await outcomeOf(etcdKeyValue.createEtcdKeyValue({ client, endpoints: [], timeoutMs: UNREACHED_TIMEOUT_MS }).get('/a')), 'unavailable')
})

failOver.run()

const watches = uvu.suite<Context>('watch')

watches.before.each(async (context) => { context.setup = await setUp({ retainedRevisions: 4 }) })
watches.after.each(async ({ setup }) => { await tearDown(setup) })

async function writeValues (store: keyValue.KeyValue, key: string, count: number): Promise<void> {
  let expectedRevision = 0
  for (let index = 0; index < count; index += 1) {
    const swap = (await store.compareAndSwap({ key, expectedRevision, value: String(index) }))._unsafeUnwrap()
    expectedRevision = swap.revision
  }
}

watches('yields earlier and later changes in order, and ends when the signal aborts', async ({ setup: { store } }) => {
  await writeValues(store, '/a/1', 2)
  const controller = new AbortController()
  const received: keyValue.Change[] = []
  for await (const changes of store.watch('/a/', { era: 0, revision: 2 }, controller.signal)) {
    received.push(...changes)
    if (received.length === 1) {
      await store.compareAndSwap({ key: '/other', expectedRevision: 0, value: 'x' })
      await store.compareAndSwap({ key: '/a/1', expectedRevision: 3, value: undefined })
    }
    if (received.length === 2) controller.abort()
  }
  assert.equal(received, [
    { key: '/a/1', value: '1', modRevision: 3 },
    { key: '/a/1', value: undefined, modRevision: 5 }
  ])
})

async function watchFailure (store: keyValue.KeyValue, afterRevision: number): Promise<string> {
  try {
    for await (const changes of store.watch('/a/', { era: 0, revision: afterRevision }, new AbortController().signal)) assert.ok(changes.length > 0)
    return 'ended'
  } catch (error) {
    return (error as keyValue.PlatformFailure).failure
  }
}

watches('fails as compacted when its revision is compacted', async ({ setup: { store } }) => {
  await writeValues(store, '/a/1', 10)
  assert.is(await watchFailure(store, 2), 'compacted')
})

watches('fails as unavailable when the service becomes unavailable', async ({ setup }) => {
  await writeValues(setup.store, '/a/1', 1)
  const failure = watchFailure(setup.store, 0 + 1)
  await control(setup, 'faults', { outage: 'refuse' })
  assert.is(await failure, 'unavailable')
  assert.is(await watchFailure(setup.store, 1), 'unavailable')
})

watches('fails as compacted when the store was restored to an older revision', async ({ setup }) => {
  await writeValues(setup.store, '/a/1', 4)
  await control(setup, 'faults', { restoreOlder: 3 })
  assert.is(await watchFailure(setup.store, 5), 'compacted')
})

watches('ends at the service when the consumer stops', async ({ setup }) => {
  await writeValues(setup.store, '/a/1', 1)
  const changes = setup.store.watch('/a/', { era: 0, revision: 1 }, new AbortController().signal)
  assert.is((await changes.next()).value?.length, 1)
  await changes.return(undefined)
  let open = 1
  for (let reads = 0; open > 0 && reads < MAX_READS; reads += 1) {
    open = (await control(setup, 'calls') as { readonly openWatches: number }).openWatches
  }
  assert.is(open, 0)
})

watches('counts as one call against the limit', async ({ setup }) => {
  await control(setup, 'faults', { rejectRate: 1 })
  assert.is(await watchFailure(setup.store, 1), 'over-limit')
  assert.is((await control(setup, 'calls') as { readonly watches: number }).watches, 1)
})

watches.run()
