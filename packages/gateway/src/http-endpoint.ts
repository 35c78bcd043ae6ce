/**
 * Small HTTP listeners for queries of operators, the platform and peers.
 *
 * @module
 */
import * as nodeServer from '@hono/node-server'
import * as backing from '@persimmonhatch/backing-services'
import type * as http from 'node:http'
import type * as hono from 'hono'
import * as endpoint from './endpoint.js'

/** A running listener. */
export interface HttpEndpoint {
  /** Node.js' server, for methods that have no response of their own. */
  readonly server: http.Server
  readonly close: () => void
}

/**
 * Listens on an address.
 *
 * @example
 * ```ts
 * const endpoint = await openHttpEndpoint('10.1.0.25:8224', app)
 * ```
 */
export async function openHttpEndpoint (address: string, app: hono.Hono): Promise<HttpEndpoint> {
  const { host, port } = endpoint.parseEndpoint(address)
  return await new Promise((resolve, reject) => {
    const server = backing.headerLines.keepAllLines(nodeServer.serve({ fetch: app.fetch, hostname: host, port }, () => resolve({ server, close: () => { server.close() } })) as http.Server)
    server.once('error', reject)
  })
}
