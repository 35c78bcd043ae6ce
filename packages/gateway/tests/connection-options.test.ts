/**
 * Connection headers that name headers of the whole exchange.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'
import * as plainSockets from './plain-sockets.js'

let fixture: fixtureModule.Fixture
let target: plainSockets.Target
const suite = uvu.suite('connection options')

suite.before.each(async () => {
  fixture = await fixtureModule.openFixture(0)
  target = await plainSockets.openTarget(() => ['200 OK', [['Connection', 'proof, Request-Id, content-type, own'], ['request-id', 'r-1'], ['proof', 'p'], ['Content-Type', 'text/plain'], ['Own', '1']], 'ran'])
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 1, target: { id: 'i-1', service: 'stock', address: target.address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
})
suite.after.each(async () => {
  await fixture.close()
  target.close()
})

async function exchange (): Promise<plainSockets.Received> {
  const lines = [['Host', 'shop.example'], ['Connection', 'Request-Id, model, HOST'], ['Connection', 'content-length, Own'], ['Key', 'k-1'], ['Request-Id', 'r-1'], ['Model', 'm'], ['Own', '1'], ['Content-Length', '4']] as const
  return await plainSockets.exchangeBytes(fixture.frontAddress, `${plainSockets.headOf('POST /write/7 HTTP/1.1', lines)}body`)
}

// Guards against a request that arrives without its id, so that its target refuses it and the response belongs to no request.
suite('a request keeps its id, its model, its host and its body if the connection header names them', async () => {
  await exchange()
  const [arrival] = target.arrivals
  assert.equal(['request-id', 'model', 'host', 'own'].map((name) => plainSockets.valueOf(arrival?.lines ?? [], name)), ['r-1', 'm', 'shop.example', undefined])
  assert.is(arrival?.body, 'body')
})

// Guards against a success that reaches its caller without the proof of its target.
suite('a response keeps its proof, its id and its media type if the connection header names them', async () => {
  const { status, lines } = await exchange()
  assert.equal([status, ...['proof', 'request-id', 'content-type', 'own'].map((name) => plainSockets.valueOf(lines, name))], [200, 'p', 'r-1', 'text/plain', undefined])
})

suite.run()
