/**
 * Malformed input from targets, peers and callers: each is dropped or refused, and the daemon goes on.
 */
import * as net from 'node:net'
import * as gateway from '@persimmonhatch/gateway'
import * as fastCheck from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as streamEvents from '../src/stream-events.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('malformed input')

const SEED = 29

/** The users' time for a change of the state to show in timers, ms. */
const TIMERS_MS = 700

const REPORT: Readonly<Record<string, unknown>> = {
  from: '127.0.0.9:7600',
  incarnation: 'a',
  sequence: 1,
  scope: 'cell',
  frontAddress: '127.0.0.9:80',
  ready: true,
  documentVersion: 1,
  targetsPosition: [0, 0],
  complete: true,
  pools: { stock: { targets: { 'i-1': [1, 0] }, waiting: [[0, 1, 5]] } },
  usedTokens: { maarif: 0 },
  leavingTargets: [['i-9', 1, 5]],
  departures: [['i-9', 'mis1g9x3']],
  pauses: [['i-9', 100, '127.0.0.9:7600']],
  suspects: { crashes: [['i-9', 1, 1, 'x']], answered: [['y', 1]], refused: [['z', 1, 1]] },
  streams: { stock: { v1: ['r-1'] } },
  limits: [['i-9', 'mis1g9x3', 1, 2.5]],
  lostTargets: ['i-9'],
  members: [['127.0.0.8:7600', '127.0.0.8:80', true, 5]]
}

const ANYTHING = fastCheck.oneof(fastCheck.jsonValue(), fastCheck.constantFrom(null, '', 'x', -1, 1e308, [], {}, [[]], [null], { a: null }, '__proto__'))

/** Replaces what a path into a value names; numbers of the path choose among the entries. */
function replaceAt (value: unknown, path: readonly number[], replacement: unknown): unknown {
  const [first, ...rest] = path
  if (first === undefined || typeof value !== 'object' || value === null) return replacement
  const keys = Object.keys(value)
  const key = keys[first % Math.max(1, keys.length)]
  if (key === undefined) return replacement
  const changed = replaceAt((value as Readonly<Record<string, unknown>>)[key], rest, replacement)
  return Array.isArray(value) ? value.map((item: unknown, index) => String(index) === key ? changed : item) : { ...value, [key]: changed }
}

const MUTATED_REPORTS = fastCheck.tuple(fastCheck.array(fastCheck.nat(20), { minLength: 1, maxLength: 4 }), ANYTHING).map(([path, replacement]) => replaceAt(REPORT, path, replacement))

/** Counts the errors that would end the process. */
function countUncaught (): { readonly count: () => number, readonly end: () => void } {
  let errors = 0
  const handle = (): void => { errors += 1 }
  process.on('uncaughtException', handle).on('unhandledRejection', handle)
  return { count: () => errors, end: () => { process.off('uncaughtException', handle).off('unhandledRejection', handle) } }
}

suite('reports of any content from peers leave the daemon serving', async () => {
  const uncaught = countUncaught()
  const fixture = await fixtureModule.openFixture(2)
  const reports = fastCheck.sample(MUTATED_REPORTS, { numRuns: 500, seed: SEED })
  for (const [index, report] of reports.entries()) {
    const params = typeof report === 'object' && report !== null && (report as { readonly sequence?: unknown }).sequence === 1 ? { ...report, sequence: index + 1 } : report
    await fixtureModule.sendDatagram(fixture.peerAddress, JSON.stringify({ jsonrpc: '2.0', method: 'report', params }))
  }
  await fixtureModule.wait(TIMERS_MS)
  assert.is((await fixture.call('/read/7')).status, 200)
  assert.is(uncaught.count(), 0)
  assert.ok(fixture.gateway.addresses().every((address) => typeof address === 'string'))
  await fixture.close()
  uncaught.end()
})

suite('datagrams of any bytes leave the daemon serving', async () => {
  const uncaught = countUncaught()
  const fixture = await fixtureModule.openFixture(2)
  const methods = fastCheck.constantFrom('report', 'find-stream', 'stream', 'other')
  const datagrams = fastCheck.sample(fastCheck.oneof(fastCheck.string(), fastCheck.json(), fastCheck.tuple(methods, ANYTHING).map(([method, params]) => JSON.stringify({ jsonrpc: '2.0', method, params }))), { numRuns: 300, seed: SEED })
  for (const datagram of datagrams) await fixtureModule.sendDatagram(fixture.peerAddress, datagram)
  await fixtureModule.wait(TIMERS_MS)
  assert.is((await fixture.call('/read/7')).status, 200)
  assert.is(uncaught.count(), 0)
  await fixture.close()
  uncaught.end()
})

suite('headers of targets of any content are read or left out', () => {
  const { parseLoad, parsePromptSegments, parseRequestLimit, parseRetryAfterMs, parseTokens } = gateway.headerNames
  fastCheck.assert(fastCheck.property(fastCheck.oneof(fastCheck.string(), fastCheck.string({ unit: 'binary', maxLength: 500 })), (text) => {
    for (const number of [parseRequestLimit(text), parseRetryAfterMs(text), parseLoad(text)?.running, parseTokens(text)?.prompt]) assert.ok(number === undefined || (Number.isFinite(number) && number >= 0))
    assert.ok(parsePromptSegments(text).length <= text.length + 1)
  }), { seed: SEED })
})

suite('event streams of any bytes are split without a loss, in any chunks, or given up at a bounded size', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.oneof(fastCheck.uint8Array({ maxLength: 40 }), fastCheck.constantFrom('id: 7\n', 'data: x\n', '\n', '\r\n', 'id: 99999999999999999999\n\n').map((text) => Buffer.from(text)))), (chunks) => {
    const splitter = streamEvents.createEventSplitter()
    const events = chunks.flatMap((chunk) => [...splitter.push(Buffer.from(chunk))])
    assert.ok(Buffer.concat([...events.map(({ bytes }) => bytes), splitter.pending()]).equals(Buffer.concat(chunks)))
  }), { seed: SEED })
  const splitter = streamEvents.createEventSplitter()
  assert.throws(() => { for (let chunk = 0; chunk < 64; chunk += 1) assert.is([...splitter.push(Buffer.alloc(65_536, 'x'))].length, 0) })
})

const HEADS: readonly (readonly [what: string, bytes: string])[] = [
  ['no HTTP', 'hello\r\n\r\n'],
  ['a CONNECT of a caller', 'CONNECT 127.0.0.1:1 HTTP/1.1\r\nhost: x\r\n\r\n'],
  ['two lengths', 'POST /write/7 HTTP/1.1\r\nhost: shop.example\r\nkey: k-1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab'],
  ['a length and chunks', 'POST /write/7 HTTP/1.1\r\nhost: shop.example\r\nkey: k-1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['an endless head', `GET /read/7 HTTP/1.1\r\nx: ${'y'.repeat(200_000)}`],
  ['a header with a null', 'GET /read/7 HTTP/1.1\r\nhost: shop.example\r\nx: a\0b\r\n\r\n']
]

for (const [what, bytes] of HEADS) {
  suite(`a caller that sends ${what} reaches no target and leaves the daemon serving`, async () => {
    const uncaught = countUncaught()
    const fixture = await fixtureModule.openFixture(1)
    const { host, port } = gateway.endpoint.parseEndpoint(fixture.frontAddress)
    const socket = net.connect({ host, port })
    socket.on('error', () => {}).on('data', () => {})
    socket.write(bytes)
    await fixtureModule.wait(100)
    assert.is(fixture.arrivals.length, 0)
    assert.is((await fixture.call('/read/7')).status, 200)
    assert.is(uncaught.count(), 0)
    socket.destroy()
    await fixture.close()
    uncaught.end()
  })
}

suite.run()
