/**
 * TCP proxy on loopback that counts the bytes in both directions.
 *
 * @module
 */
import * as net from 'node:net'

/** A running proxy. */
export interface CountingProxy {
  readonly address: string
  /** Bytes received from clients so far. */
  readonly requestBytes: () => number
  /** Bytes sent to clients so far. */
  readonly responseBytes: () => number
  readonly close: () => Promise<void>
}

/**
 * Starts a proxy in front of an address.
 *
 * @example
 * ```ts
 * const proxy = await startCountingProxy('127.0.0.1:8000')
 * ```
 */
export async function startCountingProxy (target: string): Promise<CountingProxy> {
  let requestBytes = 0
  let responseBytes = 0
  const sockets = new Set<net.Socket>()
  const [host = '', port = ''] = target.split(':')
  const server = net.createServer((client) => {
    const targetSocket = net.connect(Number(port), host)
    for (const socket of [client, targetSocket]) {
      sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => socket.destroy())
    }
    client.on('data', (bytes) => { requestBytes += bytes.length; targetSocket.write(bytes) })
    targetSocket.on('data', (bytes) => { responseBytes += bytes.length; client.write(bytes) })
    client.on('close', () => targetSocket.destroy())
    targetSocket.on('close', () => client.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  async function close (): Promise<void> {
    for (const socket of sockets) socket.destroy()
    await new Promise<void>((resolve) => server.close(() => resolve()))
  }

  const { port: boundPort } = server.address() as net.AddressInfo
  return { address: `127.0.0.1:${boundPort}`, requestBytes: () => requestBytes, responseBytes: () => responseBytes, close }
}
