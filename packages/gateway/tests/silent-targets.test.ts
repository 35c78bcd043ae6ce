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
import * as silentStreams from './silent-streams.js'

const suite = uvu.suite('silent targets')

const STALL_MS = 1_000
const SLOTS = 6

/** Targets beside the silent one, none of which can take its stream, and how many sends there are. */
const ALONE: readonly (readonly [what: string, others: readonly object[]])[] = [
  ['it is the only one', []],
  ['the other has another version', [{ ...silentStreams.EXTRA, version: 'v2' }]],
  ['the other leaves', [{ ...silentStreams.EXTRA, leaving: true }]],
  ['the other is of another service', [{ ...silentStreams.EXTRA, service: 'other' }]]
]

// A stream was cut after 1 s of silence of its target although no other target of its version was there (review/4).
for (const [what, others] of ALONE) {
  suite(`a resumable stream at a silent target is whole and stays there: ${what}`, async () => {
    const fixture = await fixtureModule.openFixture(1, silentStreams.DOCUMENT)
    fixture.script((arrival, response) => { silentStreams.streamFrom(arrival, response, true) })
    const started = fixture.call('/generate/7', silentStreams.LONG)
    await fixtureModule.wait(100)
    for (const other of others) fixture.gateway.applyTarget({ id: silentStreams.EXTRA.id, era: 1, revision: 9, target: { ...silentStreams.EXTRA, ...other } }, 'test')
    const reply = await started
    assert.ok(silentStreams.isWhole(reply), reply.body)
    assert.is(fixture.arrivals.length, 1)
    await fixture.close()
  })
}

suite('a resumable stream goes on at the silent target when the only other one can not be reached', async () => {
  const fixture = await fixtureModule.openFixture(1, silentStreams.DOCUMENT)
  fixture.script((arrival, response, arrivals) => { silentStreams.streamFrom(arrival, response, arrivals === 1) })
  const started = fixture.call('/generate/7', silentStreams.LONG)
  await fixtureModule.wait(100)
  fixture.gateway.applyTarget({ id: silentStreams.EXTRA.id, era: 1, revision: 9, target: silentStreams.EXTRA }, 'test')
  const reply = await started
  assert.ok(silentStreams.isWhole(reply), reply.body)
  assert.equal(fixture.arrivals.map(({ target }) => target), ['i-1', 'i-1'])
  await fixture.close()
})

suite('a resumable stream leaves a silent target for one that can take it', async () => {
  const fixture = await fixtureModule.openFixture(2, silentStreams.DOCUMENT)
  fixture.script((arrival, response, arrivals) => { silentStreams.streamFrom(arrival, response, arrivals === 1) })
  const reply = await fixture.call('/generate/7', silentStreams.LONG)
  assert.ok(silentStreams.isWhole(reply), reply.body)
  assert.is(new Set(fixture.arrivals.map(({ target }) => target)).size, 2)
  await fixture.close()
})

suite('an idempotent request that takes longer than usual stays at the only target', async () => {
  const fixture = await fixtureModule.openFixture(1, silentStreams.DOCUMENT)
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, silentStreams.SILENCE_MS) })
  const reply = await fixture.call('/read/7', silentStreams.LONG)
  assert.equal([reply.status, fixture.arrivals.length], [200, 1])
  await fixture.close()
})

suite('a resumable stream whose caller reads nothing for a while stays at its target', async () => {
  const fixture = await fixtureModule.openFixture(2, silentStreams.DOCUMENT)
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
        setTimeout(() => { response.resume() }, silentStreams.SILENCE_MS)
      })
      response.on('end', () => { resolve(response.complete) }).on('error', () => { resolve(false) })
    })
  })
  // A fixture that stays open keeps the process running when the assertion fails, and the test has no result.
  await fixture.close()
  assert.equal([isComplete, fixture.arrivals.length], [true, 1])
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
  for (const id of ['i-1', 'i-2']) registry.apply({ id, era: 1, revision: 1, target: { ...silentStreams.EXTRA, id } }, nowMs)
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
  const route = silentStreams.DOCUMENT.routes.find(({ name }) => name === routeName)
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
  pass(silentStreams.SILENCE_MS)
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
  for (let elapsedMs = 0; elapsedMs < silentStreams.SILENCE_MS; elapsedMs += 30) {
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
  for (let elapsedMs = 0; elapsedMs < silentStreams.SILENCE_MS; elapsedMs += 30) {
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
