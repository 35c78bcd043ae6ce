import * as http from 'node:http'
import * as net from 'node:net'
import type * as entry from '@persimmonhatch/entry'
import * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as responseRecord from '../src/dispatch/response-record.js'
import * as dispatcher from '../src/dispatch/dispatcher.js'

const suite = uvu.suite('dispatch')

/** Dispatches to a service that counts its requests; the clock jumps before the first byte. */
async function dispatchAfter (delayMs: number): Promise<{ readonly outcome: string, readonly received: number }> {
  let received = 0
  const server = http.createServer((_, response) => {
    received += 1
    response.end('ok')
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const httpClient = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
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

suite('sends at once', async () => {
  assert.equal(await dispatchAfter(10), { outcome: 'finished', received: 1 })
})

suite('sends nothing when the process was suspended before the first byte', async () => {
  assert.equal(await dispatchAfter(dispatcher.DISPATCH_VALIDITY_MS + 1), { outcome: 'unreachable', received: 0 })
})

/** Dispatches to an engine whose answer is whole. */
async function dispatchWithoutStream (body: string): Promise<entry.event.DispatchEnd> {
  const server = http.createServer((_, response) => response.end(body))
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
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

suite('claims no first token and no cached tokens of a whole answer that does not tell', async () => {
  const end = await dispatchWithoutStream('{"usage":{"prompt_tokens":9,"completion_tokens":20}}')
  assert.is(end.firstTokenMs, 0)
  assert.is(end.answerTokens, 20)
  assert.is(end.cachedTokens, undefined)
})

/** Dispatches to an engine that ends its stream after one event, and sees whether it can be asked to resume. */
async function dispatchStream (afterReset: 'is gone' | 'knows no such stream'): Promise<string> {
  const server = http.createServer((incoming, response) => {
    if (incoming.method === 'GET') {
      response.writeHead(404)
      response.end()
      return
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write('data: {"id":"s1"}\n\n', () => {
      if (afterReset === 'is gone') server.close()
      incoming.socket.destroy()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
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

suite('tells an engine that is gone in the middle of a stream from one that cut it', async () => {
  assert.is(await dispatchStream('is gone'), 'crashed')
  assert.is(await dispatchStream('knows no such stream'), 'incomplete')
})

/** Dispatches to a service that resets the connection, and goes down with it or not. */
async function dispatchReset (goesDown: boolean): Promise<unknown> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      if (goesDown) server.close()
      socket.resetAndDestroy()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const httpClient = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
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

suite('tells a target that went down from one that lost a connection', async () => {
  assert.equal(await dispatchReset(true), { outcome: 'crashed', isTargetUp: false })
  assert.equal(await dispatchReset(false), { outcome: 'crashed', isTargetUp: true })
})

suite.run()
