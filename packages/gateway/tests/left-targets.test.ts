/**
 * Streams that leave a silent target: what the next target does ends none of them before its time.
 */
import type * as http from 'node:http'
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'
import * as silentStreams from './silent-streams.js'

const suite = uvu.suite('left targets')

/** As on most routes: a second target may get a request, and no third one. */
const TWO_ATTEMPTS: routing.document.RoutingDocument = { ...silentStreams.DOCUMENT, routes: silentStreams.DOCUMENT.routes.map((route) => ({ ...route, attempts: 2 })) }

const SLOTS = 6

/** Far below the limit of the request, ms. */
const HELD_MS = 1_000

function reject (arrival: fixtureModule.Arrival, response: http.ServerResponse): void {
  response.writeHead(503, { 'request-id': arrival.headers['request-id'] ?? '', 'not-run': '1' })
  response.end()
}

/** Changes the entry of the second target. */
function changeSecond (fixture: fixtureModule.Fixture, address: string, changes: Partial<routing.targetRegistry.Target>, revision: number): void {
  fixture.gateway.applyTarget({ id: 'i-2', era: 1, revision, target: { ...silentStreams.EXTRA, id: 'i-2', address, ...changes } }, 'test')
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
      if (arrival.target === 'i-1') silentStreams.streamFrom(arrival, response, true)
      else reject(arrival, response)
      return
    }
    fixtureModule.beginStream(arrival, response)
    running.add(response)
    const timer = setInterval(() => { response.write(': wait\n\n') }, 50)
    response.once('close', () => { clearInterval(timer) })
  })
  const first = { id: 'i-1', era: 1, revision: 9, target: { ...silentStreams.EXTRA, id: 'i-1', leaving: true } }
  fixture.gateway.applyTarget(first, 'test')
  const others = Array.from({ length: SLOTS }, () => fixture.call('/answer/8', silentStreams.LONG))
  while (running.size < SLOTS) await fixtureModule.wait(10)
  fixture.gateway.applyTarget({ ...first, revision: 10, target: { ...first.target, address: fixture.addresses[0] ?? '', leaving: false } }, 'test')
  const reply = await fixture.call('/generate/7', silentStreams.LONG)
  for (const response of running) response.destroy()
  await Promise.all(others)
  await fixture.close()
  assert.equal([silentStreams.isWhole(reply), pathOf(fixture)], [true, 'i-1'])
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
    silentStreams.streamFrom(arrival, response, false)
  }, 'i-1 i-2 i-1'],
  ['has failed', (arrival, response) => { fixtureModule.respondComplete(arrival, response, 500) }, 'i-1 i-2 i-1'],
  ['falls silent as well', (arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 3\ndata: i-2\n\n')
    setTimeout(() => { response.end('id: 4\ndata: i-2\n\n') }, silentStreams.SILENCE_MS)
  }, 'i-1 i-2'],
  ['sends nothing for a while', (arrival, response) => { setTimeout(() => { silentStreams.streamFrom(arrival, response, false) }, silentStreams.SILENCE_MS) }, 'i-1 i-2']
]

// Guards against streams that are cut before their time because no attempt is left after they have left a silent target.
for (const [what, serve, path] of SUCCESSORS) {
  suite(`a resumable stream that has left a silent target is whole although the next one ${what}`, async () => {
    const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
    changeSecond(fixture, fixture.addresses[1] ?? '', { leaving: true }, 10)
    fixture.script((arrival, response, arrivals) => {
      if (arrival.target === 'i-2') serve(arrival, response, fixture)
      else silentStreams.streamFrom(arrival, response, arrivals === 1)
    })
    const started = fixture.call('/generate/7', silentStreams.LONG)
    await fixtureModule.wait(200)
    changeSecond(fixture, fixture.addresses[1] ?? '', {}, 11)
    const reply = await started
    await fixture.close()
    assert.equal([silentStreams.isWhole(reply), pathOf(fixture)], [true, path])
  })
}

suite('a resumable stream that has left a silent target waits until one of both has room again', async () => {
  const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
  fixture.script((arrival, response, arrivals) => {
    if (arrivals === 1 || arrivals > 4) silentStreams.streamFrom(arrival, response, arrivals === 1)
    else reject(arrival, response)
  })
  const reply = await fixture.call('/generate/7', silentStreams.LONG)
  await fixture.close()
  assert.equal([silentStreams.isWhole(reply), fixture.arrivals.length], [true, 5])
})

// Guards against a stream that is held until its limit although no target is left at which it could go on.
suite('a resumable stream that has left a silent target ends at once when that target is gone and the next one breaks off', async () => {
  const fixture = await fixtureModule.openFixture(2, TWO_ATTEMPTS)
  changeSecond(fixture, fixture.addresses[1] ?? '', { leaving: true }, 10)
  let brokenMs = Infinity
  fixture.script((arrival, response) => {
    if (arrival.target === 'i-1') {
      silentStreams.streamFrom(arrival, response, true)
      return
    }
    fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 20, target: undefined }, 'test')
    brokenMs = performance.now()
    response.socket?.resetAndDestroy()
  })
  const started = fixture.call('/generate/7', silentStreams.LONG)
  await fixtureModule.wait(200)
  changeSecond(fixture, fixture.addresses[1] ?? '', {}, 11)
  const reply = await started
  const heldMs = performance.now() - brokenMs
  await fixture.close()
  assert.equal([reply.isComplete, pathOf(fixture)], [false, 'i-1 i-2'])
  assert.ok(heldMs < HELD_MS, `${heldMs} ms`)
})

suite.run()
