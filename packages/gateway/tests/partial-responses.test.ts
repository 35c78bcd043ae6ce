/**
 * Targets that break off a response that has no length, or send one that is none: no caller may take a part for the whole.
 */
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

const MAX_BODY_BYTES = 8_388_608

const DOCUMENT = { ...fixtureModule.DOCUMENT, limits: { ...fixtureModule.DOCUMENT.limits, bodyBytes: MAX_BODY_BYTES } }

/** Occurs in no refusal of the gateway. */
const PART_BYTE = '#'

/** What a target does with the request behind its head while it responds. */
type Reading = 'reads on' | 'stops reading'

interface Break {
  readonly uploadBytes: number
  readonly partBytes: number
  /** Time from the head of the request to the reset, ms. */
  readonly afterMs: number
  readonly reading: Reading
}

let fixture: fixtureModule.Fixture
let servers: readonly net.Server[] = []
const suite = uvu.suite('partial responses')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(0, DOCUMENT) })
suite.after.each(async () => {
  await fixture.close()
  for (const server of servers) server.close()
  servers = []
})

/** Registers a target that responds as soon as the head of a request arrives, and returns how many requests it got. */
async function openRawTarget (respond: (socket: net.Socket, requestId: string) => void): Promise<() => number> {
  let requests = 0
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (bytes) => {
      requests += 1
      respond(socket, /request-id: (r-\d+)/i.exec(bytes.toString('latin1'))?.[1] ?? '')
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  servers = [...servers, server]
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 1, target: { id: 'i-1', service: 'stock', address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  return () => requests
}

function openBreakingTarget ({ partBytes, afterMs, reading }: Break): Promise<() => number> {
  return openRawTarget((socket, requestId) => {
    if (reading === 'stops reading') socket.pause()
    else socket.resume()
    socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nproof: p\r\ncontent-type: text/plain\r\n\r\n${PART_BYTE.repeat(partBytes)}`, () => {
      setTimeout(() => { socket.resetAndDestroy() }, afterMs)
    })
  })
}

const BREAKS: readonly Break[] = [0, 2_000, 300_000, 6_000_000].flatMap((uploadBytes) => [0, 4, 70_000].flatMap((partBytes) => [0, 2, 40].flatMap((afterMs) => (['reads on', 'stops reading'] as const).map((reading) => ({ uploadBytes, partBytes, afterMs, reading })))))

// A write that meets the reset takes the error of the socket, and reading from it then ends in the regular way.
for (const broken of BREAKS) {
  const { uploadBytes, partBytes, afterMs, reading } = broken
  suite(`${partBytes} bytes without a length, reset ${afterMs} ms after an upload of ${uploadBytes} began, are not a whole response: the target ${reading}`, async () => {
    const requests = await openBreakingTarget(broken)
    const reply = await fixture.call('/write/7', { method: 'POST', body: 'u'.repeat(uploadBytes) })
    assert.equal([reply.status, reply.body.includes(PART_BYTE), requests()], [502, false, 1])
  })
}

for (const broken of BREAKS.filter(({ partBytes }) => partBytes === 4)) {
  const { uploadBytes, afterMs, reading } = broken
  suite(`a stream that is reset between events, ${afterMs} ms after an upload of ${uploadBytes} began, is not whole: the target ${reading}`, async () => {
    await openRawTarget((socket, requestId) => {
      if (reading === 'stops reading') socket.pause()
      else socket.resume()
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nproof: p\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`, () => {
        setTimeout(() => { socket.resetAndDestroy() }, afterMs)
      })
    })
    const reply = await fixture.call('/answer/7', { method: 'POST', body: 'u'.repeat(uploadBytes) })
    assert.ok(reply.status === 502 || !reply.isComplete, `status ${reply.status}`)
  })
}

const STATUSES = ['000', '099', '0', '00', '-1', '1', '99', '1000', '', '101']
const BODIES: readonly (readonly [what: string, rest: string])[] = [
  ['a length', 'content-length: 4\r\n\r\n####'],
  ['no length', '\r\n####'],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\n####\r\n0\r\n\r\n'],
  ['no body', 'content-length: 0\r\n\r\n']
]

/** Time within which an attempt that can't succeed must end, ms; the time limit of the requests is longer. */
const PROMPT_MS = 1_000

for (const status of STATUSES) {
  for (const [what, rest] of BODIES) {
    for (const uploadBytes of [2, 300_000]) {
      suite(`a status of '${status}' with ${what} is no response to an upload of ${uploadBytes} and ends the attempt at once`, async () => {
        const requests = await openRawTarget((socket, requestId) => {
          socket.resume()
          socket.write(`HTTP/1.1 ${status} OK\r\nrequest-id: ${requestId}\r\nproof: p\r\n${rest}`)
        })
        const startMs = performance.now()
        const reply = await fixture.call('/write/7', { method: 'POST', body: 'u'.repeat(uploadBytes) })
        assert.equal([reply.status, reply.body.includes('####'), requests()], [502, false, 1])
        assert.ok(performance.now() - startMs < PROMPT_MS, 'the refusal waited for the time limit')
      })
    }
  }
}

suite.run()
