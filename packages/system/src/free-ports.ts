/**
 * Finds free ports on loopback.
 *
 * @module
 */
import * as net from 'node:net'

/** First port of the blocks; below them are the ports of well-known services and of the examples. */
const FIRST_BLOCK_PORT = 12_000

const PORTS_PER_BLOCK = 100

/** Number of blocks. All end below 32768, where systems begin to choose the ports of outgoing connections. */
const BLOCKS = 200

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

/** Returns all ports of the blocks, beginning with the block of this process. */
function * candidates (): Generator<number, void> {
  const ports = BLOCKS * PORTS_PER_BLOCK
  const first = process.pid % BLOCKS * PORTS_PER_BLOCK
  for (let offset = 0; offset < ports; offset += 1) yield FIRST_BLOCK_PORT + (first + offset) % ports
}

const unused = candidates()

/**
 * Finds distinct ports that are free now. A port is never returned twice by a process, and processes that run at the same
 * time look in different blocks, so that a port is still free when it is used.
 *
 * @example
 * ```ts
 * const [callers, peers] = await findFreePorts(2)
 * ```
 */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const { value: port, done } = unused.next()
    if (done === true) throw new Error(`No ${count} ports are free on loopback: stop other programs, or start fewer daemons.`)
    if (await isFree(port)) ports.push(port)
  }
  return ports
}
