import * as assert from 'uvu/assert'
import * as fastCheck from 'fast-check'
import * as net from 'node:net'
import * as undici from 'undici'
import * as uvu from 'uvu'
import * as httpClient from '../src/http-client.js'

const LARGE_BODY = 'x'.repeat(2_000_000)
const METHODS = ['GET', 'PUT', 'DELETE', 'POST'] as const
const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const RESET_POINTS = ['on connection', 'on the first bytes', 'after the whole request', 'after part of the response'] as const

type ResetPoint = typeof RESET_POINTS[number]

/** Server that records the request lines of all connections. `onData` determines the response. */
class RecordingServer {
  readonly lines: string[] = []
  connections = 0
  readonly server: net.Server

  constructor (onConnection: (socket: net.Socket) => void, onData: (socket: net.Socket, text: string, arrivals: RecordingServer) => void) {
    this.server = net.createServer((socket) => {
      this.connections += 1
      let text = ''
      socket.on('error', () => undefined)
      socket.on('data', (chunk) => {
        this.lines.push(...chunk.toString('latin1').match(/[A-Z]+ \/\S+ HTTP\/1\.1/g) ?? [])
        text += chunk.toString('latin1')
        onData(socket, text, this)
        if (text.endsWith('\r\n\r\n')) text = ''
      })
      onConnection(socket)
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }
}

function client (limit: Partial<httpClient.Options> = {}): undici.Agent {
  return httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0, ...limit })
}

async function attempt (url: string, options: NonNullable<Parameters<typeof undici.request>[1]>): Promise<string> {
  try {
    const response = await undici.request(url, options)
    return `${response.statusCode} ${await response.body.text()}`
  } catch {
    return 'failed'
  }
}

function resetAt (reset: ResetPoint): RecordingServer {
  return new RecordingServer(
    (socket) => { if (reset === 'on connection') socket.resetAndDestroy() },
    (socket, text) => {
      if (reset === 'on the first bytes') socket.resetAndDestroy()
      const isComplete = text.endsWith('\r\n\r\n') || text.length > LARGE_BODY.length
      if (reset === 'after the whole request' && isComplete) socket.resetAndDestroy()
      if (reset === 'after part of the response' && isComplete) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npart', () => socket.resetAndDestroy())
    }
  )
}

const retries = uvu.suite('no request is retried')

for (const reset of RESET_POINTS) {
  for (const method of METHODS) {
    retries(`${method}, reset ${reset}`, async () => {
      const arrivals = resetAt(reset)
      const url = await arrivals.listen()
      const agent = client()
      const body = method === 'PUT' || method === 'POST' ? LARGE_BODY : null
      assert.is(await attempt(`${url}/one`, { dispatcher: agent, method, body }), 'failed')
      // A request sent afterwards shows that nothing of the first is still in transit.
      await attempt(`${url}/two`, { dispatcher: agent, method: 'GET' })
      await agent.close()
      arrivals.server.close()
      assert.ok(arrivals.lines.filter((line) => line.includes('/one')).length <= 1)
      assert.is(arrivals.connections, 2)
    })
  }
}

for (const method of METHODS) {
  retries(`${method} on a reused connection that is reset when its bytes arrive`, async () => {
    const arrivals = new RecordingServer(() => undefined, (socket, _text, { lines }) => {
      if (lines.length === 1) socket.write(OK)
      else socket.resetAndDestroy()
    })
    const url = await arrivals.listen()
    const agent = client({ connections: 1 })
    assert.is(await attempt(`${url}/first`, { dispatcher: agent }), '200 ok')
    assert.is(await attempt(`${url}/one`, { dispatcher: agent, method }), 'failed')
    await agent.close()
    arrivals.server.close()
    assert.is(arrivals.connections, 1, 'the second request was sent on the reused connection')
    assert.is(arrivals.lines.filter((line) => line.includes('/one')).length, 1)
  })

  retries(`${method} on a reused connection that the server closes at the same moment`, async () => {
    const arrivals = new RecordingServer(() => undefined, (socket) => { socket.end(OK) })
    const url = await arrivals.listen()
    const agent = client()
    const results: string[] = []
    for (let index = 0; index < 50; index += 1) results.push(await attempt(`${url}/${index}`, { dispatcher: agent, method }))
    await agent.close()
    arrivals.server.close()
    for (const [index, result] of results.entries()) {
      const count = arrivals.lines.filter((line) => line.includes(`/${index} `)).length
      assert.ok(count <= 1)
      if (result !== 'failed') assert.is(count, 1)
    }
  })

  retries(`${method}s waiting for one connection that is reset after every third`, async () => {
    let completed = 0
    const arrivals = new RecordingServer(() => undefined, (socket) => {
      completed += 1
      if (completed % 3 === 0) socket.resetAndDestroy()
      else socket.write(OK)
    })
    const url = await arrivals.listen()
    const agent = client({ connections: 1 })
    const results = await Promise.all(Array.from({ length: 30 }, async (_, index) => await attempt(`${url}/${index}`, { dispatcher: agent, method })))
    await agent.close()
    arrivals.server.close()
    for (const index of results.keys()) assert.is(arrivals.lines.filter((line) => line.includes(`/${index} `)).length, 1)
    assert.is(results.filter((result) => result === 'failed').length, 10)
  })

  retries(`${method} that the caller aborts after it arrived`, async () => {
    const abort = new AbortController()
    const arrivals = new RecordingServer(() => undefined, (socket, _text, { lines }) => {
      if (lines.length === 1) abort.abort()
      else socket.write(OK)
    })
    const url = await arrivals.listen()
    const agent = client({ connections: 1 })
    const aborted = attempt(`${url}/one`, { dispatcher: agent, method, signal: abort.signal })
    const next = attempt(`${url}/two`, { dispatcher: agent, method })
    assert.equal([await aborted, await next], ['failed', '200 ok'])
    await agent.close()
    arrivals.server.close()
    assert.is(arrivals.lines.filter((line) => line.includes('/one')).length, 1)
  })

  retries(`${method} whose connection is closed after a response before the whole request is read`, async () => {
    const arrivals = new RecordingServer(() => undefined, (socket) => {
      socket.end('HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
    })
    const url = await arrivals.listen()
    const agent = client({ connections: 1 })
    const body = method === 'PUT' || method === 'POST' ? LARGE_BODY : null
    const results = await Promise.all([0, 1, 2].map(async (index) => await attempt(`${url}/${index}`, { dispatcher: agent, method, body })))
    await agent.close()
    arrivals.server.close()
    for (const [index, result] of results.entries()) {
      assert.match(result, /^(503 |failed)$/)
      assert.is(arrivals.lines.filter((line) => line.includes(`/${index} `)).length, 1)
    }
  })

  retries(`${method} whose response is a redirect`, async () => {
    const arrivals = new RecordingServer(() => undefined, (socket) => { socket.write('HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n') })
    const url = await arrivals.listen()
    const agent = client()
    assert.is(await attempt(`${url}/one`, { dispatcher: agent, method }), '307 ')
    await agent.close()
    arrivals.server.close()
    assert.is(arrivals.lines.length, 1)
  })
}

const RESPONSE_MODES = ['keep', 'close', 'reset', 'truncate', 'reset later'] as const

type ResponseMode = typeof RESPONSE_MODES[number]

/** Responds to the n-th request in the n-th mode. */
function respondInTurn (modes: readonly ResponseMode[]): RecordingServer {
  let next = 0
  return new RecordingServer(() => undefined, (socket, text) => {
    if (!text.endsWith('\r\n\r\n')) return
    const mode = modes[next % modes.length]
    next += 1
    if (mode === 'reset') socket.resetAndDestroy()
    else if (mode === 'close') socket.end(OK)
    else if (mode === 'truncate') socket.end(OK.slice(0, -1))
    else socket.write(OK, () => { if (mode === 'reset later') socket.resetAndDestroy() })
  })
}

retries('any mix of responses and lost connections', async () => {
  const inputs = fastCheck.tuple(fastCheck.array(fastCheck.constantFrom(...RESPONSE_MODES), { minLength: 1, maxLength: 8 }), fastCheck.array(fastCheck.constantFrom(...METHODS), { minLength: 1, maxLength: 30 }), fastCheck.integer({ min: 1, max: 4 }))
  await fastCheck.assert(fastCheck.asyncProperty(inputs, async ([modes, methods, connections]) => {
    const arrivals = respondInTurn(modes)
    const url = await arrivals.listen()
    const agent = client({ connections })
    const results = await Promise.all(methods.map(async (method, index) => await attempt(`${url}/${index}`, { dispatcher: agent, method })))
    await agent.close()
    arrivals.server.close()
    for (const [index, result] of results.entries()) {
      const count = arrivals.lines.filter((line) => line.includes(`/${index} `)).length
      assert.ok(count <= 1 && (result === 'failed' || count === 1), `request ${index}: ${result}, ${count} arrivals`)
    }
  }), { seed: 20_261_203, numRuns: 100 })
})

retries.run()

const hook = uvu.suite('dispatch hook')

hook('is called before the first byte', async () => {
  const order: string[] = []
  const arrivals = new RecordingServer(() => undefined, (socket) => {
    order.push('arrived')
    socket.write(OK)
  })
  const url = await arrivals.listen()
  const agent = client()
  await attempt(url, { dispatcher: httpClient.withDispatchHook(agent, () => order.push('dispatched')) })
  await agent.close()
  arrivals.server.close()
  assert.equal(order, ['dispatched', 'arrived'])
})

hook('is not called when the connection is refused', async () => {
  const arrivals = new RecordingServer(() => undefined, () => undefined)
  const url = await arrivals.listen()
  await new Promise((resolve) => { arrivals.server.close(resolve) })
  const agent = client()
  let dispatched = false
  const result = await attempt(url, { dispatcher: httpClient.withDispatchHook(agent, () => { dispatched = true }), method: 'POST', body: 'x' })
  await agent.close()
  assert.is(result, 'failed')
  assert.not(dispatched)
})

hook.run()
