/**
 * Free ports on loopback.
 *
 * @module
 */
import * as net from 'node:net'

function listenAnywhere (): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer()
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(server))
  })
}

/**
 * Finds ports that are free now, all different.
 *
 * @example
 * ```ts
 * const [callers, peers] = await findFreePorts(2)
 * ```
 */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenAnywhere))
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
