/**
 * Heads beyond what the listener parses: callers are told that the request is refused, and no other response is lost.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'
import * as plainSockets from './plain-sockets.js'

type Line = plainSockets.Line

const OWN_LINES: readonly Line[] = [['Host', 'shop.example'], ['Key', 'k-1'], ['Remaining-Ms', '5000']]

const FIRST = plainSockets.headOf('GET /read/7 HTTP/1.1', [...OWN_LINES, ['Request-Id', 'r-first']])

/** Time within which heads that take too long are found, ms. */
const HEAD_CHECK_MS = 2_200

/** Size of a head that the listener does not parse with the limits of the fixture, bytes. */
const UNPARSED_BYTES = 400_000

let fixture: fixtureModule.Fixture
let target: plainSockets.Target | undefined
const suite = uvu.suite('oversized heads')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(1) })
suite.after.each(async () => {
  await fixture.close()
  target?.close()
})

/** Returns a head with lines of 2,000 bytes that exceed a number of bytes. */
function headOver (bytes: number): string {
  const padding = Array.from({ length: Math.ceil(bytes / 2_000) }, (_, index): Line => [`s${index}`, 'x'.repeat(2_000)])
  return plainSockets.headOf('GET /read/7 HTTP/1.1', [...OWN_LINES, ['Request-Id', 'r-large'], ...padding])
}

// Guards against a caller that gets a reset in place of the refusal, and so sends the request again.
suite('a caller that sends a head of any size gets 431 with the reason', async () => {
  for (const bytes of [10_000, 100_000, UNPARSED_BYTES, 4_000_000]) {
    const received = await plainSockets.exchangeBytes(fixture.frontAddress, headOver(bytes))
    assert.is(received.status, 431, `${bytes} bytes`)
    assert.match(received.body, /headers-too-large/)
  }
  assert.is(fixture.arrivals.length, 0)
})

// Guards against a refusal that takes the place of the response to the request before it on the connection.
suite('an oversized head behind a request leaves that request its response', async () => {
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, 100) })
  const [first, second] = await plainSockets.exchangeAll(fixture.frontAddress, 2, FIRST + headOver(UNPARSED_BYTES))
  assert.equal([first?.status, first?.body, second?.status], [200, 'from i-1', 431])
})

function adoptShortHeadTimeout (): void {
  const routes = fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: 5_000 }))
  fixture.gateway.adopt({ ...fixtureModule.DOCUMENT, version: 2, routes, limits: { ...fixtureModule.DOCUMENT.limits, headerTimeoutMs: 100 } }, 'test')
}

// Guards against 408, which promises that the request has not run, in the place of a response.
suite('a head that takes too long, behind a request, leaves that request its response', async () => {
  adoptShortHeadTimeout()
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, HEAD_CHECK_MS) })
  const [first, second] = await plainSockets.exchangeAll(fixture.frontAddress, 2, `${FIRST}GET /read/7 HTTP/1.1\r\nhost: sho`)
  assert.equal([first?.status, first?.body, second?.status], [200, 'from i-1', 408])
  assert.is(fixture.arrivals.length, 1)
})

// Guards against a refusal of a request that is complete, and may run, by the time at which it is due.
suite('a head that takes too long, and is complete before its turn, is served', async () => {
  adoptShortHeadTimeout()
  fixture.script((arrival, response, arrivals) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, arrivals === 1 ? HEAD_CHECK_MS + 300 : 0) })
  const [first, second] = await plainSockets.exchangeAll(fixture.frontAddress, 2, FIRST + FIRST.slice(0, 40), (send) => { setTimeout(() => { send(FIRST.slice(40)) }, HEAD_CHECK_MS) })
  assert.equal([first?.status, second?.status, fixture.arrivals.length], [200, 200, 2])
})

const UNREADABLE_BODY = `${plainSockets.headOf('POST /write/7 HTTP/1.1', [...OWN_LINES, ['Request-Id', 'r-chunks'], ['Transfer-Encoding', 'chunked']])}4\r\nbody\r\nno size\r\n`

suite('a request whose chunks have no size is answered 400 and reaches no target', async () => {
  const received = await plainSockets.exchangeBytes(fixture.frontAddress, UNREADABLE_BODY)
  assert.equal([received.status, fixture.arrivals.length], [400, 0])
  assert.match(received.body, /malformed/)
})

suite('a request whose chunks have no size, behind another one, leaves that one its response', async () => {
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, 100) })
  const [first, second] = await plainSockets.exchangeAll(fixture.frontAddress, 2, FIRST + UNREADABLE_BODY)
  assert.equal([first?.status, first?.body, second?.status], [200, 'from i-1', 400])
})

// Guards against a limit of the operator that the listener does not reach.
suite('a head within a limit of the operator that is above the usual ones is served', async () => {
  target = await plainSockets.openTarget()
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 2, target: { id: 'i-1', service: 'stock', address: target.address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  fixture.gateway.adopt({ ...fixtureModule.DOCUMENT, version: 2, limits: { ...fixtureModule.DOCUMENT.limits, headerBytes: 1_000_000 } }, 'test')
  const served = await plainSockets.exchangeBytes(fixture.frontAddress, headOver(900_000))
  const refused = await plainSockets.exchangeBytes(fixture.frontAddress, headOver(1_000_000))
  assert.equal([served.status, refused.status, target.arrivals.length], [200, 431, 1])
})

suite.run()
