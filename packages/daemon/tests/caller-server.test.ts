import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as callerServer from '../src/http/caller-server.js'
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

suite('closes while callers hold connections that carry no request', async () => {
  const port = await freePort()
  const server = await callerServer.openCallerServer({
    listen: `127.0.0.1:${port}`,
    limits: { bodyBytes: 1_000, headerBytes: 1_000, requests: 10, heldAnswerBytes: 1_000, requestReadMs: 1_000 },
    addresses: () => localResponses.errorResponse('no-authority', {}),
    explain: () => undefined,
    status: () => ({}),
    ready: () => true,
    submit: async () => {},
    count: () => {}
  })
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

suite.run()
