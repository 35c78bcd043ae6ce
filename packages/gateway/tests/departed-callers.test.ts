import type * as http from 'node:http'
import * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 60_000

const BLOCKING_EVENTS = 64
const BLOCKING_EVENT_BYTES = 500_000

const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: LONG_TIMEOUT_MS })) }

const REQUEST = ['POST /answer/7 HTTP/1.1', 'host: shop.example', 'key: k-1', 'request-id: r-1', `remaining-ms: ${LONG_TIMEOUT_MS}`, 'content-length: 4', '', 'text'].join('\r\n')

/** Sends a request in a thread of its own, leaves as `leave` says and then wakes the thread of the gateway. */
const LEAVING_CALLER = `
  const { workerData } = require('node:worker_threads')
  const socket = require('node:net').connect(workerData.port, workerData.host, () => {
    socket.write(workerData.request, () => { socket[workerData.leave](() => {}) })
  })
  const wake = () => {
    Atomics.store(workerData.left, 0, 1)
    Atomics.notify(workerData.left, 0)
  }
  socket.on('error', () => {}).on(workerData.leave === 'end' ? 'finish' : 'close', wake)
`

let fixture: fixtureModule.Fixture
const suite = uvu.suite('callers that have left')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(2, DOCUMENT) })
suite.after.each(async () => { await fixture.close() })

/** Blocks the gateway until a caller has sent a request and left. */
async function leaveUnread (leave: 'end' | 'destroy' | 'resetAndDestroy'): Promise<void> {
  const left = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const worker = new workerThreads.Worker(LEAVING_CALLER, { eval: true, workerData: { ...gatewayPackage.endpoint.parseEndpoint(fixture.frontAddress), request: REQUEST, leave, left } })
  Atomics.wait(left, 0, 0)
  await worker.terminate()
}

for (const leave of ['end', 'destroy', 'resetAndDestroy'] as const) {
  suite(`a request whose caller left before it was read is not sent to a target (${leave})`, async () => {
    await leaveUnread(leave)
    await fixtureModule.wait(100)
    assert.is(fixture.arrivals.length, 0)
    assert.is((await fixture.call('/read/7')).status, 200)
  })
}

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

suite('a stream does not look complete to a caller of HTTP/1.0 that has ended its side', async () => {
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: x\n\n')
  })
  const caller = net.connect({ ...gatewayPackage.endpoint.parseEndpoint(fixture.frontAddress), allowHalfOpen: true })
  caller.write(REQUEST.replace('HTTP/1.1', 'HTTP/1.0'))
  caller.once('data', () => { caller.end() })
  const end = await new Promise<string>((resolve) => { caller.on('end', () => { resolve('end') }).on('error', () => { resolve('reset') }) })
  assert.is(end, 'reset')
})

suite.run()
