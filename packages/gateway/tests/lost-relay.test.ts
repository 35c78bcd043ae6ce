/**
 * Requests whose connection a peer carries, and the peer ends: nothing follows from that for the target.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as relayServer from '../src/relay-server.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('lost relay')

interface Carrier {
  readonly address: string
  readonly carried: () => number
  /** Ends all connections in the regular way, as the end of the process does. */
  readonly end: () => void
  readonly close: () => void
}

async function startCarrier (): Promise<Carrier> {
  const sockets = new Set<net.Socket>()
  const server = http.createServer().on('connection', (socket) => { sockets.add(socket.on('error', () => {})) })
  const relay = relayServer.serveRelay(server, { isPeer: () => true, isTarget: () => true, isClosed: () => false, countResult: () => {} })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    carried: relay.open,
    end: () => { for (const socket of sockets) socket.end() },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Requests by the kind of their route; what the caller gets when the peer ends amid the response, and the number of runs. */
const CASES: readonly (readonly [kind: string, path: string, status: number, isComplete: boolean, runs: number])[] = [
  ['a resumable stream', '/generate/7', 200, true, 2],
  ['a stream that can not be resumed', '/answer/7', 200, false, 1],
  ['an idempotent request', '/read/7', 200, true, 2],
  ['a non-idempotent request', '/write/7', 502, true, 1]
]

// The sound target was excluded, and a request whose only target it was ended (found with review/1).
for (const [kind, path, status, isComplete, runs] of CASES) {
  suite(`${kind} at the only target: ${isComplete && status === 200 ? 'goes on there' : 'does not look complete'}`, async () => {
    const carrier = await startCarrier()
    const fixture = await fixtureModule.openFixture(1)
    await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ from: carrier.address }))
    fixture.script((arrival, response, arrivals) => {
      const head = path === '/generate/7' || path === '/answer/7' ? 'content-type: text/event-stream\r\n' : ''
      const { socket } = response
      socket?.write(`HTTP/1.1 200 OK\r\nrequest-id: ${arrival.headers['request-id']}\r\nproof: p\r\n${head}\r\n`)
      const after = Number(arrival.headers['last-event-id'] ?? 0)
      socket?.write(`id: ${after + 1}\ndata: x\n\n`)
      if (arrivals === 1) setTimeout(carrier.end, 50)
      else socket?.end(`id: ${after + 2}\ndata: y\n\n`)
    })
    while (fixture.gateway.reachablePeers().length === 0) await fixtureModule.wait(10)
    fixture.gateway.routes.recordUnreachable('i-1', undefined)
    const reply = await fixture.call(path, { method: 'POST' })
    assert.equal([reply.status, reply.isComplete, fixture.arrivals.map(({ target }) => target)], [status, isComplete, Array.from({ length: runs }, () => 'i-1')])
    carrier.close()
    await fixture.close()
  })
}

suite.run()
