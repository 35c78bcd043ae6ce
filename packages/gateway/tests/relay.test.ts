/**
 * Connections to targets that a peer carries, over loopback.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as relayServer from '../src/relay-server.js'
import * as targetClient from '../src/target-client.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('relay')

interface Setup {
  readonly address: string
  readonly via: string
  readonly targetSockets: readonly net.Socket[]
  /** Connections of the client to the relay. */
  readonly relaySockets: readonly net.Socket[]
  readonly relay: relayServer.Relay
  readonly results: readonly string[]
  readonly clients: targetClient.TargetClients
  readonly close: () => void
}

type Respond = (incoming: http.IncomingMessage, response: http.ServerResponse) => void

async function listen (server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

async function setUp (respond: Respond, decisions: Partial<relayServer.Options> = {}): Promise<Setup> {
  const targetSockets: net.Socket[] = []
  const relaySockets: net.Socket[] = []
  const results: string[] = []
  const target = http.createServer(respond).on('connection', (socket) => { targetSockets.push(socket) })
  const relayHttp = http.createServer().on('connection', (socket) => { relaySockets.push(socket) })
  const relay = relayServer.serveRelay(relayHttp, { isPeer: () => true, isTarget: () => true, isClosed: () => false, countResult: (result) => { results.push(result) }, ...decisions })
  const address = await listen(target)
  const via = await listen(relayHttp)
  const clients = targetClient.openTargetClients({ connectionLimit: () => 4, countConnection: () => {} })
  return {
    address,
    via,
    targetSockets,
    relaySockets,
    relay,
    results,
    clients,
    close: () => {
      for (const server of [target, relayHttp]) {
        server.closeAllConnections()
        server.close()
      }
      clients.close().catch((error: unknown) => { throw error })
    }
  }
}

interface Ended { readonly kind: 'end' | targetClient.FailureKind, readonly status: number, readonly body: string }

interface Sent {
  readonly exchange: targetClient.Exchange
  readonly ended: Promise<Ended>
  readonly body: () => string
}

function send ({ clients, address, via }: Setup, path = '/'): Sent {
  let status = 0
  let body = ''
  let exchange: targetClient.Exchange | undefined
  const ended = new Promise<Ended>((resolve) => {
    exchange = clients.send({ address, via, method: 'POST', path, headers: [], body: Buffer.from('question') }, {
      sent: () => {},
      head: (head) => { status = head.status },
      data: (chunk) => { body += chunk.toString() },
      end: () => { resolve({ kind: 'end', status, body }) },
      failed: (kind) => { resolve({ kind, status, body }) }
    })
  })
  if (exchange === undefined) throw new Error('The request was not sent.')
  return { exchange, ended, body: () => body }
}

suite('a request and its response pass unchanged, and the connection is kept for the next', async () => {
  const setup = await setUp((incoming, response) => {
    incoming.on('data', (chunk: Buffer) => { response.write(chunk) }).on('end', () => { response.end(' and answer') })
  })
  for (let index = 0; index < 3; index += 1) {
    assert.equal(await send(setup).ended, { kind: 'end', status: 200, body: 'question and answer' })
    // The client frees a connection only after it has reported the end of the response.
    await new Promise((resolve) => setImmediate(resolve))
  }
  assert.is(setup.targetSockets.length, 1)
  assert.equal(setup.results, ['carried'])
  setup.close()
})

suite('parts of a stream arrive while the target is still sending', async () => {
  let finish = (): void => {}
  const setup = await setUp((_, response) => {
    response.write('first')
    finish = () => { response.end('last') }
  })
  const sent = send(setup)
  await fixtureModule.until(() => sent.body() === 'first')
  finish()
  assert.is((await sent.ended).body, 'firstlast')
  setup.close()
})

suite('the connection to the target closes when the exchange is aborted', async () => {
  const setup = await setUp((_, response) => { response.write('first') })
  const sent = send(setup)
  await fixtureModule.until(() => sent.body() === 'first')
  sent.exchange.abort()
  await fixtureModule.until(() => setup.targetSockets.every((socket) => socket.destroyed))
  setup.close()
})

suite('a response without a length that is reset does not look complete', async () => {
  const setup = await setUp((incoming) => {
    incoming.socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => { incoming.socket.resetAndDestroy() })
  })
  assert.is((await send(setup).ended).kind, 'broken')
  setup.close()
})

suite('a response without a length that ends with its connection is complete', async () => {
  const setup = await setUp((incoming) => { incoming.socket.end('HTTP/1.1 200 OK\r\n\r\nwhole') })
  assert.equal(await send(setup).ended, { kind: 'end', status: 200, body: 'whole' })
  setup.close()
})

/** How a peer ends while it carries an answer. */
const PEER_ENDS: readonly (readonly [how: string, end: (setup: Setup) => void])[] = [
  ['its process is killed or exits, which closes its connections in the regular way', ({ relaySockets }) => { for (const socket of relaySockets) socket.end() }],
  ['its connections are reset', ({ relaySockets }) => { for (const socket of relaySockets) socket.resetAndDestroy() }],
  ['its stop closes the relay', ({ relay }) => { relay.close() }]
]

/** Heads of answers whose end is that of the connection. */
const HEADS_WITHOUT_LENGTH: readonly (readonly [what: string, head: string])[] = [
  ['a plain answer', 'HTTP/1.1 200 OK\r\n\r\n'],
  ['a stream', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'],
  ['an answer that closes its connection', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n']
]

// The end of the peer that carries a connection was taken for the end of the answer (review/1).
for (const [how, end] of PEER_ENDS) {
  for (const [what, head] of HEADS_WITHOUT_LENGTH) {
    suite(`${what} without a length that is cut with its peer does not look complete: ${how}`, async () => {
      const setup = await setUp((incoming) => { incoming.socket.write(`${head}part`) })
      const sent = send(setup)
      await fixtureModule.until(() => sent.body() === 'part')
      end(setup)
      assert.is((await sent.ended).kind, 'path-lost')
      await fixtureModule.until(() => setup.targetSockets.every((socket) => socket.destroyed))
      setup.close()
    })
  }
}

suite('an answer without a length that is larger than all buffers passes whole', async () => {
  const setup = await setUp((incoming) => { incoming.socket.end(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(5_000_000)}`) })
  const { kind, body } = await send(setup).ended
  assert.equal([kind, body.length], ['end', 5_000_000])
  setup.close()
})

suite('a relay counts the connections that it carries until they end', async () => {
  const setup = await setUp((incoming) => { incoming.socket.write('HTTP/1.1 200 OK\r\n\r\npart') })
  const sent = send(setup)
  await fixtureModule.until(() => sent.body() === 'part')
  assert.is(setup.relay.open(), 1)
  for (const socket of setup.targetSockets) socket.end()
  assert.is((await sent.ended).kind, 'end')
  await fixtureModule.until(() => setup.relay.open() === 0)
  setup.close()
})

/** Builds of either side that know no frames; what they exchange is what the headers of both leave out. */
async function startPlainRelay (address: string): Promise<{ readonly via: string, readonly server: net.Server }> {
  const [host = '', port = ''] = address.split(':')
  const server = http.createServer().on('connect', (_, peer: net.Socket) => {
    const target = net.connect(Number(port), host, () => { peer.write('HTTP/1.1 200 Connection Established\r\n\r\n') })
    peer.on('error', () => { target.destroy() }).pipe(target).on('error', () => { peer.destroy() }).pipe(peer)
  })
  return { via: await listen(server), server }
}

/** Answers through a peer of a build without frames, which can't say that a target has ended its connection. */
const PLAIN_RELAY: readonly (readonly [what: string, response: string, kind: Ended['kind']])[] = [
  ['an answer with a length is complete', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', 'end'],
  ['an answer in chunks is complete', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', 'end'],
  ['an answer without a length never looks complete', 'HTTP/1.1 200 OK\r\n\r\nwhole', 'broken']
]

for (const [what, response, kind] of PLAIN_RELAY) {
  suite(`through a peer that sends no frames, ${what}`, async () => {
    const setup = await setUp((incoming) => { incoming.socket.end(response) })
    const plain = await startPlainRelay(setup.address)
    assert.equal(await send({ ...setup, via: plain.via }).ended, { kind, status: 200, body: 'whole' })
    plain.server.close()
    setup.close()
  })
}

suite('a client that asks for no frames gets the bytes of the target, and a reset when the relay closes', async () => {
  const setup = await setUp((incoming) => { incoming.socket.write('HTTP/1.1 200 OK\r\n\r\npart') })
  const [host = '', port = ''] = setup.via.split(':')
  const outcome = await new Promise<string>((resolve) => {
    http.request({ host, port, method: 'CONNECT', path: setup.address, agent: false }).on('connect', (_, socket) => {
      let received = ''
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString()
        if (received.endsWith('part')) setup.relay.close()
      })
      socket.on('error', (error: NodeJS.ErrnoException) => { resolve(`${received} ${error.code}`) })
      socket.on('end', () => { resolve(`${received} ended`) })
      socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    }).end()
  })
  assert.is(outcome, 'HTTP/1.1 200 OK\r\n\r\npart ECONNRESET')
  setup.close()
})

suite('a peer that ends after the request was sent leaves open whether it has run', async () => {
  let relayed: net.Socket | undefined
  const setup = await setUp(() => { relayed?.destroy() })
  const proxy = net.createServer((socket) => {
    relayed = socket
    const [host = '', port = ''] = setup.via.split(':')
    const onward = net.connect(Number(port), host)
    socket.on('error', () => { onward.destroy() }).on('close', () => { onward.destroy() }).pipe(onward).on('error', () => { socket.destroy() }).pipe(socket)
  })
  const via = await listen(proxy)
  assert.is((await send({ ...setup, via }).ended).kind, 'path-lost')
  proxy.close()
  setup.close()
})

const REFUSED: readonly (readonly [description: string, decisions: Partial<relayServer.Options>])[] = [
  ['a host that is no peer', { isPeer: () => false }],
  ['an address that is no target', { isTarget: () => false }],
  ['a target that is closed at the peer', { isClosed: () => true }]
]

for (const [description, decisions] of REFUSED) {
  suite(`nothing is sent and the target gets no connection: ${description}`, async () => {
    const setup = await setUp(() => {}, decisions)
    assert.is((await send(setup).ended).kind, 'unreachable')
    assert.equal([setup.targetSockets.length, setup.results], [0, ['refused']])
    setup.close()
  })
}

/** Which end is down, and what the relay counts. */
const DOWN: readonly (readonly [end: 'address' | 'via', results: readonly string[]])[] = [['address', ['unreachable']], ['via', []]]

for (const [end, results] of DOWN) {
  suite(`nothing is sent when the ${end === 'via' ? 'peer' : 'target'} is down`, async () => {
    const setup = await setUp(() => {})
    const gone = net.createServer()
    const address = await listen(gone)
    await new Promise((resolve) => { gone.close(resolve) })
    assert.is((await send({ ...setup, [end]: address }).ended).kind, 'unreachable')
    assert.equal([setup.targetSockets.length, setup.results], [0, results])
    setup.close()
  })
}

suite.run()
