/**
 * Planned stops amid requests: each that was accepted gets an answer, whole unless it was begun and the grace period ends.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('planned stop')

/** Larger than the buffers of a connection. */
const ANSWER = 'x'.repeat(12_000_000)

/** Time from the start of the stop until the slow caller reads on, ms: later than the listener closes. */
const READ_AFTER_MS = 5_600

const SLOTS = 6
const LONG = { 'remaining-ms': '60000' }
const DOCUMENT = { ...fixtureModule.DOCUMENT, routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: 60_000, targetLatencyMs: 60_000 })) }

/** Sends a request whose answer is not read before `readAfterMs`; returns the number of bytes, undefined if it is not complete. */
function callSlowly (frontAddress: string, readAfterMs: number): Promise<number | undefined> {
  const { host, port } = gateway.endpoint.parseEndpoint(frontAddress)
  return new Promise((resolve) => {
    const agent = new http.Agent({ keepAlive: true })
    const request = http.request({ host, port, path: '/write/7', method: 'POST', headers: { host: 'shop.example', key: 'k-1', 'request-id': 'slow', ...LONG }, agent })
    request.on('response', (response) => {
      let bytes = 0
      response.once('data', () => {
        response.pause()
        setTimeout(() => { response.resume() }, readAfterMs)
      })
      response.on('data', (chunk: Buffer) => { bytes += chunk.length })
      response.on('end', () => { resolve(response.complete ? bytes : undefined) }).on('error', () => { resolve(undefined) })
    })
    request.on('error', () => { resolve(undefined) })
    request.end()
  })
}

// A request counted as ended when its answer was handed over, and the connection as idle (review/3).
suite('an answer that its caller still reads is sent whole', async () => {
  const fixture = await fixtureModule.openFixture(1, DOCUMENT)
  fixture.script((arrival, response) => {
    response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: 'p' })
    response.end(ANSWER)
  })
  const answer = callSlowly(fixture.frontAddress, READ_AFTER_MS)
  while (fixture.arrivals.length === 0) await fixtureModule.wait(10)
  await fixtureModule.wait(300)
  const idle = net.connect(gateway.endpoint.parseEndpoint(fixture.frontAddress)).on('data', () => {})
  const isIdleClosed = new Promise<boolean>((resolve) => { idle.once('end', () => { resolve(true) }) })
  await fixture.gateway.stop()
  assert.is(await answer, ANSWER.length)
  assert.is(await isIdleClosed, true)
  await fixture.close()
})

// The process ended without a word to requests that waited or whose target was at work (left out of the review).
suite('at the end of the grace period, each request gets the answer that is true of it', async () => {
  const fixture = await fixtureModule.openFixture(1, DOCUMENT)
  fixture.script((arrival, response) => {
    if (!arrival.path.startsWith('/answer/')) return
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: x\n\n')
  })
  const stream = fixture.call('/answer/7', { method: 'POST', headers: LONG })
  const running = Array.from({ length: SLOTS - 1 }, () => fixture.call('/write/7', { method: 'POST', headers: LONG }))
  while (fixture.arrivals.length < SLOTS) await fixtureModule.wait(10)
  const waiting = fixture.call('/write/7', { method: 'POST', headers: LONG })
  let answered = 0
  for (const reply of [...running, waiting]) reply.then(() => { answered += 1 }, () => {})
  await fixture.gateway.stop()
  // The process exits now.
  assert.is(answered, running.length + 1)
  assert.equal((await Promise.all(running)).map(({ status, isComplete }) => [status, isComplete]), running.map(() => [502, true]))
  const refused = await waiting
  assert.equal([refused.status, refused.isComplete, Number(refused.headers['retry-after']) > 0], [503, true, true])
  assert.equal([(await stream).status, (await stream).isComplete], [200, false])
  assert.is(fixture.arrivals.length, SLOTS)
  await fixture.close()
})

suite('a stream that is cut does not look complete to a caller of HTTP/1.0, whose answers have no chunks', async () => {
  const fixture = await fixtureModule.openFixture(1)
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: x\n\n')
    setTimeout(() => { response.socket?.resetAndDestroy() }, 50)
  })
  const socket = net.connect(gateway.endpoint.parseEndpoint(fixture.frontAddress))
  socket.write('POST /answer/7 HTTP/1.0\r\nhost: shop.example\r\nkey: k-1\r\nrequest-id: r\r\ncontent-length: 0\r\n\r\n')
  const end = await new Promise<string>((resolve) => { socket.on('data', () => {}).on('end', () => { resolve('end') }).on('error', () => { resolve('reset') }) })
  assert.is(end, 'reset')
  await fixture.close()
})

suite.run()
