/**
 * Exchanges that are paused while their target, or the peer that carries the connection, sends more or ends.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as relayServer from '../src/relay-server.js'
import * as targetClient from '../src/target-client.js'
import * as fixtureModule from './fixture.js'

/** Time for what the other side has sent to arrive. A machine that takes longer makes the tests milder, not red. */
const ARRIVAL_MS = 100

const FIRST = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const REST = 'id: 3\ndata: c\n\n'

const PLAIN = 'HTTP/1.1 200 OK\r\n\r\n'
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
const CHUNKED_CLOSED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n'
const LAST_CHUNK = '0\r\n\r\n'

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function lengthHead (bytes: number, connection: 'close' | 'keep-alive'): string {
  return `HTTP/1.1 200 OK\r\nconnection: ${connection}\r\ncontent-length: ${bytes}\r\n\r\n`
}

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Rejects with the next error that nothing catches, which would leave an exchange without an end. */
let rejectUncaught = (_: Error): void => {}
process.on('uncaughtException', (error) => { rejectUncaught(error) })

let closeSetup = (): void => {}

type PathKind = 'direct' | 'carried'

const PATHS: readonly PathKind[] = ['direct', 'carried']

interface Setup {
  readonly clients: targetClient.TargetClients
  readonly address: string
  readonly via: string | undefined
  /** Connections of targets, the last one being the newest. */
  readonly targetSockets: readonly net.Socket[]
  /** Connections of the client to the peer. */
  readonly peerSockets: readonly net.Socket[]
  readonly uncaught: Promise<never>
}

async function listen (server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

async function setUp (path: PathKind): Promise<Setup> {
  const targetSockets: net.Socket[] = []
  const peerSockets: net.Socket[] = []
  const target = net.createServer((socket) => { targetSockets.push(socket.on('error', () => {})) })
  const peer = http.createServer().on('connection', (socket) => { peerSockets.push(socket) })
  relayServer.serveRelay(peer, { isPeer: () => true, isTarget: () => true, isClosed: () => false, countResult: () => {} })
  const address = await listen(target)
  const peerAddress = await listen(peer)
  const clients = targetClient.openTargetClients({ connectionLimit: () => 4, countConnection: () => {} })
  const uncaught = new Promise<never>((_resolve, reject) => { rejectUncaught = reject })
  uncaught.catch(() => { /* Raced by the tests. */ })
  closeSetup = () => {
    clients.close().catch((error: unknown) => { throw error })
    for (const socket of [...targetSockets, ...peerSockets]) socket.destroy()
    target.close()
    peer.close()
  }
  return { clients, address, via: path === 'carried' ? peerAddress : undefined, targetSockets, peerSockets, uncaught }
}

interface Sent {
  readonly exchange: targetClient.Exchange
  readonly body: () => string
  /** Ends that were reported so far. */
  readonly ends: readonly string[]
  /** The target's side of the connection, once it has received the request. */
  readonly target: Promise<net.Socket>
}

/** Sends a request whose exchange is paused as soon as it has received `pausedAt`. */
function send (setup: Setup, pausedAt: string, onEnd: (kind: string) => void = () => {}): Sent {
  const { clients, address, via, targetSockets } = setup
  const ends: string[] = []
  const known = targetSockets.map((socket) => ({ socket, bytes: socket.bytesRead }))
  let body = ''
  const end = (kind: string): void => {
    ends.push(kind)
    onEnd(kind)
  }
  const exchange = clients.send({ address, via, method: 'GET', path: '/', headers: [], body: undefined }, {
    sent: () => {},
    head: () => {},
    data: (bytes) => {
      body += bytes.toString()
      if (body === pausedAt) exchange.pause()
    },
    end: () => { end('end') },
    failed: (kind) => { end(kind) }
  })
  const find = (): net.Socket | undefined => targetSockets.find((socket) => {
    socket.resume()
    return socket.bytesRead > (known.find((other) => other.socket === socket)?.bytes ?? 0)
  })
  const target = (async () => {
    await fixtureModule.until(() => find() !== undefined)
    return find() as net.Socket
  })()
  return { exchange, body: () => body, ends, target }
}

/** Waits until something is reported, or an error that nothing catches. */
async function settle (setup: Setup, condition: () => boolean): Promise<void> {
  await Promise.race([fixtureModule.until(condition), setup.uncaught])
}

/** What a target, or the peer, does while the exchange is paused at the end of the first events. */
interface Case {
  readonly what: string
  readonly paths: readonly PathKind[]
  /** Sent before the pause; its body is FIRST. */
  readonly start: string
  readonly act: (target: net.Socket, setup: Setup) => Promise<void> | void
  readonly kind: 'end' | targetClient.FailureKind
  readonly body: string
}

function write (socket: net.Socket, text: string): Promise<void> {
  return new Promise((resolve) => { socket.write(text, () => { resolve() }) })
}

async function writeAndReset (socket: net.Socket, text: string, delayMs: number): Promise<void> {
  await write(socket, text)
  if (delayMs > 0) await wait(delayMs)
  socket.resetAndDestroy()
}

const CASES: readonly Case[] = [
  { what: 'a response without a length ends', paths: PATHS, start: PLAIN + FIRST, act: (target) => { target.end() }, kind: 'end', body: FIRST },
  { what: 'a response without a length ends with unread data', paths: PATHS, start: PLAIN + FIRST, act: (target) => { target.end(REST) }, kind: 'end', body: FIRST + REST },
  { what: 'a response ends before its length', paths: PATHS, start: lengthHead(99, 'close') + FIRST, act: (target) => { target.end() }, kind: 'broken', body: FIRST },
  { what: 'a response on a kept connection ends before its length', paths: PATHS, start: lengthHead(99, 'keep-alive') + FIRST, act: (target) => { target.end() }, kind: 'broken', body: FIRST },
  { what: 'a response ends before its length with unread data', paths: PATHS, start: lengthHead(99, 'close') + FIRST, act: (target) => { target.end(REST) }, kind: 'broken', body: FIRST + REST },
  { what: 'a response ends at its length', paths: PATHS, start: lengthHead(FIRST.length + REST.length, 'close') + FIRST, act: (target) => { target.end(REST) }, kind: 'end', body: FIRST + REST },
  { what: 'a chunked response ends with its last chunk', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => { target.end(LAST_CHUNK) }, kind: 'end', body: FIRST },
  { what: 'a chunked response ends without its last chunk', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => { target.end() }, kind: 'broken', body: FIRST },
  { what: 'a chunked response ends within a chunk', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => { target.end(chunk(REST).slice(0, 5)) }, kind: 'broken', body: FIRST + REST.slice(0, 2) },
  { what: 'a chunked response on a closing connection ends with its last chunk', paths: PATHS, start: CHUNKED_CLOSED + chunk(FIRST), act: (target) => { target.end(chunk(REST) + LAST_CHUNK) }, kind: 'end', body: FIRST + REST },
  { what: 'a chunked response on a closing connection ends without its last chunk', paths: PATHS, start: CHUNKED_CLOSED + chunk(FIRST), act: (target) => { target.end() }, kind: 'broken', body: FIRST },
  { what: 'a response without a length is reset', paths: PATHS, start: PLAIN + FIRST, act: (target) => { target.resetAndDestroy() }, kind: 'broken', body: FIRST },
  { what: 'a response before its length is reset', paths: PATHS, start: lengthHead(99, 'close') + FIRST, act: (target) => { target.resetAndDestroy() }, kind: 'broken', body: FIRST },
  { what: 'a chunked response is reset', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => { target.resetAndDestroy() }, kind: 'broken', body: FIRST },
  { what: 'a response without a length is reset some time after unread data', paths: PATHS, start: PLAIN + FIRST, act: (target) => writeAndReset(target, REST, ARRIVAL_MS), kind: 'broken', body: FIRST + REST },
  { what: 'a response without a length is reset together with unread data', paths: PATHS, start: PLAIN + FIRST, act: (target) => writeAndReset(target, REST, 0), kind: 'broken', body: FIRST + REST },
  { what: 'a chunked response is reset together with its last chunk', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => writeAndReset(target, LAST_CHUNK, 0), kind: 'end', body: FIRST },
  { what: 'a chunk is malformed', paths: PATHS, start: CHUNKED + chunk(FIRST), act: (target) => write(target, `${chunk(REST)}no size\r\n`), kind: 'broken', body: FIRST + REST },
  { what: 'the peer ends its connection in the regular way', paths: ['carried'], start: PLAIN + FIRST, act: (_, { peerSockets }) => { for (const socket of peerSockets) socket.end() }, kind: 'path-lost', body: FIRST },
  { what: 'the peer resets its connection', paths: ['carried'], start: PLAIN + FIRST, act: (_, { peerSockets }) => { for (const socket of peerSockets) socket.resetAndDestroy() }, kind: 'path-lost', body: FIRST },
  {
    what: 'the peer ends its connection after unread data',
    paths: ['carried'],
    start: PLAIN + FIRST,
    act: async (target, { peerSockets }) => {
      await write(target, REST)
      await wait(ARRIVAL_MS)
      for (const socket of peerSockets) socket.end()
    },
    kind: 'path-lost',
    body: FIRST + REST
  }
]

const suite = uvu.suite('paused exchanges')

suite.after.each(() => { closeSetup() })

for (const { what, paths, start, act, kind, body } of CASES) {
  for (const path of paths) {
    suite(`a paused exchange ends once, with all that was received: ${what} (${path})`, async () => {
      const setup = await setUp(path)
      const sent = send(setup, FIRST)
      const target = await sent.target
      target.write(start)
      await settle(setup, () => sent.body() === FIRST)
      await act(target, setup)
      await Promise.race([wait(ARRIVAL_MS), setup.uncaught])
      sent.exchange.resume()
      await settle(setup, () => sent.ends.length > 0)
      sent.exchange.resume()
      await Promise.race([wait(ARRIVAL_MS), setup.uncaught])
      assert.equal({ ends: sent.ends, body: sent.body() }, { ends: [kind], body })
    })
  }
}

for (const path of PATHS) {
  suite(`an abort while the exchange is paused closes the connection and reports nothing (${path})`, async () => {
    const setup = await setUp(path)
    const sent = send(setup, FIRST)
    const target = await sent.target
    target.write(PLAIN + FIRST)
    await settle(setup, () => sent.body() === FIRST)
    target.write(REST)
    await wait(ARRIVAL_MS)
    sent.exchange.abort()
    await settle(setup, () => target.destroyed)
    sent.exchange.resume()
    await wait(ARRIVAL_MS)
    assert.equal({ ends: sent.ends, body: sent.body() }, { ends: [], body: FIRST })
  })

  suite(`an abort after the target has ended while the exchange was paused reports nothing (${path})`, async () => {
    const setup = await setUp(path)
    const sent = send(setup, FIRST)
    const target = await sent.target
    target.write(CHUNKED_CLOSED + chunk(FIRST))
    await settle(setup, () => sent.body() === FIRST)
    target.end(chunk(REST))
    await Promise.race([wait(ARRIVAL_MS), setup.uncaught])
    sent.exchange.abort()
    await settle(setup, () => target.destroyed)
    assert.equal({ ends: sent.ends, body: sent.body() }, { ends: [], body: FIRST })
  })

  suite(`a whole response that is read while the reset of another is reported stays whole (${path})`, async () => {
    const setup = await setUp(path)
    const whole = send(setup, FIRST)
    const wholeTarget = await whole.target
    wholeTarget.write(CHUNKED + chunk(FIRST))
    await settle(setup, () => whole.body() === FIRST)
    wholeTarget.write(LAST_CHUNK)
    await wait(ARRIVAL_MS)
    const reset = send(setup, '', () => { whole.exchange.resume() })
    await writeAndReset(await reset.target, PLAIN + FIRST, 0)
    await settle(setup, () => whole.ends.length > 0)
    assert.equal([whole.ends, reset.ends], [['end'], ['broken']])
  })

  suite(`closing all clients fails a paused exchange once (${path})`, async () => {
    const setup = await setUp(path)
    const sent = send(setup, FIRST)
    const target = await sent.target
    target.write(PLAIN + FIRST)
    await settle(setup, () => sent.body() === FIRST)
    await setup.clients.close()
    await settle(setup, () => sent.ends.length > 0)
    sent.exchange.resume()
    await wait(ARRIVAL_MS)
    assert.equal({ ends: sent.ends, body: sent.body() }, { ends: ['broken'], body: FIRST })
  })

  suite(`a paused exchange whose pool is closed goes on to its end (${path})`, async () => {
    const setup = await setUp(path)
    const sent = send(setup, FIRST)
    const target = await sent.target
    target.write(CHUNKED + chunk(FIRST))
    await settle(setup, () => sent.body() === FIRST)
    setup.clients.retain(new Set(), new Set())
    target.end(chunk(REST) + LAST_CHUNK)
    await wait(ARRIVAL_MS)
    sent.exchange.resume()
    await settle(setup, () => sent.ends.length > 0)
    assert.equal({ ends: sent.ends, body: sent.body() }, { ends: ['end'], body: FIRST + REST })
  })

  suite(`a connection whose exchange was paused at its last data carries the next exchange (${path})`, async () => {
    const setup = await setUp(path)
    for (let index = 0; index < 3; index += 1) {
      const sent = send(setup, FIRST)
      const target = await sent.target
      target.write(CHUNKED + chunk(FIRST) + LAST_CHUNK)
      await settle(setup, () => sent.body() === FIRST)
      await wait(ARRIVAL_MS)
      sent.exchange.resume()
      await settle(setup, () => sent.ends.length > 0)
      sent.exchange.pause()
      assert.equal(sent.ends, ['end'])
      // The client frees a connection only after it has reported the end of the response.
      await new Promise((resolve) => setImmediate(resolve))
    }
    assert.is(setup.targetSockets.length, 1)
  })

  suite(`the target must wait while the exchange is paused, and all of a large response follows (${path})`, async () => {
    const setup = await setUp(path)
    const sent = send(setup, FIRST)
    const target = await sent.target
    const large = 'x'.repeat(64_000_000)
    target.write(PLAIN + FIRST)
    await settle(setup, () => sent.body() === FIRST)
    target.end(large)
    await wait(ARRIVAL_MS * 3)
    assert.ok(sent.body().length < 1_000_000, `${sent.body().length} bytes delivered`)
    assert.ok(target.writableLength > 0, 'the whole response was taken')
    sent.exchange.resume()
    await settle(setup, () => sent.ends.length > 0)
    assert.equal([sent.ends, sent.body().length], [['end'], FIRST.length + large.length])
  })
}

suite.run()
