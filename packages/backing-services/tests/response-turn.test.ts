import * as http from 'node:http'
import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as backing from '@persimmonhatch/backing-services'

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

const suite = uvu.suite('awaitTurn')

interface Handled {
  readonly served: number
  readonly dropped: number
}

/** Counts what becomes of the requests that a caller sends: both at once, or the second one after the connection has been ended. */
async function sendTwo (isPipelined: boolean, respond: (response: http.ServerResponse) => void): Promise<Handled> {
  let [served, dropped] = [0, 0]
  const server = http.createServer((incoming, outgoing) => {
    backing.responseTurn.awaitTurn(incoming, outgoing, {
      serve: () => {
        served += 1
        setTimeout(() => { respond(outgoing) }, 20)
      },
      drop: () => { dropped += 1 }
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const caller = net.connect({ port: (server.address() as net.AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  const ended = new Promise((resolve) => { caller.on('data', () => {}).once('end', resolve) })
  caller.write(isPipelined ? REQUEST.repeat(2) : REQUEST)
  await Promise.race([ended, new Promise((resolve) => setTimeout(resolve, 200))])
  if (!isPipelined) caller.write(REQUEST)
  await new Promise((resolve) => setTimeout(resolve, 100))
  caller.destroy()
  server.closeAllConnections()
  server.close()
  return { served, dropped }
}

suite('serves a pipelined request after the response before it', async () => {
  assert.equal(await sendTwo(true, (response) => { response.end('ok') }), { served: 2, dropped: 0 })
})

// Guards against a request that runs although nobody can be told.
suite('drops no request and serves none behind a response that closes the connection', async () => {
  assert.equal(await sendTwo(true, (response) => { response.writeHead(200, { connection: 'close' }).end('ok') }), { served: 1, dropped: 0 })
})

suite('drops a request that is read after this side of the connection has ended', async () => {
  const respond = (response: http.ServerResponse): void => {
    const { socket } = response
    response.end('ok', () => { socket?.end() })
  }
  assert.equal(await sendTwo(false, respond), { served: 1, dropped: 1 })
})

suite.run()
