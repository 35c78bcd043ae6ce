import * as net from 'node:net'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as system from '@persimmonhatch/system'

const suite = uvu.suite('findFreePorts')

/** The first port from which Linux and other systems choose the ports of outgoing connections, by default. */
const FIRST_EPHEMERAL_PORT = 32_768

suite('finds ports that no outgoing connection and no server without a fixed port takes before they are used', async () => {
  const ports = await system.freePorts.findFreePorts(40)
  assert.equal(ports.filter((port) => port >= FIRST_EPHEMERAL_PORT), [])
})

suite('never finds a port twice', async () => {
  const ports = [...await system.freePorts.findFreePorts(20), ...await system.freePorts.findFreePorts(20)]
  assert.is(new Set(ports).size, 40)
})

suite('passes over a port that is taken', async () => {
  const [port = 0] = await system.freePorts.findFreePorts(1)
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(port + 1, '127.0.0.1', resolve) })
  assert.not.ok((await system.freePorts.findFreePorts(3)).includes(port + 1))
  await new Promise((resolve) => server.close(resolve))
})

suite.run()
