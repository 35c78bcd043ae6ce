import type * as http from 'node:http'
import * as net from 'node:net'
import * as uvu from 'uvu'
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 60_000

const BLOCKING_EVENTS = 64
const BLOCKING_EVENT_BYTES = 500_000

const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: LONG_TIMEOUT_MS })) }

const REQUEST = ['POST /answer/7 HTTP/1.1', 'host: shop.example', 'key: k-1', 'request-id: r-1', `remaining-ms: ${LONG_TIMEOUT_MS}`, 'content-length: 4', '', 'text'].join('\r\n')

let fixture: fixtureModule.Fixture
const suite = uvu.suite('callers that have left')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(2, DOCUMENT) })
suite.after.each(async () => { await fixture.close() })

/** Sends more events than all connections on the way can hold, and waits until no more data leaves. */
async function streamUntilBlocked (arrival: fixtureModule.Arrival, response: http.ServerResponse): Promise<void> {
  fixtureModule.beginStream(arrival, response)
  for (let id = 1; id <= BLOCKING_EVENTS; id += 1) response.write(`id: ${id}\ndata: ${'x'.repeat(BLOCKING_EVENT_BYTES)}\n\n`)
  for (let length = -1; length !== response.socket?.writableLength;) {
    length = response.socket?.writableLength ?? 0
    await fixtureModule.wait(100)
  }
}

suite('a stream is aborted at its target when the caller ends its side while its connection takes no more data', async () => {
  const caller = net.connect({ ...gatewayPackage.endpoint.parseEndpoint(fixture.frontAddress), allowHalfOpen: true })
  const ended = new Promise<void>((resolve, reject) => {
    fixture.script((arrival, response) => {
      response.on('close', resolve)
      streamUntilBlocked(arrival, response).then(() => { caller.end() }, reject)
    })
  })
  caller.pause()
  caller.write(REQUEST)
  await Promise.race([ended, fixtureModule.wait(5_000).then(() => { throw new Error('the exchange with the target goes on') })])
  caller.destroy()
})

suite.run()
