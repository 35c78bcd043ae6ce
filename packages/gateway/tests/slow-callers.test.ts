/**
 * Callers that read slowly while their stream changes from one target to another.
 */
import * as http from 'node:http'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 20_000

const EVENTS = 60

/** Larger than what the sockets on the way hold, over all events. */
const EVENT_BYTES = 300_000

const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, attempts: 4, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TIMEOUT_MS })) }

let fixture: fixtureModule.Fixture
const suite = uvu.suite('slow callers')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(4, DOCUMENT) })
suite.after.each(async () => { await fixture.close() })

function eventOf (id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`
}

interface Received {
  readonly ids: readonly number[]
  readonly isComplete: boolean
}

/** Receives a stream; `readOn` is called with each chunk and says for how long the caller stops reading, ms. */
function receive (readOn: (bytes: number) => number): Promise<Received> {
  const { host, port } = gatewayPackage.endpoint.parseEndpoint(fixture.frontAddress)
  const headers = { host: 'shop.example', key: 'k-1', 'request-id': 'r-slow', 'remaining-ms': String(LONG_TIMEOUT_MS) }
  return new Promise((resolve, reject) => {
    http.get({ host, port, path: '/generate/7', headers, agent: false }, (response) => {
      let body = ''
      const end = (): void => { resolve({ ids: [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)), isComplete: response.complete }) }
      response.setEncoding('latin1').on('end', end).on('error', end).on('data', (text: string) => {
        body += text
        const pauseMs = readOn(body.length)
        if (pauseMs === 0) return
        response.pause()
        setTimeout(() => { response.resume() }, pauseMs)
      })
    }).on('error', reject)
  })
}

/** How a target ends after the event `last`, which it has written together with those before. */
const ENDS: readonly (readonly [what: string, end: (response: http.ServerResponse, last: number) => void])[] = [
  ['a regular end within an event', (response, last) => { response.end(eventOf(last + 1).slice(0, EVENT_BYTES)) }],
  ['a reset', (response) => { setTimeout(() => { response.socket?.resetAndDestroy() }, 50) }],
  ['a step back', (response, last) => { response.end(eventOf(last - 2)) }],
  ['a repetition', (response, last) => { response.end(eventOf(last)) }]
]

const READERS: readonly (readonly [what: string, createReader: () => (bytes: number) => number])[] = [
  ['stops once for 400 ms at its first byte', () => {
    let hasStopped = false
    return () => {
      if (hasStopped) return 0
      hasStopped = true
      return 400
    }
  }],
  ['stops again and again', () => {
    let nextBytes = 0
    return (bytes) => {
      if (bytes < nextBytes) return 0
      nextBytes = bytes + 3 * EVENT_BYTES
      return 20
    }
  }]
]

for (const [end, endAfter] of ENDS) {
  for (const [reading, createReader] of READERS) {
    suite(`a caller that ${reading} gets each event once and in order over ${end} of its targets`, async () => {
      fixture.script((arrival, response, count) => {
        fixtureModule.beginStream(arrival, response)
        const first = Number(arrival.headers['last-event-id'] ?? 0) + 1
        const last = count > 3 ? EVENTS : Math.min(EVENTS, first + 14)
        for (let id = first; id <= last; id += 1) response.write(eventOf(id))
        if (last === EVENTS) response.end()
        else endAfter(response, last)
      })
      const received = await receive(createReader())
      assert.equal([received.ids, received.isComplete], [Array.from({ length: EVENTS }, (_, index) => index + 1), true])
      assert.ok(fixture.arrivals.length > 1)
    })
  }
}

suite.run()
