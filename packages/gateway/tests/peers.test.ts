import * as dgram from 'node:dgram'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as gatewayPackage from '@persimmonhatch/gateway'
import type * as routing from '@persimmonhatch/routing'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('peers')

suite('daemons that know one peer advertise all ready ones, and none that is leaving or unresponsive', async () => {
  const fixtures = [await fixtureModule.openFixture(1), await fixtureModule.openFixture(1), await fixtureModule.openFixture(1)]
  const [first, second, third] = fixtures
  if (first === undefined || second === undefined || third === undefined) throw new Error('A fixture is missing.')
  second.gateway.addPeer(first.peerAddress)
  third.gateway.addPeer(first.peerAddress)
  await fixtureModule.until(() => fixtures.every((fixture) => fixture.gateway.addresses().length === 3))
  const stopped = third.gateway.stop()
  await fixtureModule.until(() => !first.gateway.addresses().includes(third.frontAddress))
  await second.close()
  await fixtureModule.until(() => first.gateway.addresses().length <= 2)
  await fixtureModule.until(() => !first.gateway.reachablePeers().includes(second.peerAddress))
  await stopped
  for (const fixture of [first, third]) await fixture.close()
})

suite('a target that a peer reports as leaving gets no new requests', async () => {
  const fixture = await fixtureModule.openFixture(2)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ leavingTargets: [['i-1', 1, 90]] }))
  await fixtureModule.until(() => fixture.gateway.sharedState().targets.some((versioned) => versioned.target?.leaving === true))
  for (let index = 0; index < 6; index += 1) await fixture.call('/read/7')
  assert.equal([...new Set(fixture.arrivals.map((arrival) => arrival.target))], ['i-2'])
  await fixture.close()
})

suite('tokens that a peer has admitted count against the cap', async () => {
  const fixture = await fixtureModule.openFixture(1)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ sequence: 1, usedTokens: { maarif: 0 } }))
  await fixtureModule.until(() => fixture.gateway.reachablePeers().length === 1)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ sequence: 2, usedTokens: { maarif: 50_000 } }))
  await fixtureModule.wait(50)
  assert.is((await fixture.call('/read/7', { headers: { tokens: '10,10' } })).status, 429)
  await fixture.close()
})

suite('a late report does not override a newer one', async () => {
  const fixture = await fixtureModule.openFixture(1)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ sequence: 9, ready: false }))
  await fixtureModule.until(() => fixture.gateway.reachablePeers().length === 1)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ sequence: 8, ready: true }))
  await fixtureModule.wait(50)
  assert.equal(fixture.gateway.addresses(), [fixture.frontAddress])
  await fixture.close()
})

for (const text of ['', 'no JSON', '{"jsonrpc":"2.0","method":"report","params":{}}', '{"jsonrpc":"2.0","method":"report","params":[1]}']) {
  suite(`a datagram ${JSON.stringify(text)} changes nothing`, async () => {
    const fixture = await fixtureModule.openFixture(1)
    await fixtureModule.sendDatagram(fixture.peerAddress, text)
    await fixtureModule.wait(30)
    assert.equal(fixture.gateway.reachablePeers(), [])
    assert.is((await fixture.call('/read/7')).status, 200)
    await fixture.close()
  })
}

suite('requests do not wait for a peer that becomes unresponsive', async () => {
  const fixture = await fixtureModule.openFixture(2)
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ pools: { stock: { targets: { 'i-1': [2, 0], 'i-2': [2, 0] }, waiting: [] } } }))
  await fixtureModule.until(() => fixture.gateway.reachablePeers().length === 1)
  const replies = await Promise.all([...Array(6).keys()].map(() => fixture.call('/read/7')))
  assert.equal(replies.map((reply) => reply.status), [200, 200, 200, 200, 200, 200])
  assert.equal(fixture.gateway.reachablePeers().length, 1, 'the responses came before the timeout of the peer')
  await fixture.close()
})

interface Followed {
  readonly source: fixtureModule.Fixture
  readonly follower: fixtureModule.Fixture
  readonly close: () => Promise<void>
}

/** Opens a daemon with a target, and one without a store that has got document and targets from it. */
async function openFollowed (): Promise<Followed> {
  const source = await fixtureModule.openFixture(1)
  const follower = await fixtureModule.openFixture(0, { ...fixtureModule.DOCUMENT, version: 0, routes: [] })
  const fixtures = [source, follower]
  const syncs = await Promise.all(fixtures.map(({ gateway, peerAddress }) => gatewayPackage.stateSync.openStateSync({ gateway, address: peerAddress })))
  follower.gateway.addPeer(source.peerAddress)
  await fixtureModule.until(() => follower.gateway.isReady() && follower.gateway.sharedState().document?.version === 1)
  return {
    source,
    follower,
    close: async () => {
      for (const sync of syncs) sync.close()
      for (const fixture of fixtures) await fixture.close()
    }
  }
}

suite('a daemon without a store gets document and targets from a peer', async () => {
  const { follower, close } = await openFollowed()
  assert.is((await follower.call('/read/7')).status, 200)
  await close()
})

suite('a request reaches a target through a peer while the own path is lost, and directly once a probe has found it again', async () => {
  const { source, follower, close } = await openFollowed()
  await fixtureModule.until(() => follower.gateway.reachablePeers().length === 1)
  const { paths } = follower.gateway.routes
  paths.recordUnreachable('i-1', undefined, performance.now())
  assert.is((await follower.call('/read/7')).status, 200)
  assert.match(source.gateway.metrics.text(), 'relayed_connections_total{result="carried"} 1')
  await fixtureModule.until(() => !paths.isLost('i-1'))
  assert.is((await follower.call('/read/7')).status, 200)
  assert.match(source.gateway.metrics.text(), 'relayed_connections_total{result="carried"} 1')
  assert.is(source.arrivals.length, 2)
  await close()
})

suite('documents of a peer are adopted although connections to it carry nothing after their first response', async () => {
  const fixture = await fixtureModule.openFixture(1)
  const answered = new WeakSet<net.Socket>()
  let version = 2
  const peer = http.createServer((incoming, response) => {
    if (answered.has(incoming.socket)) return
    answered.add(incoming.socket)
    const state: gatewayPackage.peerMessages.SharedState = { document: { ...fixtureModule.DOCUMENT, version }, targetsPosition: { era: 0, revision: 0 }, targets: [] }
    response.end(JSON.stringify(state))
  })
  await new Promise<void>((resolve) => { peer.listen(0, '127.0.0.1', resolve) })
  const from = `127.0.0.1:${(peer.address() as net.AddressInfo).port}`
  const sync = await gatewayPackage.stateSync.openStateSync({ gateway: fixture.gateway, address: fixture.peerAddress })
  for (let sequence = 1; version <= 4; version += 1) {
    const isAdopted = (): boolean => fixture.gateway.sharedState().document?.version === version
    while (!isAdopted()) {
      await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ from, sequence, documentVersion: version }))
      sequence += 1
      await fixtureModule.wait(20)
    }
  }
  assert.not.match(fixture.gateway.metrics.text(), 'peer_questions_failed_total')
  sync.close()
  peer.closeAllConnections()
  peer.close()
  await fixture.close()
})

suite('a daemon with the same state as its peers queries none of them', async () => {
  const fixtures = [await fixtureModule.openFixture(1), await fixtureModule.openFixture(1)]
  const [first, second] = fixtures
  if (first === undefined || second === undefined) throw new Error('A fixture is missing.')
  const syncs = await Promise.all(fixtures.map((fixture) => gatewayPackage.stateSync.openStateSync({ gateway: fixture.gateway, address: fixture.peerAddress })))
  second.gateway.addPeer(first.peerAddress)
  await fixtureModule.until(() => fixtures.every((fixture) => fixture.gateway.reachablePeers().length === 1))
  await fixtureModule.wait(1_000)
  for (const fixture of fixtures) assert.not.match(fixture.gateway.metrics.text(), 'peer_questions_total')
  for (const sync of syncs) sync.close()
  for (const fixture of fixtures) await fixture.close()
})

const DELIVERED_TO_PEER: readonly (readonly [description: string, own: routing.targetRegistry.Position, delivered: routing.targetRegistry.Position])[] = [
  ['at a later revision', { era: 1, revision: 20 }, { era: 1, revision: 1_000 }],
  ['at a lower revision of a later era', { era: 1, revision: 1_000 }, { era: 2, revision: 20 }]
]

for (const [description, own, delivered] of DELIVERED_TO_PEER) {
  suite(`a target that the store delivers only to a peer, ${description}, is synchronised from it`, async () => {
    const fixtures = [await fixtureModule.openFixture(1), await fixtureModule.openFixture(1)]
    const [source, follower] = fixtures
    if (source === undefined || follower === undefined) throw new Error('A fixture is missing.')
    const target = { id: 'i-9', service: 'stock', address: '127.0.0.1:9', availabilityZone: 'casa-a', version: 'v1', slots: 2, leaving: false }
    const [atStart, moved] = [{ startedMs: 5, sequence: 1 }, { startedMs: 5, sequence: 2 }]
    for (const { gateway } of fixtures) gateway.applyStoreTarget({ id: 'i-9', ...own, report: atStart, target })
    const syncs = await Promise.all(fixtures.map((fixture) => gatewayPackage.stateSync.openStateSync({ gateway: fixture.gateway, address: fixture.peerAddress })))
    follower.gateway.addPeer(source.peerAddress)
    source.gateway.applyStoreTarget({ id: 'i-9', ...delivered, report: moved, target: { ...target, address: '127.0.0.1:10' } })
    await fixtureModule.until(() => follower.gateway.sharedState().targets.some((versioned) => versioned.target?.address === '127.0.0.1:10'))
    assert.equal(follower.gateway.targetsPosition(), delivered)
    for (const sync of syncs) sync.close()
    for (const fixture of fixtures) await fixture.close()
  })
}

suite('a target that a peer reports as leaving since before a restoration gets no new requests', async () => {
  const fixture = await fixtureModule.openFixture(2)
  const leaving = fixture.gateway.sharedState().targets.find((versioned) => versioned.id === 'i-1')
  if (leaving === undefined) throw new Error('The fixture has no target.')
  fixture.gateway.applyStoreTarget({ ...leaving, era: 2, revision: 7, report: { startedMs: 1_764_841_234_567, sequence: 3 } })
  const reported = gatewayPackage.peerMessages.toLeavingTarget({ ...leaving, era: 1, revision: 90, report: { startedMs: 1_764_841_234_567, sequence: 40 } })
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ leavingTargets: [reported] }))
  await fixtureModule.until(() => fixture.gateway.sharedState().targets.some((versioned) => versioned.target?.leaving === true))
  for (let index = 0; index < 6; index += 1) await fixture.call('/read/7')
  assert.equal([...new Set(fixture.arrivals.map((arrival) => arrival.target))], ['i-2'])
  await fixture.close()
})

suite('a peer that asks for the version of a stream gets an answer', async () => {
  const fixture = await fixtureModule.openFixture(1)
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.end('id: 1\ndata: a\n\n')
  })
  await fixture.call('/generate/7', { headers: { 'request-id': 'begun' } })
  const socket = dgram.createSocket('udp4')
  await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  const answers: unknown[] = []
  const from = `127.0.0.1:${socket.address().port}`
  for (const requestId of ['begun', 'unknown']) {
    const received = new Promise<void>((resolve) => {
      socket.once('message', (bytes) => {
        answers.push((JSON.parse(bytes.toString()) as { readonly params: unknown }).params)
        resolve()
      })
    })
    await fixtureModule.sendDatagram(fixture.peerAddress, JSON.stringify({ jsonrpc: '2.0', method: 'find-stream', params: { from, requestId } }))
    await received
  }
  socket.close()
  assert.equal(answers, [
    { from: fixture.peerAddress, requestId: 'begun', beginning: { requestId: 'begun', service: 'stock', version: 'v1' } },
    { from: fixture.peerAddress, requestId: 'unknown' }
  ])
  await fixture.close()
})

suite.run()
