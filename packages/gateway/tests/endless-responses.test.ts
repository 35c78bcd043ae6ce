/**
 * Targets that send bytes without end, and responses that end with their connection.
 */
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 60_000

/** Bytes that a target may send before the gateway closes the connection. */
const MAX_SENT_BYTES = 64_000_000

const FILLER = 'x'.repeat(65_536)
const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: r-ID\r\nproof: p\r\n'
const STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n`

const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, attempts: 1, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TIMEOUT_MS })) }

interface RawTarget {
  readonly sentBytes: () => number
  readonly closed: Promise<void>
}

let fixture: fixtureModule.Fixture
let servers: readonly net.Server[] = []
const suite = uvu.suite('endless responses')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(0, DOCUMENT) })
suite.after.each(async () => {
  await fixture.close()
  for (const server of servers) server.close()
  servers = []
})

/** Registers a target that writes `start` to the first request, then `repeated` until the connection is closed, or ends it. */
async function openRawTarget (start: string, repeated: string | undefined): Promise<RawTarget> {
  let sentBytes = 0
  let settle = (): void => {}
  const closed = new Promise<void>((resolve) => { settle = resolve })
  const server = net.createServer((socket) => {
    const sendMore = (): void => {
      if (repeated === undefined) {
        socket.end()
        return
      }
      while (!socket.destroyed && sentBytes < 2 * MAX_SENT_BYTES) {
        sentBytes += repeated.length
        if (!socket.write(repeated)) return
      }
    }
    socket.on('error', () => {}).on('close', () => settle()).on('drain', sendMore)
    socket.once('data', (request) => {
      const id = /request-id: (r-\d+)/i.exec(request.toString('latin1'))?.[1] ?? ''
      socket.write(start.replace('r-ID', id), sendMore)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  servers = [...servers, server]
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 1, target: { id: 'i-1', service: 'stock', address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  return { sentBytes: () => sentBytes, closed }
}

const ENDLESS: readonly (readonly [description: string, start: string, repeated: string])[] = [
  ['a header', `${HEAD}long: `, FILLER],
  ['headers', HEAD, `${'h: v\r\n'.repeat(1_000)}`],
  ['a reason phrase', 'HTTP/1.1 200 ', FILLER],
  ['bytes that are no response', '', FILLER],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(1_000)],
  ['a chunk size', `${HEAD}transfer-encoding: chunked\r\n\r\n5;`, FILLER],
  ['trailers', `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`, `${'t: v\r\n'.repeat(1_000)}`],
  ['a body without a length', `${HEAD}\r\n`, FILLER],
  ['a body in chunks', `${HEAD}transfer-encoding: chunked\r\n\r\n`, `10000\r\n${FILLER}\r\n`],
  ['a body of a failure', 'HTTP/1.1 500 Failed\r\nrequest-id: r-ID\r\nproof: p\r\n\r\n', FILLER],
  ['an event', `${STREAM_HEAD}\r\nid: 1\ndata: `, FILLER]
]

for (const [description, start, repeated] of ENDLESS) {
  suite(`a target that sends ${description} without end is given up long before the time limit`, async () => {
    const target = await openRawTarget(start, repeated)
    const reply = await fixture.call('/answer/7', { method: 'POST', body: 'text', headers: { 'remaining-ms': String(LONG_TIMEOUT_MS) } })
    assert.ok(reply.status === 502 || !reply.isComplete, `status ${reply.status}`)
    await target.closed
    assert.ok(target.sentBytes() < MAX_SENT_BYTES, `${target.sentBytes()} bytes`)
  })
}

const ENDED: readonly (readonly [description: string, response: string, status: number, isComplete: boolean])[] = [
  ['a response without a length ends with its connection', `${HEAD}\r\nwhole`, 200, true],
  ['a stream without a length ends with its connection', `${STREAM_HEAD}\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n`, 200, true],
  ['a stream that ends within an event is broken off', `${STREAM_HEAD}\r\nid: 1\ndata: a\n\nid: 2\nda`, 200, false],
  ['a stream that ends after an event\'s first line end is broken off', `${STREAM_HEAD}\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n`, 200, false],
  ['a response that ends within its length is broken off', `${HEAD}content-length: 9\r\n\r\nwhole`, 502, true],
  ['a response that ends within a chunk is broken off', `${HEAD}transfer-encoding: chunked\r\n\r\n9\r\nwhole`, 502, true]
]

for (const [description, response, status, isComplete] of ENDED) {
  suite(description, async () => {
    await openRawTarget(response, undefined)
    const reply = await fixture.call('/answer/7', { method: 'POST', body: 'text' })
    assert.equal([reply.status, reply.isComplete], [status, isComplete])
  })
}

suite.run()
