/**
 * Opens listeners.
 *
 * @module
 */
import type * as net from 'node:net'

/**
 * Begins to accept connections; rejects if the address can't be used.
 *
 * @example
 * ```ts
 * await listen(server, { host: '127.0.0.1', port: 7401 })
 * ```
 */
export function listen (server: net.Server, { host, port }: { readonly host: string, readonly port: number }): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}
