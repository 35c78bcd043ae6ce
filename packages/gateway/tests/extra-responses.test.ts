/**
 * Targets that send more than the response of a request on a connection that is kept.
 */
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

/** Time for bytes that no request waits for to arrive, ms. */
const ARRIVAL_MS = 50

const EVENTS = 'id: 1\ndata: own\n\nid: 2\ndata: own\n\n'

let fixture: fixtureModule.Fixture
let servers: readonly net.Server[] = []
const suite = uvu.suite('extra responses')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(0) })
suite.after.each(async () => {
  await fixture.close()
  for (const server of servers) server.close()
  servers = []
})

function streamOf (requestId: string | undefined, events: string): string {
  const chunk = `${events.length.toString(16)}\r\n${events}\r\n`
  return `HTTP/1.1 200 OK\r\n${requestId === undefined ? '' : `request-id: ${requestId}\r\n`}proof: p\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`
}

/** What a target sends to its requests, by their number. */
type Respond = (requestId: string, count: number, socket: net.Socket) => void

interface RawTarget {
  readonly requests: () => number
}

async function openRawTarget (id: string, respond: Respond): Promise<RawTarget> {
  let requests = 0
  const server = net.createServer((socket) => {
    socket.on('error', () => {}).on('data', (bytes) => {
      for (const [, requestId = ''] of bytes.toString('latin1').matchAll(/^request-id: (\S+)\r$/gim)) {
        requests += 1
        respond(requestId, requests, socket)
      }
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  servers = [...servers, server]
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  fixture.gateway.applyTarget({ id, era: 1, revision: 1, target: { id, service: 'stock', address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  return { requests: () => requests }
}

const FOREIGN = 'id: 1\ndata: foreign\n\nid: 2\ndata: foreign\n\nid: 3\ndata: foreign\n\n'

const EXTRAS: readonly (readonly [what: string, bytesOf: (requestId: string) => string])[] = [
  ['bytes that are no response', () => 'id: 3\ndata: foreign\n\n'],
  ['a stream with the id of the request', (requestId) => streamOf(requestId, FOREIGN)],
  ['a stream with another id', () => streamOf('r-other', FOREIGN)],
  ['a stream without an id', () => streamOf(undefined, FOREIGN)]
]

for (const path of ['/generate/7', '/answer/7']) {
  for (const [what, bytesOf] of EXTRAS) {
    for (const delayMs of [0, ARRIVAL_MS]) {
      suite(`${what}, ${delayMs} ms behind a complete stream, reaches no caller of ${path}`, async () => {
        await openRawTarget('i-1', (requestId, count, socket) => {
          const extra = count === 1 ? bytesOf(requestId) : ''
          socket.write(streamOf(requestId, EVENTS) + (delayMs === 0 ? extra : ''))
          if (delayMs > 0) setTimeout(() => { socket.write(extra) }, delayMs)
        })
        for (let call = 0; call < 3; call += 1) {
          const reply = await fixture.call(path, { method: 'POST' })
          assert.equal([reply.status, reply.isComplete, reply.body], [200, true, EVENTS])
          await fixtureModule.wait(2 * ARRIVAL_MS)
        }
      })
    }
  }
}

for (const [what, requestId] of [['the id of the request before', 'r-before'], ['no id', undefined]] as const) {
  suite(`a stream with ${what} in the place of the next response does not reach the next caller`, async () => {
    const target = await openRawTarget('i-1', (own, count, socket) => {
      socket.write(count === 1 ? streamOf(own, EVENTS) : streamOf(requestId, FOREIGN) + streamOf(own, EVENTS))
    })
    await fixture.call('/answer/7', { method: 'POST', headers: { 'request-id': 'r-before' } })
    const reply = await fixture.call('/answer/7', { method: 'POST' })
    assert.equal([reply.status, reply.body.includes('foreign'), target.requests()], [502, false, 2])
  })

  suite(`a resumable stream is taken from another target if one with ${what} comes in its place`, async () => {
    const respond = (own: string, socket: net.Socket, isForeign: boolean): void => { socket.write(isForeign ? streamOf(requestId, FOREIGN) + streamOf(own, EVENTS) : streamOf(own, EVENTS)) }
    let received = 0
    for (const id of ['i-1', 'i-2']) {
      await openRawTarget(id, (own, _, socket) => {
        received += 1
        respond(own, socket, received === 2)
      })
    }
    await fixture.call('/generate/7', { method: 'POST', headers: { 'request-id': 'r-before' } })
    const reply = await fixture.call('/generate/7', { method: 'POST' })
    assert.equal([reply.status, reply.isComplete, reply.body, received], [200, true, EVENTS, 3])
  })
}

suite('a stream that is resumed at a target goes to it on a new connection, where nothing of the first answer can arrive', async () => {
  const sockets = new Set<net.Socket>()
  for (const id of ['i-1', 'i-2']) {
    await openRawTarget(id, (own, _, socket) => {
      sockets.add(socket)
      socket.write(sockets.size === 1 ? streamOf(own, `${EVENTS}id: 2\ndata: own\n\n`) + streamOf(own, FOREIGN) : streamOf(own, 'id: 3\ndata: own\n\n'))
    })
  }
  const reply = await fixture.call('/generate/7', { method: 'POST' })
  assert.equal([reply.isComplete, reply.body], [true, `${EVENTS}id: 3\ndata: own\n\n`])
  await fixtureModule.wait(ARRIVAL_MS)
  assert.equal([...sockets].map((socket) => socket.destroyed), [true, false])
})

suite.run()
