import * as net from 'node:net'
import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as ws from 'ws'
import * as compression from '../src/peer/compression.js'
import * as peersModule from '../src/peer/peers.js'

const OWN = 'aaaaaaaaaaaaa'
const PEER = 'bbbbbbbbbbbbb'
const OTHER = 'ccccccccccccc'
const ROUND_MESSAGE = { jsonrpc: '2.0', method: 'round', params: { round: 7 } }
const WAIT_TIMEOUT_MS = 5_000

interface Daemon {
  readonly address: string
  readonly peers: peersModule.Peers
  readonly counts: Map<string, number>
  readonly received: ReadonlyArray<readonly [string, protocol.PeerMessage]>
  readonly connected: readonly string[]
  readonly members: Map<string, protocol.MemberUpdate>
}

function member (incarnation: string, address: string): protocol.MemberUpdate {
  return { kind: 'member', incarnation, address, peerAddress: address, availabilityZone: 'z', region: 'r', beat: 1, state: 'alive', load: 0 }
}

function handshakeRequest (incarnation: string, version: number = protocol.PROTOCOL_VERSION): object {
  return { jsonrpc: '2.0', id: 1, method: 'hello', params: { version, member: member(incarnation, '127.0.0.1:1'), wanted: '' } }
}

async function freeAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `127.0.0.1:${port}`
}

async function startDaemon (incarnation: string): Promise<Daemon> {
  const address = await freeAddress()
  const counts = new Map<string, number>()
  const received: (readonly [string, protocol.PeerMessage])[] = []
  const connected: string[] = []
  const members = new Map<string, protocol.MemberUpdate>()
  const peers = await peersModule.openPeers({
    listen: address,
    clock: () => performance.now(),
    encode: compression.compress,
    createHandshake: (expected) => ({ version: protocol.PROTOCOL_VERSION, member: member(incarnation, address), wanted: expected }),
    findMember: (peer) => members.get(peer),
    onMessage: (from, message) => received.push([from, message]),
    onConnected: (connectedMember) => connected.push(connectedMember.incarnation),
    count: (counter, value) => counts.set(counter, (counts.get(counter) ?? 0) + value)
  })
  return { address, peers, counts, received, connected, members }
}

interface Socket {
  readonly send: (payload: unknown) => void
  readonly raw: ws.WebSocket
  readonly replies: readonly string[]
}

async function connect (daemon: Daemon): Promise<Socket> {
  const raw = new ws.WebSocket(`ws://${daemon.address}/`)
  const replies: string[] = []
  raw.on('message', (data) => replies.push(String(data)))
  raw.on('error', () => {})
  await new Promise((resolve) => raw.once('open', resolve))
  return { raw, replies, send: (payload) => raw.send(typeof payload === 'string' ? payload : JSON.stringify(payload)) }
}

async function waitUntil (isTrue: () => boolean): Promise<void> {
  const startMs = performance.now()
  while (!isTrue()) {
    if (performance.now() - startMs > WAIT_TIMEOUT_MS) throw new Error('The condition did not become true in time.')
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

async function connectAndHandshake (daemon: Daemon): Promise<Socket> {
  const socket = await connect(daemon)
  socket.send(handshakeRequest(PEER))
  await waitUntil(() => socket.replies.length === 1)
  return socket
}

let daemon: Daemon
const suite = uvu.suite('peer port')

suite.before.each(async () => { daemon = await startDaemon(OWN) })
suite.after.each(async () => { await daemon.peers.close() })

for (const [name, invalid] of [
  ['malformed JSON', '{"jsonrpc":'],
  ['JSON that is not an object', '[1,2]'],
  ['an object that is not JSON-RPC', { hello: 'there' }],
  ['an unknown notification', { jsonrpc: '2.0', method: 'shutdown', params: {} }],
  ['an unknown method', { jsonrpc: '2.0', id: 4, method: 'shutdown', params: {} }],
  ['a message with a wrong field', { jsonrpc: '2.0', method: 'round', params: { round: 'seven' } }],
  ['a message without parameters', { jsonrpc: '2.0', method: 'grant' }],
  ['a reply without a request', { jsonrpc: '2.0', id: 9, result: {} }],
  ['a handshake sent as a notification', { jsonrpc: '2.0', method: 'hello', params: {} }],
  ['a second handshake with another incarnation', handshakeRequest(OTHER)],
  ['a handshake with this daemon\'s own incarnation', handshakeRequest(OWN)],
  ['a malformed binary frame', Buffer.from([0, 1, 2])]
] as const) {
  suite(`rejects and counts ${name}, and keeps the connection open`, async () => {
    const socket = await connectAndHandshake(daemon)
    if (Buffer.isBuffer(invalid)) socket.raw.send(invalid)
    else socket.send(invalid)
    socket.send(ROUND_MESSAGE)
    await waitUntil(() => daemon.received.length === 1)
    assert.equal(daemon.received, [[PEER, { kind: 'round', round: 7 }]])
    assert.is(daemon.counts.get('peers.rejected'), 1)
    assert.equal(daemon.connected, [PEER])
    socket.raw.terminate()
  })
}

suite('rejects another protocol version with a remedy', async () => {
  const socket = await connect(daemon)
  socket.send(handshakeRequest(PEER, protocol.PROTOCOL_VERSION + 1))
  await waitUntil(() => socket.replies.length === 1)
  assert.match(socket.replies[0] ?? '', /run the same release on both/)
  assert.equal(daemon.connected, [])
  assert.is(daemon.counts.get('peers.rejected'), 1)
  socket.raw.terminate()
})

suite('rejects messages before the handshake and accepts them after it', async () => {
  const socket = await connect(daemon)
  socket.send(ROUND_MESSAGE)
  socket.send(handshakeRequest(PEER))
  socket.send(ROUND_MESSAGE)
  await waitUntil(() => daemon.received.length === 1)
  assert.is(daemon.counts.get('peers.rejected'), 1)
  socket.raw.terminate()
})

suite('replies to a repeated handshake and reports the connection once', async () => {
  const socket = await connectAndHandshake(daemon)
  socket.send(handshakeRequest(PEER))
  await waitUntil(() => socket.replies.length === 2)
  assert.equal(daemon.connected, [PEER])
  socket.raw.terminate()
})

suite('closes only the connection that sent an oversized frame', async () => {
  const offender = await connectAndHandshake(daemon)
  const bystander = await connect(daemon)
  bystander.send(handshakeRequest(OTHER))
  await waitUntil(() => bystander.replies.length === 1)
  offender.send('x'.repeat(5_000_000))
  await waitUntil(() => offender.raw.readyState === ws.WebSocket.CLOSED)
  bystander.send(ROUND_MESSAGE)
  await waitUntil(() => daemon.received.length === 1)
  assert.equal(daemon.received[0]?.[0], OTHER)
  assert.is(daemon.counts.get('peers.errors'), 1)
  bystander.raw.terminate()
})

suite('responds to plain HTTP requests with the address to use', async () => {
  const response = await fetch(`http://${daemon.address}/`)
  assert.is(response.status, 426)
  assert.match(await response.text(), /callers address/)
})

/** A listener that replies to a handshake as OTHER, twice, and also sends a reply without a request. */
async function startNoisyPeer (): Promise<{ readonly address: string, readonly close: () => Promise<void> }> {
  const address = await freeAddress()
  const server = new ws.WebSocketServer({ host: '127.0.0.1', port: Number(address.split(':')[1]) })
  server.on('connection', (socket) => {
    socket.on('error', () => {})
    socket.on('message', (data, isBinary) => {
      const text = isBinary ? compression.decompress(data as Buffer) ?? '' : String(data)
      const { id } = JSON.parse(text) as { readonly id?: number }
      if (id === undefined) return
      const result = { version: protocol.PROTOCOL_VERSION, member: member(OTHER, address), wanted: '' }
      for (const replyId of [id + 5, id, id]) socket.send(JSON.stringify({ jsonrpc: '2.0', id: replyId, result }))
    })
  })
  await new Promise((resolve) => server.once('listening', resolve))
  return { address, close: async () => { for (const socket of server.clients) socket.terminate(); await new Promise((resolve) => server.close(resolve)) } }
}

suite('accepts the reply to its handshake once and rejects all other replies', async () => {
  const peer = await startNoisyPeer()
  daemon.members.set(OTHER, member(OTHER, peer.address))
  daemon.peers.send({ to: OTHER, message: { kind: 'round', round: 1 } })
  await waitUntil(() => daemon.counts.get('peers.rejected') === 2)
  assert.equal(daemon.connected, [OTHER])
  await peer.close()
})

suite('reports a new incarnation at a dead daemon\'s address and does not deliver the dead daemon\'s messages to it', async () => {
  const successor = await startDaemon(OTHER)
  daemon.members.set(PEER, member(PEER, successor.address))
  daemon.peers.send({ to: PEER, message: { kind: 'round', round: 1 } })
  await waitUntil(() => daemon.counts.get('peers.undelivered') === 1)
  assert.equal(daemon.connected, [OTHER])
  assert.is(daemon.counts.get('peers.foreign'), 1)
  daemon.members.set(OTHER, member(OTHER, successor.address))
  daemon.peers.send({ to: OTHER, message: { kind: 'round', round: 2 } })
  await waitUntil(() => successor.received.length === 1)
  assert.equal(successor.received, [[OWN, { kind: 'round', round: 2 }]])
  await successor.peers.close()
})

suite.run()
