/**
 * Values in the state of the fleet that make a later step fail: they affect what they concern, and nothing else.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as stream from 'node:stream'
import * as gateway from '@persimmonhatch/gateway'
import * as fastCheck from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as eventLog from '../src/event-log.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('unusable state')

const SEED = 36
const REQUESTS = 12
const TARGET = { id: 'i-9', service: 'stock', address: '127.0.0.1:9', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false }

/** Fields of a target that no request can be sent to. */
const UNUSABLE: readonly (readonly [what: string, fields: object])[] = [
  ['a port above the largest', { address: '127.0.0.1:99999' }],
  ['no port', { address: '127.0.0.1' }],
  ['a part of an address above 255', { address: '127.0.0.999:80' }],
  ['an address that is no text', { address: 7 }],
  ['an id that no header can hold', { id: 'i-9\r\nx: y' }],
  ['an id outside of Latin-1', { id: 'i-\u2603' }]
]

// An entry with port 99999 ended every daemon at the first request that was placed on it (review/2).
for (const [what, fields] of UNUSABLE) {
  suite(`requests are served by the others when a target has ${what}`, async () => {
    const fixture = await fixtureModule.openFixture(1)
    const target = { ...TARGET, ...fields }
    fixture.gateway.applyTarget({ id: target.id, era: 1, revision: 9, target }, 'test')
    const replies = await Promise.all(Array.from({ length: REQUESTS }, () => fixture.call('/read/7')))
    assert.equal(replies.filter(({ status }) => status !== 200), [])
    assert.is(gateway.stateChecks.isTarget(target), false)
    await fixture.close()
  })
}

suite('a target whose id is a name of JavaScript is used like any other', async () => {
  for (const id of ['constructor', '__proto__', 'toString']) {
    const fixture = await fixtureModule.openFixture(1)
    fixture.gateway.applyTarget({ id, era: 1, revision: 9, target: { ...TARGET, id } }, 'test')
    await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ pools: { stock: { targets: {}, waiting: [] } } }))
    await fixtureModule.wait(50)
    const replies = await Promise.all(Array.from({ length: REQUESTS }, () => fixture.call('/read/7')))
    assert.equal([id, ...replies.filter(({ status }) => status !== 200)], [id])
    await fixture.close()
  }
})

suite('an unexpected error ends the request that it concerns, as not run, and no other', async () => {
  let fails = false
  const headerNames: gateway.headerNames.HeaderNames = {
    ...fixtureModule.HEADER_NAMES,
    get expectedTarget () {
      if (fails) throw new Error('a fault of the test')
      return 'expected-target'
    }
  }
  const fixture = await fixtureModule.openFixture(2, fixtureModule.DOCUMENT, headerNames)
  fails = true
  const reply = await fixture.call('/write/7', { method: 'POST' })
  assert.equal([reply.status, reply.isComplete, fixture.arrivals.length], [503, true, 0])
  fails = false
  assert.is((await fixture.call('/write/7', { method: 'POST' })).status, 200)
  assert.match(fixture.gateway.metrics.text(), /unexpected_errors_total\S* 1\b/)
  await fixture.close()
})

suite('an unexpected error in the admission of a request refuses it, and no other', async () => {
  const [route, ...routes] = fixtureModule.DOCUMENT.routes
  if (route === undefined) throw new Error('The document has no route.')
  const fixture = await fixtureModule.openFixture(1, { ...fixtureModule.DOCUMENT, routes: [{ ...route, shares: 7 as unknown as [] }, ...routes.filter(({ resumable }) => !resumable)] })
  assert.is((await fixture.call('/read/7')).status, 503)
  assert.is((await fixture.call('/write/7', { method: 'POST' })).status, 200)
  await fixture.close()
})

const ANYTHING = fastCheck.oneof(fastCheck.jsonValue(), fastCheck.constantFrom(null, -1, 1e308, 99999, '127.0.0.1:99999', [null], { routes: [null] }))

suite('state of any content from a peer is read as far as it can be used', () => {
  fastCheck.assert(fastCheck.property(ANYTHING, ANYTHING, fastCheck.array(ANYTHING), (message, document, targets) => {
    for (const state of [message, { document, targetsPosition: { era: 1, revision: 1 }, targets }]) gateway.stateChecks.parseSharedState(state)
  }), { seed: SEED })
  const good = { id: 'i-9', era: 1, revision: 9, target: TARGET }
  const state = gateway.stateChecks.parseSharedState({ document: { version: 1 }, targetsPosition: { era: 1, revision: 9 }, targets: [null, { ...good, target: { ...TARGET, address: '127.0.0.1:99999' } }, good] })
  assert.equal([state?.document, state?.targets], [undefined, [good]])
  const whole = JSON.parse(JSON.stringify({ document: fixtureModule.DOCUMENT, targetsPosition: { era: 1, revision: 9 }, targets: [] })) as unknown
  assert.is(gateway.stateChecks.parseSharedState(whole)?.document?.routes.length, fixtureModule.DOCUMENT.routes.length)
})

suite('a peer whose state is malformed changes nothing, and leaves the daemon serving', async () => {
  const peer = http.createServer((_, response) => { response.end('{"targetsPosition":{"era":1,"revision":99},"targets":[{"id":"i-1","era":9,"revision":9,"target":{"address":7}}],"document":{"version":9,"routes":[null]}}') })
  await new Promise<void>((resolve) => { peer.listen(0, '127.0.0.1', resolve) })
  const from = `127.0.0.1:${(peer.address() as net.AddressInfo).port}`
  const fixture = await fixtureModule.openFixture(1)
  const sync = await gateway.stateSync.openStateSync({ gateway: fixture.gateway, address: '127.0.0.1:0' })
  const asked = new Promise((resolve) => { peer.once('request', resolve) })
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ from, documentVersion: 9 }))
  await asked
  await fixtureModule.wait(100)
  assert.is((await fixture.call('/read/7')).status, 200)
  sync.close()
  peer.closeAllConnections()
  peer.close()
  await fixture.close()
})

suite('an endpoint that is no address is not added as a peer', async () => {
  const fixture = await fixtureModule.openFixture(1)
  for (const address of ['10.1.0.25:99999', 'front-1:7600', '', '10.1.0.256:80']) fixture.gateway.addPeer(address)
  await fixtureModule.wait(100)
  assert.is((await fixture.call('/read/7')).status, 200)
  assert.equal(fixture.gateway.addresses(), [fixture.frontAddress])
  await fixture.close()
})

suite('a log whose reader is gone is dropped and counted', async () => {
  const output = new stream.Writable({ write: (_, __, done) => { done(new Error('EPIPE')) } })
  let dropped = 0
  const log = eventLog.openEventLog({ fields: {}, now: () => 0, output, countDropped: (lines) => { dropped += lines } })
  log.change('stopped')
  await fixtureModule.wait(10)
  log.change('stopped')
  assert.ok(dropped > 0)
})

suite.run()
