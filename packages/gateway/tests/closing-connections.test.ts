/**
 * Requests that cross the close of their connection: each is answered, or is sent to no target.
 */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

let fixture: fixtureModule.Fixture
const suite = uvu.suite('closing connections')

/** Time from the start of a planned stop until idle connections are closed, ms. */
const CLOSE_AFTER_MS = 5_000

/** Time in which a request would have reached a target, ms. */
const SETTLE_MS = 300

const IDLE_TIMEOUT_MS = 600
const SLOTS = 6
const LONG_MS = 60_000

const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: LONG_MS, targetLatencyMs: LONG_MS })) }

/** Sends a request in a thread of its own, and a second one when it is told to, after which it wakes the thread of the gateway. */
const SENDING_CALLER = `
  const { workerData } = require('node:worker_threads')
  const socket = require('node:net').connect(workerData.port, workerData.host, () => {
    socket.write(workerData.first)
  })
  const wake = () => {
    Atomics.store(workerData.sent, 0, 1)
    Atomics.notify(workerData.sent, 0)
  }
  let received = ''
  socket.on('error', () => {}).on('close', () => { require('node:worker_threads').parentPort.postMessage(received) })
  socket.on('data', (data) => { received += data.toString('latin1') })
  require('node:worker_threads').parentPort.on('message', () => { socket.write(workerData.second, wake) })
`

suite.before.each(async () => { fixture = await fixtureModule.openFixture(1, DOCUMENT) })
suite.after.each(async () => { await fixture.close() })

function requestText (id: string, body = ''): string {
  return `POST /write/${id} HTTP/1.1\r\nhost: shop.example\r\nkey: k-1\r\nrequest-id: ${id}\r\nremaining-ms: ${LONG_MS}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

/** A caller whose second request arrives while the gateway reads nothing. */
interface SendingCaller {
  /** Blocks the gateway while the second request is sent, until a time at which timers are due, which run before it reads what has arrived. */
  readonly sendUnread: (untilMs: number) => Promise<void>
  /** All that the caller has received when its connection closes. */
  readonly received: Promise<string>
  readonly close: () => Promise<number>
}

/** Opens a caller, whose first request has been answered. */
async function openSendingCaller (): Promise<SendingCaller> {
  const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const worker = new workerThreads.Worker(SENDING_CALLER, { eval: true, workerData: { ...gateway.endpoint.parseEndpoint(fixture.frontAddress), first: requestText('kept'), second: requestText('late'), sent } })
  const received = new Promise<string>((resolve) => { worker.once('message', resolve) })
  await fixtureModule.until(() => arrivedIds().includes('kept'))
  return {
    sendUnread: async (untilMs) => {
      // Timers run next after this phase of the event loop.
      await new Promise((resolve) => { setImmediate(resolve) })
      worker.postMessage('send')
      Atomics.wait(sent, 0, 0)
      while (performance.now() < untilMs);
    },
    received,
    close: () => worker.terminate()
  }
}

/** A caller with a connection of its own, which stays open for sending when the other side ends. */
interface Caller {
  readonly socket: net.Socket
  readonly received: () => string
  readonly ended: Promise<void>
}

function connect (): Caller {
  const socket = net.connect({ ...gateway.endpoint.parseEndpoint(fixture.frontAddress), allowHalfOpen: true })
  let received = ''
  socket.on('data', (data) => { received += data.toString('latin1') }).on('error', () => {})
  return { socket, received: () => received, ended: new Promise((resolve) => { socket.once('end', resolve).once('close', () => { resolve() }) }) }
}

async function callOnce (caller: Caller, id: string): Promise<void> {
  caller.socket.write(requestText(id))
  await fixtureModule.until(() => caller.received().includes('from i-1'))
}

function arrivedIds (): readonly unknown[] {
  return fixture.arrivals.map(({ headers }) => headers['request-id'])
}

function answers (received: string): number {
  return received.split('HTTP/1.1 200').length - 1
}

/** Answers all requests at once but those with the id `open`. */
function answerOthers (arrival: fixtureModule.Arrival, response: http.ServerResponse): void {
  if (arrival.headers['request-id'] !== 'open') fixtureModule.respondComplete(arrival, response)
}

// Guards against a reservation that is run although its connection was closed as idle, so that its caller gets no answer (review/6).
suite('a planned stop sends no request to a target that arrives after its connection was closed as idle', async () => {
  fixture.script(answerOthers)
  const open = connect()
  open.socket.write(requestText('open'))
  const [kept, keptWithBody, unused, unusedWithBody] = [connect(), connect(), connect(), connect()]
  await callOnce(kept, 'kept')
  await callOnce(keptWithBody, 'kept')
  const late = [kept, keptWithBody, unused, unusedWithBody].map(async (caller, index) => {
    await caller.ended
    caller.socket.write(requestText(`late-${index}`, index % 2 === 0 ? '' : 'body'))
  })
  const stopped = fixture.gateway.stop()
  await Promise.all(late)
  await fixtureModule.wait(SETTLE_MS)
  assert.equal(arrivedIds(), ['open', 'kept', 'kept'])
  // They stay unread, so that their callers may send them again.
  assert.not.match(fixture.gateway.metrics.text(), 'requests_dropped_total')
  open.socket.destroy()
  await stopped
  for (const { socket } of [kept, keptWithBody, unused, unusedWithBody]) socket.destroy()
})

// Guards against the same for a request that is in the buffer of the socket when the connection is closed.
suite('a planned stop sends no request to a target that was received unread before its connection was closed', async () => {
  fixture.script(answerOthers)
  const open = connect()
  open.socket.write(requestText('open'))
  const caller = await openSendingCaller()
  await fixtureModule.wait(SETTLE_MS)
  const beginMs = performance.now()
  const stopped = fixture.gateway.stop()
  await fixtureModule.wait(CLOSE_AFTER_MS - 200)
  await caller.sendUnread(beginMs + CLOSE_AFTER_MS + 100)
  await fixtureModule.wait(SETTLE_MS)
  assert.equal(arrivedIds(), ['open', 'kept'])
  await caller.close()
  open.socket.destroy()
  await stopped
})

// Guards against a run without an answer: the response to the first of two pipelined requests closes the connection in a planned stop.
suite('a planned stop sends no pipelined request to a target whose connection the response before it closes', async () => {
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, 50) })
  const caller = connect()
  await callOnce(caller, 'kept')
  const stopped = fixture.gateway.stop()
  caller.socket.write(`${requestText('first', 'body')}${requestText('second', 'body')}`)
  await caller.ended
  await fixtureModule.wait(SETTLE_MS)
  assert.equal([arrivedIds(), answers(caller.received())], [['kept', 'first'], 2])
  caller.socket.destroy()
  await stopped
})

suite('pipelined requests are answered one after the other', async () => {
  fixture.script((arrival, response) => { setTimeout(() => { fixtureModule.respondComplete(arrival, response) }, 20) })
  const caller = connect()
  caller.socket.write(`${requestText('a')}${requestText('b', 'body')}${requestText('c')}`)
  await fixtureModule.until(() => answers(caller.received()) === 3)
  assert.equal([arrivedIds(), [...caller.received().matchAll(/^request-id: (.)/gm)].map(([, id]) => id)], [['a', 'b', 'c'], ['a', 'b', 'c']])
  caller.socket.destroy()
})

suite('a planned stop waits for no pipelined request whose caller has left', async () => {
  fixture.script(answerOthers)
  const caller = connect()
  caller.socket.write(`${requestText('open')}${requestText('second')}`)
  await fixtureModule.until(() => fixture.arrivals.length > 0)
  caller.socket.destroy()
  const beginMs = performance.now()
  await fixture.gateway.stop()
  assert.ok(performance.now() < beginMs + CLOSE_AFTER_MS + 1_000)
  assert.equal(arrivedIds(), ['open'])
})

// The close after the idle timeout has the same window as that of a planned stop.
suite('a request that arrives when the idle timeout of its connection passes is answered or sent to no target', async () => {
  fixture.gateway.adopt({ ...DOCUMENT, version: 2, limits: { ...DOCUMENT.limits, idleTimeoutMs: IDLE_TIMEOUT_MS } }, 'test')
  fixture.script(answerOthers)
  const caller = await openSendingCaller()
  const beginMs = performance.now()
  await fixtureModule.wait(IDLE_TIMEOUT_MS - 200)
  await caller.sendUnread(beginMs + IDLE_TIMEOUT_MS + 2_000)
  assert.is(arrivedIds().length, answers(await caller.received))
  await caller.close()
})

suite('a request that waits for a slot is sent to no target after its caller has ended its side', async () => {
  const responses: http.ServerResponse[] = []
  fixture.script((_, response) => { responses.push(response) })
  const running = Array.from({ length: SLOTS }, () => connect())
  for (const { socket } of running) socket.write(requestText('open'))
  await fixtureModule.until(() => responses.length === SLOTS)
  const waiting = connect()
  waiting.socket.write(requestText('waiting'))
  await fixtureModule.wait(SETTLE_MS)
  waiting.socket.end()
  await waiting.ended
  for (const response of responses) fixtureModule.respondComplete({ target: 'i-1', method: 'POST', path: '', headers: { 'request-id': 'open' }, body: '' }, response)
  await fixtureModule.wait(SETTLE_MS)
  assert.is(arrivedIds().includes('waiting'), false)
  for (const { socket } of [...running, waiting]) socket.destroy()
})

suite.run()
