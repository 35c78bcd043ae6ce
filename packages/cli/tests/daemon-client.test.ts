import * as http from 'node:http'
import type * as net from 'node:net'
import * as undici from 'undici'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as daemonClient from '../src/adapters/daemon-client.js'

const TIMEOUT_MS = 10_000

interface Context {
  readonly client: undici.Agent
  readonly server: http.Server
}

const suite = uvu.suite<Context>('daemonClient', {
  client: new undici.Agent({ pipelining: 1 }),
  server: http.createServer((request, response) => {
    if (request.url === '/cut') return response.socket?.destroy()
    response.statusCode = request.url === '/v1/status' ? 200 : 404
    return response.end(request.url === '/text' ? 'not JSON' : '{"path":1}')
  })
})

suite.before(async ({ server }) => {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
})

suite.after(async ({ client, server }) => {
  await client.destroy()
  server.close()
})

function addressOf (server: http.Server): string {
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

suite('returns status and body', async ({ client, server }) => {
  const queryDaemon = daemonClient.createDaemonClient(client, TIMEOUT_MS)
  assert.equal((await queryDaemon(addressOf(server), '/v1/status'))._unsafeUnwrap(), { status: 200, body: { path: 1 } })
  assert.equal((await queryDaemon(addressOf(server), '/text'))._unsafeUnwrap(), { status: 404, body: undefined })
})

suite('names a daemon that closes the connection or is unreachable', async ({ client, server }) => {
  const queryDaemon = daemonClient.createDaemonClient(client, TIMEOUT_MS)
  const cut = (await queryDaemon(addressOf(server), '/cut'))._unsafeUnwrapErr()
  const closed = (await queryDaemon('127.0.0.1:1', '/v1/status'))._unsafeUnwrapErr()
  assert.is(cut.exit, 'daemonUnreachable')
  assert.match(closed.message, /127.0.0.1:1 did not answer: .*Check that persimmonhatchd runs there/)
})

suite.run()
