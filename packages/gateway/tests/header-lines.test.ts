/**
 * Requests and responses with many header lines: each line arrives, or the caller is told that the request is refused.
 */
import * as fastCheck from 'fast-check'
import * as hono from 'hono'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as httpEndpoint from '../src/http-endpoint.js'
import * as fixtureModule from './fixture.js'
import * as plainSockets from './plain-sockets.js'

type Line = plainSockets.Line

/** The limit that the users' page states, bytes. */
const HEADER_BYTES = 16_384

const BODY = '{"reserve":"laptop 7"}'

const OWN_LINES: readonly Line[] = [['Host', 'shop.example'], ['Key', 'k-1'], ['Request-Id', 'r-1'], ['Remaining-Ms', '1400']]

/** Headers of requests that daemons remove or set, and the host, which the HTTP client puts in front of the others. */
const REPLACED: ReadonlySet<string> = new Set(['host', 'key', 'remaining-ms', 'content-length', 'transfer-encoding', 'expected-target', 'organisation', 'connection'])

let fixture: fixtureModule.Fixture
let target: plainSockets.Target
const suite = uvu.suite('header lines')

async function openTarget (respond?: plainSockets.Respond): Promise<void> {
  target = await plainSockets.openTarget(respond)
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 1, target: { id: 'i-1', service: 'stock', address: target.address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
}

suite.before.each(async () => {
  fixture = await fixtureModule.openFixture(0, { ...fixtureModule.DOCUMENT, limits: { ...fixtureModule.DOCUMENT.limits, headerBytes: HEADER_BYTES } })
})
suite.after.each(async () => {
  await fixture.close()
  target.close()
})

function paddingOf (count: number): readonly Line[] {
  return Array.from({ length: count }, (_, index): Line => [`s${index}`, '1'])
}

/** Returns the lines that daemons forward as they are. */
function forwardedOf (lines: readonly Line[]): readonly Line[] {
  return lines.filter(([name]) => !REPLACED.has(name.toLowerCase()))
}

function chunksOf (body: string): string {
  return `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
}

const FRAMINGS: readonly (readonly [what: string, line: Line, bytes: string])[] = [
  ['a length', ['Content-Length', String(BODY.length)], BODY],
  ['chunks', ['Transfer-Encoding', 'chunked'], chunksOf(BODY)],
  ['chunks and trailers', ['Transfer-Encoding', 'chunked'], `${chunksOf(BODY).slice(0, -2)}${paddingOf(1_100).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`]
]

for (const [what, framing, bytes] of FRAMINGS) {
  // Guards against requests that run without their bodies, because the framing is behind the thousandth line.
  suite(`a body with ${what} behind 1,100 header lines arrives whole, and with it all lines`, async () => {
    await openTarget()
    const lines = [...OWN_LINES, ...paddingOf(1_100), framing]
    const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('POST /write/7?q=1 HTTP/1.1', lines) + bytes)
    assert.equal([received.status, received.body, target.arrivals.length], [200, 'ran', 1])
    const [arrival] = target.arrivals
    assert.equal([arrival?.requestLine, arrival?.body], ['POST /write/7?q=1 HTTP/1.1', BODY])
    assert.equal(forwardedOf(arrival?.lines ?? []), forwardedOf(lines))
  })
}

// Guards against a request that is refused, or forwarded without its id, because these lines are behind the thousandth.
suite('host, key, id and remaining time behind 1,100 header lines are read', async () => {
  await openTarget()
  const lines = [...paddingOf(1_100), ...OWN_LINES]
  const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('GET /read/7 HTTP/1.1', lines))
  const [arrival] = target.arrivals
  assert.equal([received.status, plainSockets.valueOf(arrival?.lines ?? [], 'request-id'), plainSockets.valueOf(arrival?.lines ?? [], 'organisation')], [200, 'r-1', 'maarif'])
  assert.ok(Number(plainSockets.valueOf(arrival?.lines ?? [], 'remaining-ms')) <= 1_400)
})

// Guards against a limit that counts only the lines that were kept.
suite('a head over the limit is refused with 431, also if its first thousand lines are within the limit', async () => {
  await openTarget()
  const lines = [...OWN_LINES, ...Array.from({ length: 3_500 }, (): Line => ['a', '1']), ['Content-Length', String(BODY.length)] as const]
  const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('POST /write/7 HTTP/1.1', lines) + BODY)
  assert.equal([received.status, target.arrivals.length], [431, 0])
})

const NAMES = fastCheck.constantFrom('a', 'Accept', 'X-Model', 'Cookie', 'x-long-name-of-a-header')
const PADDING = fastCheck.array(fastCheck.tuple(NAMES, fastCheck.constantFrom('', '1', 'x y', 'v'.repeat(40))), { minLength: 1, maxLength: 40 })
const HEADS = fastCheck.record({
  padding: PADDING,
  /** How often the padding is repeated, up to about twice the limit. */
  share: fastCheck.double({ min: 0, max: 2, noNaN: true }),
  /** Where each of the lines that the daemon reads is put, as a share of the padding. */
  places: fastCheck.array(fastCheck.double({ min: 0, max: 1, noNaN: true }), { minLength: OWN_LINES.length + 1, maxLength: OWN_LINES.length + 1 }),
  framing: fastCheck.constantFrom(...FRAMINGS)
}).map(({ padding, share, places, framing }) => {
  const repeats = Math.ceil(share * HEADER_BYTES / plainSockets.sizeOf(padding))
  const repeated = Array.from({ length: repeats }, () => padding).flat()
  const [, framingLine, bytes] = framing
  const placed = [...OWN_LINES, framingLine].map((line, index) => ({ line, place: Math.floor((places[index] ?? 0) * repeated.length) }))
  const lines = Array.from({ length: repeated.length + 1 }, (_, place) => [...placed.filter((own) => own.place === place).map(({ line }) => line), ...repeated.slice(place, place + 1)]).flat()
  return { lines, bytes }
})

// Guards against any loss on the way: what arrives is what was sent, or the caller is told that it was refused.
suite('heads of any number and order of lines arrive as they were sent, or are refused with 431', async () => {
  await openTarget()
  await fastCheck.assert(fastCheck.asyncProperty(HEADS, async ({ lines, bytes }) => {
    const before = target.arrivals.length
    const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('POST /write/7 HTTP/1.1', lines) + bytes)
    if (plainSockets.sizeOf(lines) > HEADER_BYTES) {
      assert.equal([received.status, target.arrivals.length], [431, before])
      return
    }
    const arrival = target.arrivals[before]
    assert.equal([received.status, target.arrivals.length, arrival?.body, plainSockets.valueOf(arrival?.lines ?? [], 'host')], [200, before + 1, BODY, 'shop.example'])
    assert.equal(forwardedOf(arrival?.lines ?? []), forwardedOf(lines))
  }), { seed: 55, numRuns: 150 })
})

// Guards against responses that lose lines on the way to their caller.
suite('a response with 1,100 header lines reaches its caller with all of them', async () => {
  const lines = paddingOf(1_100)
  await openTarget(() => ['200 OK', [...lines, ['request-id', 'r-1'], ['proof', 'p']], 'ran'])
  const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('GET /read/7 HTTP/1.1', OWN_LINES))
  assert.equal([received.status, received.body, plainSockets.valueOf(received.lines, 'proof')], [200, 'ran', 'p'])
  assert.equal(received.lines.filter(([name]) => name.startsWith('s')), lines)
})

// Guards against a head of a response that is cut, and so looks complete.
suite('a response with more header lines than the client of targets reads is not forwarded in part', async () => {
  await openTarget(() => ['200 OK', [['request-id', 'r-1'], ['proof', 'p'], ...paddingOf(4_000)], 'ran'])
  const received = await plainSockets.exchangeBytes(fixture.frontAddress, plainSockets.headOf('POST /write/7 HTTP/1.1', OWN_LINES))
  assert.equal([received.status, target.arrivals.length], [502, 1])
  assert.match(received.body, /"reason":"broken"/)
})

// Guards against queries that are refused because their host is behind the thousandth line.
suite('a small listener reads the host behind 1,100 header lines', async () => {
  await openTarget()
  const address = await fixtureModule.freeAddress()
  const endpoint = await httpEndpoint.openHttpEndpoint(address, new hono.Hono().get('/ready', (context) => context.text(context.req.header('host') ?? '')))
  const received = await plainSockets.exchangeBytes(address, plainSockets.headOf('GET /ready HTTP/1.1', [...paddingOf(1_100), ['Host', 'shop.example']]))
  endpoint.close()
  assert.equal([received.status, received.body], [200, 'shop.example'])
})

suite.run()
