import * as http from 'node:http'
import * as net from 'node:net'
import type * as entry from '@persimmonhatch/entry'
import * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as responseRecord from '../src/dispatch/response-record.js'
import * as dispatcher from '../src/dispatch/dispatcher.js'

const suite = uvu.suite('dispatch')

/** Dispatches to a service that counts its requests, with a clock that advances by `delayMs` before the first byte. */
async function dispatchAfter (delayMs: number): Promise<{ readonly outcome: string, readonly received: number }> {
  let received = 0
  const server = http.createServer((_, response) => {
    received += 1
    response.end('ok')
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const times = [0]
  const end = await dispatcher.dispatch({
    httpClient,
    clock: () => times.shift() ?? delayMs,
    placement: { target: 'stock-1', address, targetKind: 'plain' },
    receipt: {} as dispatcher.Options['receipt'],
    targetRequest: { method: 'POST', path: '/reservations', headers: {}, body: Buffer.from('{}'), promptTokens: 1 },
    record: responseRecord.createResponseRecord(true),
    signal: new AbortController().signal
  })
  await httpClient.close()
  await new Promise((resolve) => server.close(resolve))
  return { outcome: end.outcome, received }
}

suite('sends the request when the connection is ready in time', async () => {
  assert.equal(await dispatchAfter(10), { outcome: 'finished', received: 1 })
})

suite('sends nothing when the process was suspended before the first byte was sent', async () => {
  assert.equal(await dispatchAfter(dispatcher.DISPATCH_VALIDITY_MS + 1), { outcome: 'unreachable', received: 0 })
})

/** Dispatches to an engine that does not stream its response. */
async function dispatchWithoutStream (body: string): Promise<entry.event.DispatchEnd> {
  const server = http.createServer((_, response) => response.end(body))
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  let nowMs = 0
  const end = await dispatcher.dispatch({
    httpClient,
    clock: () => { nowMs += 1; return nowMs },
    placement: { target: 'engine-1', address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, targetKind: 'model' },
    receipt: {} as dispatcher.Options['receipt'],
    targetRequest: { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}'), promptTokens: 7 },
    record: responseRecord.createResponseRecord(true),
    signal: new AbortController().signal
  })
  await httpClient.close()
  await new Promise((resolve) => server.close(resolve))
  return end
}

suite('reports no first-token time and no cached tokens when a response that is not streamed has none', async () => {
  const end = await dispatchWithoutStream('{"usage":{"prompt_tokens":9,"completion_tokens":20}}')
  assert.is(end.firstTokenMs, 0)
  assert.is(end.answerTokens, 20)
  assert.is(end.cachedTokens, undefined)
})

/** Dispatches to an engine that resets its stream after one event, and returns the outcome. */
async function dispatchStream (afterReset: 'is down' | 'has no such stream'): Promise<string> {
  const server = http.createServer((incoming, response) => {
    if (incoming.method === 'GET') {
      response.writeHead(404)
      response.end()
      return
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write('data: {"id":"s1"}\n\n', () => {
      if (afterReset === 'is down') server.close()
      incoming.socket.destroy()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const end = await dispatcher.dispatch({
    httpClient,
    clock: () => 0,
    placement: { target: 'engine-1', address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, targetKind: 'model' },
    receipt: {} as dispatcher.Options['receipt'],
    targetRequest: { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}'), promptTokens: 1 },
    record: responseRecord.createResponseRecord(true),
    signal: new AbortController().signal
  })
  await httpClient.close()
  server.closeAllConnections()
  server.close()
  return end.outcome
}

suite('distinguishes an engine that crashed during a stream from one that interrupted it', async () => {
  assert.is(await dispatchStream('is down'), 'crashed')
  assert.is(await dispatchStream('has no such stream'), 'incomplete')
})

/** Dispatches to a service that does this with a connection on which a request has arrived. */
async function dispatchTo (respond: (socket: net.Socket, server: net.Server) => void): Promise<unknown> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket, server) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const { outcome, isTargetUp } = await dispatcher.dispatch({
    httpClient,
    clock: () => 0,
    placement: { target: 'stock-1', address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, targetKind: 'plain' },
    receipt: {} as dispatcher.Options['receipt'],
    targetRequest: { method: 'POST', path: '/reservations', headers: {}, body: Buffer.from('{}'), promptTokens: 1 },
    record: responseRecord.createResponseRecord(true),
    signal: new AbortController().signal
  })
  await httpClient.close()
  server.close()
  return { outcome, isTargetUp }
}

suite('distinguishes a target that went down from one that only reset a connection', async () => {
  const goDown = (socket: net.Socket, server: net.Server): void => {
    server.close()
    socket.resetAndDestroy()
  }
  assert.equal(await dispatchTo(goDown), { outcome: 'crashed', isTargetUp: false })
  assert.equal(await dispatchTo((socket) => { socket.resetAndDestroy() }), { outcome: 'crashed', isTargetUp: true })
})

// undici takes a reset for the regular end of a response without a length.
for (const afterMs of [0, 50]) {
  suite(`a plain response without a length that is reset after ${afterMs} ms does not look complete`, async () => {
    const end = await dispatchTo((socket) => { socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => { setTimeout(() => { socket.resetAndDestroy() }, afterMs) }) })
    assert.is.not((end as { readonly outcome: string }).outcome, 'finished')
  })
}

suite.run()
