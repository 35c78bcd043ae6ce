import type * as http from 'node:http'
import * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as fixtureModule from './fixture.js'

/** Longer than any wait of these tests. */
const LONG_TIMEOUT_MS = 60_000

let fixture: fixtureModule.Fixture
const suite = uvu.suite('requests through the gateway')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(2) })
suite.after.each(async () => { await fixture.close() })

suite('a request reaches one target unchanged except for added and removed headers', async () => {
  const reply = await fixture.call('/write/7?x=%20y', { method: 'POST', body: 'text', headers: { accept: 'a/b', pin: '1', organisation: 'forged', 'expected-target': 'forged', connection: 'x-own', 'x-own': '1' } })
  assert.equal([reply.status, reply.isComplete], [200, true])
  assert.is(fixture.arrivals.length, 1)
  const [arrival] = fixture.arrivals
  assert.equal([arrival?.method, arrival?.path, arrival?.body], ['POST', '/write/7?x=%20y', 'text'])
  const headers = arrival?.headers ?? {}
  assert.equal([headers.accept, headers.organisation, headers['expected-target'], headers.pin, headers.key, headers['x-own']], ['a/b', 'maarif', arrival?.target, undefined, undefined, undefined])
  const remainingMs = Number(headers['remaining-ms'])
  assert.ok(remainingMs > 0 && remainingMs <= 1_400)
  assert.is(reply.headers.proof, arrival?.target)
})

const REFUSED_HEADS: readonly (readonly [what: string, path: string, headers: Readonly<Record<string, string>>, status: number])[] = [
  ['an unknown path', '/nothing/7', {}, 404],
  ['an unknown host', '/read/7', { host: 'other.example' }, 404],
  ['an unknown key', '/read/7', { key: 'k-2' }, 401],
  ['headers over the limit', '/read/7', { padding: 'x'.repeat(9_000) }, 431]
]

for (const [what, path, headers, status] of REFUSED_HEADS) {
  suite(`${what} is answered ${status} and reaches no target`, async () => {
    const reply = await fixture.call(path, { headers })
    assert.is(reply.status, status)
    assert.is(fixture.arrivals.length, 0)
  })
}

suite('a body over the limit is answered 413', async () => {
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'x'.repeat(20_000) })
  assert.is(reply.status, 413)
  assert.is(fixture.arrivals.length, 0)
})

suite('an anonymous route needs no key and names no organisation', async () => {
  const reply = await fixture.call('/open/7', { headers: { key: 'k-2', organisation: 'forged' } })
  assert.is(reply.status, 200)
  assert.is(fixture.arrivals[0]?.headers.organisation, undefined)
})

suite('a non-idempotent request whose target disconnects is sent once and answered 502', async () => {
  fixture.script((_, response) => { response.socket?.destroy() })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 502)
  assert.is(fixture.arrivals.length, 1)
})

suite('an idempotent request whose target disconnects is sent to another', async () => {
  fixture.script((arrival, response, count) => {
    if (count === 1) response.socket?.destroy()
    else fixtureModule.respondComplete(arrival, response)
  })
  const reply = await fixture.call('/read/7')
  assert.is(reply.status, 200)
  assert.is.not(fixture.arrivals[0]?.target, fixture.arrivals[1]?.target)
})

suite('an idempotent request is sent to no more targets than its route allows', async () => {
  fixture.script((arrival, response) => fixtureModule.respondComplete(arrival, response, 500))
  const reply = await fixture.call('/read/7')
  assert.is(reply.status, 500)
  assert.is(fixture.arrivals.length, 2)
  assert.ok(reply.headers.proof !== undefined)
})

suite('a failure of a target is forwarded unchanged if the request must not be retried', async () => {
  fixture.script((arrival, response) => fixtureModule.respondComplete(arrival, response, 500))
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.equal([reply.status, reply.body, fixture.arrivals.length], [500, `from ${fixture.arrivals[0]?.target}`, 1])
})

suite('a target that reports that it has not run the request leads to a refusal with a Retry-After', async () => {
  fixture.script((_, response) => { response.writeHead(503, { 'not-run': '1' }).end() })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 503)
  assert.ok(Number(reply.headers['retry-after']) > 0)
  assert.is(fixture.arrivals.length, 1)
})

suite('a response that belongs to another request is not forwarded', async () => {
  fixture.script((_, response) => { response.writeHead(200, { 'request-id': 'another', proof: 'p' }).end('not yours') })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.equal([reply.status, reply.body.includes('not yours')], [502, false])
})

suite('a truncated response is not forwarded as complete', async () => {
  fixture.script((arrival, response) => {
    response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: 'p', 'content-length': '100' })
    response.write('half')
    setTimeout(() => { response.socket?.destroy() }, 20)
  })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 502)
})

suite('a response without a length ends with its connection', async () => {
  fixture.script((arrival, response) => {
    response.socket?.end(`HTTP/1.1 200 OK\r\nrequest-id: ${String(arrival.headers['request-id'])}\r\nproof: p\r\n\r\nwhole`)
  })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.equal([reply.status, reply.body], [200, 'whole'])
})

suite('a response without a length whose connection is reset is not forwarded as complete', async () => {
  fixture.script((arrival, response) => {
    response.socket?.write(`HTTP/1.1 200 OK\r\nrequest-id: ${String(arrival.headers['request-id'])}\r\nproof: p\r\n\r\nhalf`)
    setTimeout(() => { response.socket?.resetAndDestroy() }, 20)
  })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 502)
})

suite('a response without a length that arrives together with a reset is not forwarded as complete', async () => {
  fixture.script((arrival, response) => {
    const { socket } = response
    socket?.write(`HTTP/1.1 200 OK\r\nrequest-id: ${String(arrival.headers['request-id'])}\r\nproof: p\r\n\r\nhalf`, () => { socket.resetAndDestroy() })
  })
  const reply = await fixture.call('/write/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 502)
})

suite('a request is answered at the timeout of its route, and the exchange with the target is aborted', async () => {
  let closed = false
  fixture.script((_, response) => { response.on('close', () => { closed = true }) })
  const reply = await fixture.call('/short/7', { method: 'POST', body: 'text' })
  assert.is(reply.status, 504)
  await fixtureModule.wait(50)
  assert.ok(closed)
})

suite('a caller that disconnects aborts the request at its target', async () => {
  let closed = false
  fixture.script((_, response) => { response.on('close', () => { closed = true }) })
  await fixture.call('/write/7', { method: 'POST', body: 'text', disconnectAfterMs: 100 })
  await fixtureModule.wait(100)
  assert.equal([fixture.arrivals.length, closed], [1, true])
})

const STAGES: readonly (readonly [stage: string, path: string, script: fixtureModule.Script])[] = [
  ['running', '/write/7', () => { /* The target doesn't respond. */ }],
  ['streaming', '/answer/7', (arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: 1\n\n')
  }]
]

for (const [stage, path, script] of STAGES) {
  suite(`the metrics show that a caller left while its request was ${stage}`, async () => {
    fixture.script(script)
    await fixture.call(path, { method: 'POST', body: 'text', disconnectAfterMs: 100 })
    await fixtureModule.wait(100)
    assert.match(fixture.gateway.metrics.text(), `callers_left_total{service="stock",stage="${stage}"} 1`)
  })
}

suite('a broken stream is resumed at another target without a gap or a duplicate', async () => {
  fixture.script((arrival, response, count) => {
    fixtureModule.beginStream(arrival, response)
    const after = Number(arrival.headers['last-event-id'] ?? 0)
    for (let id = after + 1; id <= (count === 1 ? 2 : 4); id += 1) response.write(`id: ${id}\ndata: ${id}\n\n`)
    if (count === 1) response.write('id: 3\nda')
    if (count === 1) setTimeout(() => { response.socket?.destroy() }, 30)
    else response.end()
  })
  const reply = await fixture.call('/generate/7', { method: 'POST', body: 'text' })
  assert.equal([reply.status, reply.isComplete], [200, true])
  assert.is(reply.body, [1, 2, 3, 4].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(''))
  assert.is(fixture.arrivals[1]?.headers['last-event-id'], '2')
  assert.is(reply.headers.proof, fixture.arrivals[0]?.target)
})

suite('a broken stream that must not be resumed does not appear complete', async () => {
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: 1\n\n')
    setTimeout(() => { response.socket?.destroy() }, 30)
  })
  const reply = await fixture.call('/answer/7', { method: 'POST', body: 'text' })
  assert.equal([reply.isComplete, fixture.arrivals.length], [false, 1])
})

suite('a target that is leaving gets no new requests', async () => {
  const { targets } = fixture.gateway.sharedState()
  const leaving = targets[0]?.target
  assert.ok(leaving !== undefined)
  if (leaving !== undefined) fixture.gateway.applyTarget({ id: leaving.id, era: 1, revision: 50, target: { ...leaving, leaving: true } }, 'test')
  for (let index = 0; index < 6; index += 1) await fixture.call('/read/7')
  assert.ok(fixture.arrivals.every((arrival) => arrival.target !== leaving?.id))
})

const LEAVING_RESPONSES: readonly (readonly [what: string, respond: (arrival: fixtureModule.Arrival, response: http.ServerResponse) => void])[] = [
  ['a success', (arrival, response) => {
    response.setHeader('leaving', '1')
    fixtureModule.respondComplete(arrival, response)
  }],
  ['a failure', (_, response) => { response.writeHead(500, { leaving: '1' }).end() }],
  ['a rejection', (_, response) => { response.writeHead(503, { leaving: '1', 'not-run': '1' }).end() }],
  ['a stream', (arrival, response) => {
    response.setHeader('leaving', '1')
    fixtureModule.beginStream(arrival, response)
    response.end('id: 1\ndata: a\n\n')
  }]
]

for (const [what, respond] of LEAVING_RESPONSES) {
  suite(`a target whose entry stays ready gets no new requests once it says in ${what} that it leaves`, async () => {
    let leaving: string | undefined
    fixture.script((arrival, response) => {
      leaving ??= arrival.target
      if (arrival.target === leaving) respond(arrival, response)
      else fixtureModule.respondComplete(arrival, response)
    })
    await fixture.call('/write/7', { method: 'POST' })
    for (let call = 0; call < 12; call += 1) assert.is((await fixture.call('/write/7', { method: 'POST' })).status, 200)
    assert.is(fixture.arrivals.filter(({ target }) => target === leaving).length, 1)
  })
}

for (const retryAfter of ['20', '0.9']) {
  suite(`a target that answers 503 with Retry-After: ${retryAfter} gets no request until then`, async () => {
    let pausing: string | undefined
    let pausedMs = Infinity
    fixture.script((arrival, response) => {
      pausing ??= arrival.target
      if (arrival.target !== pausing) {
        fixtureModule.respondComplete(arrival, response)
        return
      }
      pausedMs = Math.min(pausedMs, performance.now())
      response.writeHead(503, { 'retry-after': retryAfter, 'not-run': '1' }).end()
    })
    await fixture.call('/write/7', { method: 'POST' })
    for (let call = 0; call < 12; call += 1) assert.is((await fixture.call('/write/7', { method: 'POST' })).status, 200)
    if (performance.now() - pausedMs < Number(retryAfter) * 1_000) assert.is(fixture.arrivals.filter(({ target }) => target === pausing).length, 1)
  })
}

suite('a caller that still sends its body when a stopping daemon refuses the request gets the response and no reset', async () => {
  const stopped = fixture.gateway.stop()
  // A stopping daemon accepts every request for 2.7 s.
  await fixtureModule.wait(2_800)
  const caller = net.connect({ ...gatewayPackage.endpoint.parseEndpoint(fixture.frontAddress), allowHalfOpen: true })
  const errors: Error[] = []
  let received = ''
  caller.on('error', (error) => errors.push(error)).setEncoding('utf8').on('data', (text: string) => { received += text })
  caller.write('POST /answer/7 HTTP/1.1\r\nhost: shop.example\r\nkey: k-1\r\nrequest-id: r-1\r\nremaining-ms: 1400\r\ntokens: 1,9000\r\ncontent-length: 3000\r\n\r\n')
  for (let part = 0; part < 3; part += 1) {
    caller.write('x'.repeat(1_000))
    await fixtureModule.wait(100)
  }
  caller.end()
  await stopped
  assert.equal(errors, [])
  assert.match(received, /^HTTP\/1.1 503 /)
})

/** Listens with a short queue of new connections in a thread that accepts none of them. */
const SILENT_SERVER = `
  const { parentPort } = require('node:worker_threads')
  const server = require('node:net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port)
    Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0)
  })
`

/** Starts a server that answers no new connection; `close` stops it. */
async function openUnreachableServer (): Promise<{ readonly address: string, readonly close: () => Promise<void> }> {
  const worker = new workerThreads.Worker(SILENT_SERVER, { eval: true })
  const port = await new Promise<number>((resolve) => { worker.once('message', resolve) })
  const queued: net.Socket[] = []
  const isQueueFull = (): Promise<boolean> => new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => { resolve(false) }).on('error', () => {})
    queued.push(socket)
    setTimeout(() => { resolve(true) }, 100)
  })
  while (!await isQueueFull()) { /* The kernel has queued the connection. */ }
  return {
    address: `127.0.0.1:${port}`,
    close: async () => {
      for (const socket of queued) socket.destroy()
      await worker.terminate()
    }
  }
}

suite('requests whose target is unreachable wait for a free slot at another target', async () => {
  const routes = fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TIMEOUT_MS }))
  fixture.gateway.adopt({ ...fixtureModule.DOCUMENT, version: 2, routes, services: [{ name: 'stock', connections: 1_000, engine: undefined }] }, 'test')
  const server = await openUnreachableServer()
  const target = { id: 'i-unreachable', service: 'stock', address: server.address, availabilityZone: 'casa-a', version: 'v1', slots: 24, leaving: false }
  fixture.gateway.applyTarget({ id: target.id, era: 1, revision: 50, target }, 'test')
  const inFlight = new Map<string, number>()
  let maxInFlight = 0
  fixture.script((arrival, response) => {
    const running = (inFlight.get(arrival.target) ?? 0) + 1
    inFlight.set(arrival.target, running)
    maxInFlight = Math.max(maxInFlight, running)
    setTimeout(() => {
      inFlight.set(arrival.target, (inFlight.get(arrival.target) ?? 0) - 1)
      fixtureModule.respondComplete(arrival, response)
    }, 50)
  })
  const headers = { 'remaining-ms': String(LONG_TIMEOUT_MS) }
  const replies = await Promise.all(Array.from({ length: 36 }, () => fixture.call('/write/7', { method: 'POST', body: 'text', headers })))
  await server.close()
  assert.equal([...new Set(replies.map((reply) => reply.status))], [200])
  // Each of the other targets has six slots.
  assert.ok(maxInFlight <= 6, `${maxInFlight} requests at a target`)
})

suite('an organisation over its cap gets 429 and a Retry-After', async () => {
  const replies = [await fixture.call('/read/7', { headers: { tokens: '400,100' } }), await fixture.call('/read/7', { headers: { tokens: '40000,100' } })]
  assert.equal(replies.map((reply) => reply.status), [200, 429])
  assert.ok(Number(replies[1]?.headers['retry-after']) > 0)
})

suite('an older document is not adopted', async () => {
  fixture.gateway.adopt({ ...fixtureModule.DOCUMENT, version: 5, routes: [] }, 'test')
  fixture.gateway.adopt({ ...fixtureModule.DOCUMENT, version: 4 }, 'test')
  assert.is((await fixture.call('/read/7')).status, 404)
})

/** Registers the second target with another version of its software. */
function changeVersion (): void {
  const target = fixture.gateway.sharedState().targets.find(({ id }) => id === 'i-2')?.target
  if (target !== undefined) fixture.gateway.applyTarget({ id: 'i-2', era: 1, revision: 50, target: { ...target, version: 'v2' } }, 'test')
}

suite('a stream that breaks off is not continued at another version', async () => {
  changeVersion()
  fixture.script((arrival, response) => {
    fixtureModule.beginStream(arrival, response)
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => { response.socket?.destroy() }, 20)
  })
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.status, reply.isComplete], [200, false])
  assert.is(new Set(fixture.arrivals.map(({ target }) => target)).size, 1)
})

suite('a stream that its caller resumes goes on at the version that began it', async () => {
  changeVersion()
  for (let stream = 0; stream < 8; stream += 1) {
    fixture.script((arrival, response) => {
      fixtureModule.beginStream(arrival, response)
      response.write('id: 1\ndata: a\n\n')
      setTimeout(() => { response.socket?.destroy() }, 10)
    })
    await fixture.call('/generate/7', { headers: { 'request-id': `begun-${stream}` } })
    const began = fixture.arrivals[0]?.target
    fixture.script((arrival, response) => {
      fixtureModule.beginStream(arrival, response)
      response.end('id: 2\ndata: b\n\n')
    })
    const reply = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: `begun-${stream}` } })
    assert.equal([reply.status, reply.isComplete, fixture.arrivals.map(({ target }) => target)], [200, true, [began]])
  }
})

suite('a resumed stream that no daemon knows is refused as not run', async () => {
  const reply = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: 'unknown' } })
  assert.equal([reply.status, fixture.arrivals.length], [503, 0])
  assert.ok(Number(reply.headers['retry-after']) > 0)
})

suite.run()
