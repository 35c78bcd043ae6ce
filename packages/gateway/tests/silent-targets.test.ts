/**
 * Targets that are sound and send nothing for a while: their requests stay there unless another target can take them.
 */
import * as events from 'node:events'
import * as http from 'node:http'
import * as gateway from '@persimmonhatch/gateway'
import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as admission from '../src/admission.js'
import type * as contextModule from '../src/context.js'
import * as requestTask from '../src/request-task.js'
import * as servicePools from '../src/service-pools.js'
import type * as targetClient from '../src/target-client.js'
import * as placements from './placements.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('silent targets')

/** Longer than the time after which a target is stalled, ms. */
const SILENCE_MS = 1_400
const STALL_MS = 1_000
const EVENTS = 4

const EXTRA = { id: 'i-9', service: 'stock', address: '127.0.0.1:9', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false }

/** Sends the events after the last one that the request names; the target `silent` pauses once before the third. */
function streamFrom (arrival: fixtureModule.Arrival, response: Parameters<fixtureModule.Script>[1], isSilent: boolean): void {
  fixtureModule.beginStream(arrival, response)
  let id = Number(arrival.headers['last-event-id'] ?? 0)
  const next = (): void => {
    id += 1
    if (id > EVENTS) {
      response.end()
      return
    }
    response.write(`id: ${id}\ndata: ${arrival.target}\n\n`)
    setTimeout(next, isSilent && id === 2 ? SILENCE_MS : 10)
  }
  next()
}

function isWhole ({ isComplete, body }: fixtureModule.Reply): boolean {
  return isComplete && [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)).join() === '1,2,3,4'
}

const LONG = { headers: { 'remaining-ms': '9000' } }
const DOCUMENT: routing.document.RoutingDocument = {
  ...fixtureModule.DOCUMENT,
  routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: 9_000, attempts: 3 }))
}

/** Targets beside the silent one, none of which can take its stream, and how many sends there are. */
const ALONE: readonly (readonly [what: string, others: readonly object[]])[] = [
  ['it is the only one', []],
  ['the other has another version', [{ ...EXTRA, version: 'v2' }]],
  ['the other leaves', [{ ...EXTRA, leaving: true }]],
  ['the other is of another service', [{ ...EXTRA, service: 'other' }]]
]

// A stream was cut after 1 s of silence of its target although no other target of its version was there (review/4).
for (const [what, others] of ALONE) {
  suite(`a resumable stream at a silent target is whole and stays there: ${what}`, async () => {
    const fixture = await fixtureModule.openFixture(1, DOCUMENT)
    fixture.script((arrival, response) => { streamFrom(arrival, response, true) })
    const started = fixture.call('/generate/7', LONG)
    await fixtureModule.wait(100)
    for (const other of others) fixture.gateway.applyTarget({ id: EXTRA.id, era: 1, revision: 9, target: { ...EXTRA, ...other } }, 'test')
    const reply = await started
    assert.ok(isWhole(reply), reply.body)
    assert.is(fixture.arrivals.length, 1)
    await fixture.close()
  })
}

suite('a resumable stream goes on at the silent target when the only other one can not be reached', async () => {
  const fixture = await fixtureModule.openFixture(1, DOCUMENT)
  fixture.script((arrival, response, arrivals) => { streamFrom(arrival, response, arrivals === 1) })
  const started = fixture.call('/generate/7', LONG)
  await fixtureModule.wait(100)
  fixture.gateway.applyTarget({ id: EXTRA.id, era: 1, revision: 9, target: EXTRA }, 'test')
  const reply = await started
  assert.ok(isWhole(reply), reply.body)
  assert.equal(fixture.arrivals.map(({ target }) => target), ['i-1', 'i-1'])
  await fixture.close()
})

suite('a resumable stream leaves a silent target for one that can take it', async () => {
  const fixture = await fixtureModule.openFixture(2, DOCUMENT)
  fixture.script((arrival, response, arrivals) => { streamFrom(arrival, response, arrivals === 1) })
  const reply = await fixture.call('/generate/7', LONG)
  assert.ok(isWhole(reply), reply.body)
  assert.is(new Set(fixture.arrivals.map(({ target }) => target)).size, 2)
  await fixture.close()
})

suite('an idempotent request that takes longer than usual stays at the only target', async () => {
  const fixture = await fixtureModule.openFixture(1, DOCUMENT)
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, SILENCE_MS) })
  const reply = await fixture.call('/read/7', LONG)
  assert.equal([reply.status, fixture.arrivals.length], [200, 1])
  await fixture.close()
})

suite('a resumable stream whose caller reads nothing for a while stays at its target', async () => {
  const fixture = await fixtureModule.openFixture(2, DOCUMENT)
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    for (let id = 1; id <= 40; id += 1) response.write(`id: ${id}\ndata: ${'x'.repeat(400_000)}\n\n`)
    response.end()
  })
  const { host, port } = gateway.endpoint.parseEndpoint(fixture.frontAddress)
  const isComplete = await new Promise((resolve) => {
    http.get({ host, port, path: '/generate/7', headers: { host: 'shop.example', key: 'k-1', 'request-id': 'slow', 'remaining-ms': '9000' }, agent: false }, (response) => {
      response.once('data', () => {
        response.pause()
        setTimeout(() => { response.resume() }, SILENCE_MS)
      })
      response.on('end', () => { resolve(response.complete) }).on('error', () => { resolve(false) })
    })
  })
  // A fixture that stays open keeps the process running when the assertion fails, and the test has no result.
  await fixture.close()
  assert.equal([isComplete, fixture.arrivals.length], [true, 1])
})

/** As on most routes: a second target may get a request, and no third one. */
const TWO_ATTEMPTS: routing.document.RoutingDocument = { ...DOCUMENT, routes: DOCUMENT.routes.map((route) => ({ ...route, attempts: 2 })) }

const SLOTS = 6

function reject (arrival: fixtureModule.Arrival, response: http.ServerResponse): void {
  response.writeHead(503, { 'request-id': arrival.headers['request-id'] ?? '', 'not-run': '1' })
  response.end()
}

/** Changes the entry of the second target. */
function changeSecond (fixture: fixtureModule.Fixture, address: string, changes: Partial<routing.targetRegistry.Target>, revision: number): void {
  fixture.gateway.applyTarget({ id: 'i-2', era: 1, revision, target: { ...EXTRA, id: 'i-2', address, ...changes } }, 'test')
}

/** The targets that got the request under test. */
function pathOf ({ arrivals }: fixtureModule.Fixture): string {
  return arrivals.filter(({ path }) => path.endsWith('/7')).map(({ target }) => target).join(' ')
}

// A stream was offered to a full target, which rejected it, and cut as the route allowed no third attempt (review/8).
suite('a resumable stream at a silent target stays there while the other target is full', async () => {
  const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
  const running = new Set<http.ServerResponse>()
  fixture.script((arrival, response) => {
    if (arrival.path.endsWith('/7')) {
      if (arrival.target === 'i-1') streamFrom(arrival, response, true)
      else reject(arrival, response)
      return
    }
    fixtureModule.beginStream(arrival, response)
    running.add(response)
    const timer = setInterval(() => { response.write(': wait\n\n') }, 50)
    response.once('close', () => { clearInterval(timer) })
  })
  const first = { id: 'i-1', era: 1, revision: 9, target: { ...EXTRA, id: 'i-1', leaving: true } }
  fixture.gateway.applyTarget(first, 'test')
  const others = Array.from({ length: SLOTS }, () => fixture.call('/answer/8', LONG))
  while (running.size < SLOTS) await fixtureModule.wait(10)
  fixture.gateway.applyTarget({ ...first, revision: 10, target: { ...first.target, address: fixture.addresses[0] ?? '', leaving: false } }, 'test')
  const reply = await fixture.call('/generate/7', LONG)
  for (const response of running) response.destroy()
  await Promise.all(others)
  await fixture.close()
  assert.equal([isWhole(reply), pathOf(fixture)], [true, 'i-1'])
})

/** What the second target does with a stream that comes from a silent one, and where the stream goes. */
const SUCCESSORS: readonly (readonly [what: string, serve: (arrival: fixtureModule.Arrival, response: http.ServerResponse, fixture: fixtureModule.Fixture) => void, path: string])[] = [
  ['rejects it', (arrival, response) => { reject(arrival, response) }, 'i-1 i-2 i-1'],
  ['breaks off', (arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 3\ndata: i-2\n\n', () => { response.socket?.resetAndDestroy() })
  }, 'i-1 i-2 i-1'],
  ['breaks off before its first event', (_, response) => { response.socket?.destroy() }, 'i-1 i-2 i-1'],
  ['is replaced by another version', (arrival, response, fixture) => {
    changeSecond(fixture, fixture.addresses[1] ?? '', { version: 'v2' }, 20)
    streamFrom(arrival, response, false)
  }, 'i-1 i-2 i-1'],
  ['has failed', (arrival, response) => { fixtureModule.respondComplete(arrival, response, 500) }, 'i-1 i-2 i-1'],
  ['falls silent as well', (arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 3\ndata: i-2\n\n')
    setTimeout(() => { response.end('id: 4\ndata: i-2\n\n') }, SILENCE_MS)
  }, 'i-1 i-2'],
  ['sends nothing for a while', (arrival, response) => { setTimeout(() => { streamFrom(arrival, response, false) }, SILENCE_MS) }, 'i-1 i-2']
]

// Guards against streams that are cut before their time because no attempt is left after they have left a silent target.
for (const [what, serve, path] of SUCCESSORS) {
  suite(`a resumable stream that has left a silent target is whole although the next one ${what}`, async () => {
    const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
    changeSecond(fixture, fixture.addresses[1] ?? '', { leaving: true }, 10)
    fixture.script((arrival, response, arrivals) => {
      if (arrival.target === 'i-2') serve(arrival, response, fixture)
      else streamFrom(arrival, response, arrivals === 1)
    })
    const started = fixture.call('/generate/7', LONG)
    await fixtureModule.wait(200)
    changeSecond(fixture, fixture.addresses[1] ?? '', {}, 11)
    const reply = await started
    await fixture.close()
    assert.equal([isWhole(reply), pathOf(fixture)], [true, path])
  })
}

suite('a resumable stream that has left a silent target waits until one of both has room again', async () => {
  const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
  fixture.script((arrival, response, arrivals) => {
    if (arrivals === 1 || arrivals > 4) streamFrom(arrival, response, arrivals === 1)
    else reject(arrival, response)
  })
  const reply = await fixture.call('/generate/7', LONG)
  await fixture.close()
  assert.equal([isWhole(reply), fixture.arrivals.length], [true, 5])
})

interface Setup {
  readonly pools: servicePools.ServicePools
  readonly stalled: readonly number[]
  readonly advance: (milliseconds: number) => void
  readonly now: () => number
}

/** Pools of two targets with a request at one of them unless they are idle, on a clock of the test. */
function setUpPools ({ isIdle = false } = {}): Setup {
  let nowMs = 1_000
  const stalled: number[] = []
  const registry = routing.targetRegistry.createTargetRegistry()
  for (const id of ['i-1', 'i-2']) registry.apply({ id, era: 1, revision: 1, target: { ...EXTRA, id } }, nowMs)
  const pools = servicePools.createServicePools({ now: () => nowMs, random: () => 0.5, registry, limitOf: () => undefined, changed: () => {} })
  pools.adopt(fixtureModule.DOCUMENT.services)
  pools.refreshTargets({ segment: routing.cell.WHOLE_RING, position: { index: 0, members: 1 }, cellPosition: { index: 0, members: 1 } }, nowMs)
  if (!isIdle) pools.requestPlacement('stock', placements.placementOptions(nowMs), { onQueued: () => {}, onDecision: () => {}, onStalled: () => { stalled.push(nowMs) } })
  return { pools, stalled, now: () => nowMs, advance: (milliseconds) => { nowMs += milliseconds } }
}

suite('a target that sends nothing while the daemon watches is stalled', () => {
  const { pools, stalled, advance } = setUpPools()
  for (let elapsedMs = 0; elapsedMs <= STALL_MS; elapsedMs += 30) {
    pools.tick()
    advance(30)
  }
  assert.is(stalled.length, 0)
  pools.tick()
  assert.is(stalled.length, 1)
})

// Timers run before what has arrived is read, so every target seemed stalled to a daemon that had been suspended.
suite('time in which the daemon was suspended is no silence of targets', () => {
  const { pools, stalled, advance } = setUpPools()
  pools.tick()
  advance(5_000)
  pools.tick()
  assert.is(stalled.length, 0)
  for (let elapsedMs = 0; elapsedMs <= STALL_MS; elapsedMs += 30) {
    advance(30)
    pools.tick()
  }
  assert.is(stalled.length, 1)
})

/** A response whose caller reads only when the test says so. */
class SlowOutgoing extends events.EventEmitter {
  headersSent = false
  writableNeedDrain = false
  isDestroyed = false
  status = 0

  writeHead (status: number): void { [this.headersSent, this.status] = [true, status] }

  write (): boolean {
    this.writableNeedDrain = true
    return false
  }

  end (): void {}

  destroy (): void { this.isDestroyed = true }

  drain (): void {
    this.writableNeedDrain = false
    this.emit('drain')
  }
}

/** What a task sends to targets. */
interface Sends {
  readonly targets: readonly string[]
  /** Delivers an event of the first target that a request was sent to. */
  readonly deliver: (id: number) => void
  /** Rejects the request at the target that it was last sent to. */
  readonly reject: () => void
  /** Answers with a failure from there. */
  readonly fail: () => void
}

/** Serves a request of a route, a resumable stream by default, at one of two targets, with clients and a caller of the test. */
function startStream ({ pools }: Setup, now: () => number, outgoing: SlowOutgoing, acquireRetry = (): boolean => true, routeName = 'generate'): Sends {
  const targets: string[] = []
  let first: targetClient.Listener | undefined
  let last: targetClient.Listener | undefined
  const nothing = (): void => {}
  const route = DOCUMENT.routes.find(({ name }) => name === routeName)
  const context = {
    now,
    table: nothing,
    headerNames: fixtureModule.HEADER_NAMES,
    log: { request: nothing, change: nothing },
    metrics: { count: nothing, observe: nothing },
    pools,
    clients: {
      send: ({ address }: targetClient.TargetRequest, listener: targetClient.Listener) => {
        targets.push(address)
        first ??= listener
        last = listener
        listener.sent()
        return { abort: nothing, pause: nothing, resume: nothing }
      }
    },
    budget: { acquireRetry },
    suspects: new routing.suspects.Suspects(nothing),
    targetLimits: routing.targetLimits.createTargetLimits(() => 0),
    streams: { record: nothing },
    paths: { choose: () => undefined, recordUnreachable: nothing },
    targets: { startOf: () => 0, versionOf: () => 'v1' },
    onLimitsChanged: nothing,
    isArbiterOf: () => false,
    daemons: () => 1,
    stopping: () => false
  } as unknown as contextModule.Context
  const request = {
    head: { method: 'GET', path: '/generate/7', headers: [], arrivedMs: now() }, route, service: 'stock', organisation: undefined, priority: 0, requestId: 'r-1', promptTokens: 0, outputTokens: 0, cappedTokens: 0, promptSegments: [], limitMs: now() + 9_000, resubmitted: false
  } as unknown as admission.AdmittedRequest
  new requestTask.RequestTask({ context, request, body: undefined, outgoing: outgoing as unknown as http.ServerResponse }).start()
  return {
    targets,
    deliver: (id) => {
      if (id === 1) first?.head({ status: 200, headers: ['request-id', 'r-1', 'proof', 'p', 'content-type', 'text/event-stream'] })
      first?.data(Buffer.from(`id: ${id}\ndata: a\n\n`))
    },
    reject: () => {
      last?.head({ status: 503, headers: ['request-id', 'r-1', 'not-run', '1'] })
      last?.end()
    },
    fail: () => {
      last?.head({ status: 500, headers: ['request-id', 'r-1', 'proof', 'p'] })
      last?.end()
    }
  }
}

// A tick between a caller reading on and the next data of its target took the time in which nothing was read for silence.
suite('the silence of a target is measured anew when its slow caller reads on', () => {
  const setup = setUpPools({ isIdle: true })
  const outgoing = new SlowOutgoing()
  const sends = startStream(setup, setup.now, outgoing)
  const pass = (milliseconds: number): void => {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 30) {
      setup.advance(30)
      setup.pools.tick()
    }
  }
  sends.deliver(1)
  pass(SILENCE_MS)
  assert.is(sends.targets.length, 1, 'the caller read slowly')
  outgoing.drain()
  pass(STALL_MS - 60)
  assert.is(sends.targets.length, 1, 'the caller has read on for less than the stall time')
  pass(90)
  assert.is(sends.targets.length, 2, 'the target has sent nothing for longer than the stall time')
  outgoing.emit('close')
})

// Guards against a stream that is cut because the fleet's retry budget is used up when the next target rejects it.
suite('a stream that has left a silent target waits until the retry budget allows its return', async () => {
  const setup = setUpPools({ isIdle: true })
  const outgoing = new SlowOutgoing()
  let isAllowed = true
  const sends = startStream(setup, setup.now, outgoing, () => isAllowed)
  sends.deliver(1)
  outgoing.drain()
  for (let elapsedMs = 0; elapsedMs < SILENCE_MS; elapsedMs += 30) {
    setup.advance(30)
    setup.pools.tick()
  }
  assert.is(sends.targets.length, 2)
  isAllowed = false
  sends.reject()
  await fixtureModule.wait(350)
  assert.equal([sends.targets.length, outgoing.isDestroyed], [2, false])
  isAllowed = true
  await fixtureModule.wait(350)
  assert.is(sends.targets.length, 3)
  outgoing.emit('close')
})

suite('an idempotent request that has left a slow target gets the failure of the next one at once if no retry is allowed', async () => {
  const setup = setUpPools({ isIdle: true })
  const outgoing = new SlowOutgoing()
  let isAllowed = true
  const sends = startStream(setup, setup.now, outgoing, () => isAllowed, 'read')
  while (sends.targets.length < 2) await fixtureModule.wait(20)
  isAllowed = false
  sends.fail()
  assert.is(outgoing.status, 500)
  outgoing.emit('close')
})

suite('a stream whose target goes on while the other one is full stays there when that has room again', () => {
  const setup = setUpPools({ isIdle: true })
  const outgoing = new SlowOutgoing()
  const sends = startStream(setup, setup.now, outgoing)
  const report = (running: number): void => { setup.pools.applyPeerLoads('p', { stock: { targets: { 'i-1': [running, 0], 'i-2': [running, 0] }, waiting: [] } }) }
  sends.deliver(1)
  outgoing.drain()
  for (let elapsedMs = 0; elapsedMs < SILENCE_MS; elapsedMs += 30) {
    report(SLOTS)
    setup.advance(30)
    setup.pools.tick()
  }
  assert.is(sends.targets.length, 1)
  sends.deliver(2)
  outgoing.drain()
  report(0)
  setup.pools.tick()
  assert.is(sends.targets.length, 1)
  outgoing.emit('close')
})

suite.run()
