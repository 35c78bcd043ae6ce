/**
 * Finds free ports on loopback.
 *
 * @module
 */
import * as net from 'node:net'

function listenOnFreePort (): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer()
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(server))
  })
}

/**
 * Finds distinct ports that are free now.
 *
 * @example
 * ```ts
 * const [callers, peers] = await findFreePorts(2)
 * ```
 */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort))
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
