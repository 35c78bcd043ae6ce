/**
 * Failures that operators of similar systems have reported.
 */
import * as events from 'node:events'
import * as gateway from '@persimmonhatch/gateway'
import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as requestTask from '../src/request-task.js'
import type * as servicePools from '../src/service-pools.js'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 60_000

/** The part of a caller's response that a task uses to refuse. */
class CallerResponse extends events.EventEmitter {
  status: number | undefined
  readonly headersSent = false

  writeHead (status: number): void {
    this.status = status
  }

  end (): void {
    this.emit('close')
  }
}

let fixture: fixtureModule.Fixture
const suite = uvu.suite('operator reports')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(2) })
suite.after.each(async () => { await fixture.close() })

suite('a daemon that was paused past the deadline of a waiting request does not send it', () => {
  let nowMs = 0
  let listener: servicePools.PlacementListener | undefined
  let sends = 0
  const outgoing = new CallerResponse()
  const target = { id: 'i-1', service: 'stock', address: '10.9.0.1:80', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false }
  const figures = { waitedMs: 0, waiting: 1, ahead: 0, freePlaces: 1, expectedWaitMs: 0, heardDaemons: 1 }
  const context = {
    now: () => nowMs,
    headerNames: fixtureModule.HEADER_NAMES,
    log: { request: () => {}, change: () => {} },
    metrics: gateway.metrics.createMetrics(),
    suspects: new routing.suspects.Suspects(),
    isArbiterOf: () => false,
    stopping: () => false,
    table: () => undefined,
    paths: { choose: () => undefined },
    pools: {
      requestPlacement: (_service: string, _request: unknown, next: servicePools.PlacementListener) => { listener = next },
      handlePlacementEvent: () => {}
    },
    clients: { send: () => { sends += 1 } }
  }
  const [route] = fixtureModule.DOCUMENT.routes
  const request = { head: { method: 'GET', path: '/read/7', headers: [], arrivedMs: 0 }, route, service: 'stock', priority: 0, requestId: 'r-1', promptTokens: 0, outputTokens: 0, cappedTokens: 0, promptSegments: [], limitMs: LONG_TIMEOUT_MS }
  new requestTask.RequestTask({ context, request, body: undefined, outgoing, done: () => {} } as unknown as requestTask.Options).start()
  nowMs = LONG_TIMEOUT_MS + 1
  listener?.onDecision({ kind: 'dispatch', id: 1, target, figures })
  assert.equal([sends, outgoing.status], [0, 503])
})

suite('a late second copy of a response on a connection that is in use again reaches nobody', async () => {
  let first: string | undefined
  fixture.script((arrival, response) => {
    const copy = `HTTP/1.1 200 OK\r\nrequest-id: ${String(arrival.headers['request-id'])}\r\nproof: ${arrival.target}\r\ncontent-length: 3\r\n\r\nold`
    if (first === undefined) {
      first = copy
      fixtureModule.respondComplete(arrival, response)
      return
    }
    response.socket?.write(first)
    setTimeout(() => { if (!response.destroyed) fixtureModule.respondComplete(arrival, response) }, 20)
  })
  assert.is((await fixture.call('/write/1', { method: 'POST' })).status, 200)
  for (let call = 0; call < 6; call += 1) {
    const reply = await fixture.call('/write/7', { method: 'POST' })
    assert.not.match(reply.body, /^old/)
    assert.ok(reply.status === 502 || reply.body.startsWith('from '), `${reply.status} ${reply.body}`)
  }
})

for (const [path, gapMs] of [['/answer/7', 1_150], ['/generate/7', 1_150], ['/write/7', 1_150]] as const) {
  suite(`a target that is silent for ${gapMs} ms is waited for: ${path}`, async () => {
    fixture.script((arrival, response) => {
      if (path === '/write/7') {
        setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, gapMs)
        return
      }
      const lastId = Number(arrival.headers['last-event-id'] ?? 0)
      fixtureModule.beginStream(arrival, response)
      if (lastId < 1) response.write('id: 1\ndata: a\n\n')
      setTimeout(() => { response.end('id: 2\ndata: b\n\n') }, lastId < 1 ? gapMs : 50)
    })
    const reply = await fixture.call(path, { method: 'POST' })
    assert.equal([reply.status, reply.isComplete], [200, true])
    if (path !== '/generate/7') assert.is(fixture.arrivals.length, 1)
    if (path !== '/write/7') assert.is(reply.body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  })
}

suite('a target that sends a byte now and then but no event ends at the timeout of the route', async () => {
  const timers: NodeJS.Timeout[] = []
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    timers.push(setInterval(() => { response.write(':') }, 100))
  })
  const startMs = performance.now()
  const reply = await fixture.call('/answer/7', { method: 'POST' })
  assert.is(reply.status, 504)
  assert.ok(performance.now() - startMs < LONG_TIMEOUT_MS)
  for (const timer of timers) clearInterval(timer)
})

suite.run()
