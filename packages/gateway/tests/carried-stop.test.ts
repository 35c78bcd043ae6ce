/**
 * Planned stops of a daemon that carries connections of peers.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as relayFrames from '../src/relay-frames.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('planned stop of a carrier')

async function listen (server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

// A stop ended the answers that the daemon carried for peers, since they were not counted as open (review/1).
suite('the process may exit only when the carried answers have ended', async () => {
  const fixture = await fixtureModule.openFixture(0)
  let answer: net.Socket | undefined
  const target = net.createServer((socket) => {
    answer = socket
    socket.on('error', () => {})
  })
  const address = await listen(target)
  fixture.gateway.applyTarget({ id: 'i-1', era: 1, revision: 1, target: { id: 'i-1', service: 'stock', address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  fixture.gateway.addPeer('127.0.0.1:1')
  const peerHttp = http.createServer()
  fixture.gateway.routes.serveRelay(peerHttp)
  const [host = '', port = ''] = (await listen(peerHttp)).split(':')
  const received: (Buffer | undefined)[] = []
  const decoder = relayFrames.createFrameDecoder()
  await new Promise<void>((resolve) => {
    http.request({ host, port, method: 'CONNECT', path: address, headers: { [relayFrames.FRAMES_HEADER]: relayFrames.FRAMES_VERSION }, agent: false }).on('connect', (_, socket: net.Socket) => {
      socket.on('data', (chunk: Buffer) => { received.push(...decoder.push(chunk)) })
      resolve()
    }).end()
  })
  let hasStopped = false
  const stopped = fixture.gateway.stop().then(() => { hasStopped = true })
  await fixtureModule.wait(5_300)
  assert.is(hasStopped, false)
  answer?.end('last')
  await stopped
  assert.equal(received.map(String), ['last', 'undefined'])
  peerHttp.closeAllConnections()
  peerHttp.close()
  target.close()
  await fixture.close()
})

suite.run()
