import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as callerServer from '../src/http/caller-server.js'
import type * as readArrival from '../src/http/read-arrival.js'
import * as localResponses from '../src/http/local-responses.js'

const CLOSE_TIMEOUT_MS = 10_000

async function freePort (): Promise<number> {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

const suite = uvu.suite('openCallerServer')

function openServer (port: number, submit: callerServer.Options['submit'] = async () => {}, headerBytes = 1_000, count: callerServer.Options['count'] = () => {}): Promise<callerServer.CallerServer> {
  return callerServer.openCallerServer({
    listen: `127.0.0.1:${port}`,
    limits: { bodyBytes: 1_000, headerBytes, requests: 10, heldAnswerBytes: 1_000, requestReadMs: 1_000 },
    addresses: () => localResponses.errorResponse('no-authority', {}),
    explain: () => undefined,
    status: () => ({}),
    ready: () => true,
    submit,
    count
  })
}

suite('closes while callers hold connections that carry no request', async () => {
  const port = await freePort()
  const server = await openServer(port)
  const unused = net.connect(port, '127.0.0.1')
  await new Promise((resolve) => unused.once('connect', resolve))
  assert.is((await fetch(`http://127.0.0.1:${port}/healthz`)).status, 200)
  const closed = await Promise.race([
    server.close().then(() => true),
    new Promise((resolve) => setTimeout(() => resolve(false), CLOSE_TIMEOUT_MS).unref())
  ])
  unused.destroy()
  assert.is(closed, true)
})

const OVERSIZED_BODIES: readonly (readonly [framing: string, header: string, parts: readonly string[]])[] = [
  ['with a length', 'content-length: 3000', ['x'.repeat(1_000), 'x'.repeat(1_000), 'x'.repeat(1_000)]],
  ['in chunks', 'transfer-encoding: chunked', [`5dc\r\n${'x'.repeat(1_500)}\r\n`, `5dc\r\n${'x'.repeat(1_500)}\r\n`, '0\r\n\r\n']]
]

for (const [framing, header, parts] of OVERSIZED_BODIES) {
  suite(`a caller that still sends an oversized body ${framing} when it is refused gets the response and no reset`, async () => {
    const port = await freePort()
    const server = await openServer(port)
    const caller = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    const errors: Error[] = []
    let received = ''
    caller.on('error', (error) => errors.push(error))
    const closed = new Promise((resolve) => caller.once('close', resolve))
    const responded = new Promise<void>((resolve) => {
      caller.setEncoding('utf8').on('data', (text: string) => {
        received += text
        if (received.includes('body-too-large')) resolve()
      })
    })
    caller.write(`POST /s/support/x HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`)
    for (const part of parts) {
      caller.write(part)
      await Promise.race([responded, closed])
      // Time for a reset to arrive, if one is sent.
      await new Promise((resolve) => setTimeout(resolve, 100))
    }
    caller.end()
    await closed
    await server.close()
    assert.equal(errors, [])
    assert.match(received, /^HTTP\/1.1 413 /)
  })
}

/** Returns a handler that answers each request and records its path. */
function recordPaths (paths: string[]): callerServer.Options['submit'] {
  return async ({ path }, response) => {
    paths.push(path)
    response.writeHead(200, { 'content-length': 2 })
    response.end('ok')
  }
}

// Guards against a request that is submitted although the response before it closes the connection, so that it has no answer.
suite('a request that is pipelined behind a refused one is not submitted', async () => {
  const port = await freePort()
  const paths: string[] = []
  const server = await openServer(port, recordPaths(paths))
  const caller = net.connect({ port, host: '127.0.0.1' })
  let received = ''
  caller.setEncoding('utf8').on('data', (text: string) => { received += text })
  caller.write(`POST /s/support/first HTTP/1.1\r\nhost: a\r\ncontent-length: 1500\r\n\r\n${'x'.repeat(1_500)}POST /s/support/second HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody`)
  await new Promise((resolve) => caller.once('close', resolve))
  assert.equal([paths, received.split('HTTP/1.1').length - 1], [[], 1])
  await server.close()
})

suite('a request that arrives while the server closes its idle connection is not submitted', async () => {
  const port = await freePort()
  const paths: string[] = []
  const server = await openServer(port, recordPaths(paths))
  const caller = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  caller.on('error', () => {})
  const request = (path: string): string => `POST /s/support/${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody`
  caller.write(request('kept'))
  await new Promise((resolve) => caller.once('data', resolve))
  const closed = server.close()
  await new Promise((resolve) => caller.once('end', resolve).once('close', resolve))
  caller.write(request('late'))
  await closed
  assert.equal(paths, ['/kept'])
  caller.destroy()
})

// Guards against header lines that are lost behind the thousandth, with the identity of the request or the framing of its body.
suite('a request with 1,100 header lines within the limit is submitted with all of them and its body', async () => {
  const port = await freePort()
  const submitted: Omit<readArrival.CallerRequest, 'request'>[] = []
  const server = await openServer(port, async (request, response) => {
    submitted.push(request)
    response.end('ok')
  }, 16_384)
  const caller = net.connect({ port, host: '127.0.0.1' })
  const padding = Array.from({ length: 1_100 }, (_, index) => `s${index}: 1\r\n`).join('')
  caller.write(`POST /s/support/x HTTP/1.1\r\n${padding}host: a\r\nidempotency-key: k-1\r\ncontent-length: 4\r\n\r\nbody`)
  await new Promise((resolve) => caller.once('data', resolve))
  const [request] = submitted
  assert.equal([Object.keys(request?.headers ?? {}).length, request?.headers['idempotency-key'], Buffer.from(request?.body ?? []).toString()], [1_103, 'k-1', 'body'])
  caller.destroy()
  await server.close()
})

// Guards against a refusal in the place of the response to a request that runs.
suite('a request that is too large, behind another one, leaves that one its response', async () => {
  const port = await freePort()
  const server = await openServer(port, async (_, response) => {
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    response.writeHead(200, { 'content-length': 3 })
    response.end('ran')
  })
  const caller = net.connect({ port, host: '127.0.0.1' })
  let received = ''
  caller.setEncoding('utf8').on('data', (text: string) => { received += text })
  caller.write(`POST /s/support/first HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbodyPOST /s/support/second HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(100_000)}\r\n\r\n`)
  await new Promise((resolve) => caller.once('close', resolve))
  assert.equal(received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 431'])
  assert.match(received, /\r\n\r\nran/)
  await server.close()
})

suite('a request whose chunks have no size gets one response, and counts as no fault', async () => {
  const port = await freePort()
  const counted: string[] = []
  const server = await openServer(port, async () => {}, 1_000, (counter) => { counted.push(counter) })
  const caller = net.connect({ port, host: '127.0.0.1' })
  let received = ''
  caller.setEncoding('utf8').on('data', (text: string) => { received += text })
  caller.write('POST /s/support/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\nno size\r\n')
  await new Promise((resolve) => caller.once('close', resolve))
  await server.close()
  assert.equal([received.match(/HTTP\/1.1 \d+/g), counted], [['HTTP/1.1 400'], ['requests.unreadable']])
})

suite.run()
