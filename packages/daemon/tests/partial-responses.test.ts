/**
 * Targets that break off a response that has no length, or send one that is none: no caller may take a part for the whole.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as dispatcher from '../src/dispatch/dispatcher.js'
import * as responseRecord from '../src/dispatch/response-record.js'
import * as responseWriter from '../src/http/response-writer.js'

const suite = uvu.suite('partial responses')

/** Time within which an attempt that can't succeed must end, ms. */
const PROMPT_MS = 2_000

interface Result {
  readonly outcome: string
  readonly statuses: readonly number[]
  readonly isWhole: boolean
}

/** Dispatches an upload to a target that responds as soon as the head of the request arrives. */
async function upload (uploadBytes: number, respond: (socket: net.Socket) => void): Promise<Result> {
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const statuses: number[] = []
  const record = responseRecord.createResponseRecord(true)
  const end = await dispatcher.dispatch({
    httpClient,
    clock: () => 0,
    placement: { target: 'stock-1', address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, targetKind: 'plain' },
    receipt: {} as dispatcher.Options['receipt'],
    targetRequest: { method: 'POST', path: '/reservations', headers: {}, body: Buffer.alloc(uploadBytes, 'u'), promptTokens: 1 },
    record: { ...record, start: (head) => { statuses.push(head.status); record.start(head) } },
    signal: AbortSignal.timeout(PROMPT_MS)
  })
  for (const socket of sockets) socket.destroy()
  await httpClient.destroy()
  server.close()
  return { outcome: end.outcome, statuses, isWhole: record.isComplete() }
}

const READINGS = ['reads on', 'stops reading'] as const

// A write that meets the reset takes the error of the socket, and reading from it then ends in the regular way.
for (const uploadBytes of [0, 2_000, 300_000, 6_000_000]) {
  for (const partBytes of [0, 4, 70_000, 9_000_000]) {
    for (const afterMs of [0, 2, 40]) {
      for (const reading of READINGS) {
        suite(`${partBytes} bytes without a length, reset ${afterMs} ms after an upload of ${uploadBytes} began, are not a whole response: the target ${reading}`, async () => {
          const { outcome, isWhole } = await upload(uploadBytes, (socket) => {
            if (reading === 'stops reading') socket.pause()
            else socket.resume()
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(partBytes)}`, () => { setTimeout(() => { socket.resetAndDestroy() }, afterMs) })
          })
          assert.equal([outcome, isWhole], ['crashed', false])
        })
      }
    }
  }
}

const BODIES: readonly (readonly [what: string, rest: string])[] = [
  ['a length', 'content-length: 4\r\n\r\npart'],
  ['no length', '\r\npart'],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n'],
  ['no body', 'content-length: 0\r\n\r\n']
]

for (const status of ['000', '099', '0', '00', '-1', '1', '99', '1000', '', '101']) {
  for (const [what, rest] of BODIES) {
    for (const uploadBytes of [2, 300_000]) {
      suite(`a status of '${status}' with ${what} is no response to an upload of ${uploadBytes} and ends the attempt at once`, async () => {
        const result = await upload(uploadBytes, (socket) => {
          socket.resume()
          socket.write(`HTTP/1.1 ${status} OK\r\n${rest}`)
        })
        assert.equal(result, { outcome: 'crashed', statuses: [], isWhole: false })
      })
    }
  }
}

const RECEIPT: responseRecord.ResponseHead['receipt'] = {
  identity: 'r-1', service: 'stock', organisation: 'maarif', tier: 'standard', reason: 'target-failed', execution: 'unknown', waitedMs: 0, target: 'stock-1', figures: {}, end: undefined
}

/** Returns how the connection of a caller ends whose response is refused after a part of it. */
async function readRefusedPart (version: string, partBytes: number): Promise<string> {
  const record = responseRecord.createResponseRecord(true)
  const server = http.createServer((_, response) => {
    response.once('error', () => {})
    responseWriter.writeResponse({ response, record, url: '/', addresses: () => [] }).catch(() => {})
    record.start({ status: 200, headers: [], receipt: RECEIPT, isEventStream: false })
    record.append(Buffer.alloc(partBytes, '#')).then(() => {
      record.refuse({ receipt: RECEIPT, retryAfterMs: 100 })
    }, () => {})
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const received: Buffer[] = []
  const ending = await new Promise<string>((resolve) => {
    const caller = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1', () => { caller.write(`GET / HTTP/${version}\r\nhost: a\r\n\r\n`) })
    caller.on('data', (bytes) => { received.push(bytes) })
    // When data and a reset arrive together, Node.js reports a regular end, but the socket has no remote address any more.
    caller.prependOnceListener('end', () => {
      if (caller.remoteAddress === undefined) resolve('is reset')
      else resolve(Buffer.concat(received).toString('latin1').endsWith('0\r\n\r\n') || version === '1.0' ? 'ends as if complete' : 'ends within the body')
    })
    caller.on('error', () => { resolve('is reset') })
  })
  server.closeAllConnections()
  server.close()
  return ending
}

// Without chunks the end of the connection is the end of the response, so only a reset shows that it is a part.
for (const partBytes of [0, 4, 70_000, 2_000_000]) {
  suite(`the part of ${partBytes} bytes that a caller of HTTP/1.0 gets before a refusal does not look complete`, async () => {
    assert.is(await readRefusedPart('1.0', partBytes), 'is reset')
  })

  suite(`the part of ${partBytes} bytes that a caller of HTTP/1.1 gets before a refusal does not look complete`, async () => {
    assert.is.not(await readRefusedPart('1.1', partBytes), 'ends as if complete')
  })
}

suite.run()
