import * as http from 'node:http'
import type * as net from 'node:net'
import type * as entry from '@persimmonhatch/entry'
import * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as hashes from '../src/adapters/hashes.js'
import * as requests from '../src/tasks/requests.js'

/** An address on which nothing listens. */
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

const suite = uvu.suite('startRequests')

async function listen (handler: http.RequestListener): Promise<{ readonly address: string, readonly close: () => Promise<void> }> {
  const server = http.createServer(handler)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  return { address, close: async () => { server.closeAllConnections(); await new Promise((resolve) => server.close(resolve)) } }
}

function dispatchTo (address: string, request: number): entry.event.Output {
  const receipt = { identity: 'aaaaaaaaaaaaa.1.n' } as entry.event.Receipt
  return { kind: 'dispatch', request, placement: { target: 'stock-1', address, targetKind: 'plain' }, receipt }
}

suite('sends the complete request again when the first target was unreachable', async () => {
  const received: string[] = []
  const target = await listen((incoming, response) => {
    incoming.on('data', (bytes) => received.push(`${incoming.method} ${incoming.url} ${incoming.headers['x-marker']} ${String(bytes)}`))
    incoming.on('end', () => response.end('done'))
  })
  /** Places each request first on an unreachable address, then on the target. */
  const core = {
    handle: function * (event: entry.event.Event): Generator<entry.event.Output, void> {
      if (event.kind === 'arrival') yield dispatchTo(UNREACHABLE_ADDRESS, event.arrival.request)
      if (event.kind === 'ended' && event.end.outcome === 'unreachable') yield dispatchTo(target.address, event.request)
    }
  } as unknown as entry.entry.Entry
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const task = requests.startRequests({
    core,
    httpClient,
    clock: () => performance.now(),
    beforeEvent: () => {},
    hashes: await hashes.loadHashes(),
    heldAnswerBytes: 1_000_000,
    send: () => {},
    addresses: () => [],
    count: () => {},
    onSettled: () => {},
    onDrained: () => {}
  })
  const callerServer = await listen((_, response) => {
    task.submit({
      service: 'stock',
      method: 'POST',
      path: '/reservations',
      headers: { 'x-marker': 'm1', 'x-persimmonhatch-organisation': 'maarif' },
      body: Buffer.from('{"item":1}')
    }, response, '/s/stock/reservations').then(undefined, () => response.destroy())
  })
  const response = await fetch(`http://${callerServer.address}/`)
  assert.is(await response.text(), 'done')
  assert.equal(received, ['POST /reservations m1 {"item":1}'])
  await httpClient.close()
  await Promise.all([callerServer.close(), target.close()])
})

suite.run()
