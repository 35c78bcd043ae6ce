/**
 * Synchronises state between daemons, so that those that can't reach the store get its contents from those that
 * can.
 *
 * @module
 */
import * as hono from 'hono'
import * as routing from '@persimmonhatch/routing'
import * as undici from 'undici'
import type * as gatewayModule from './gateway.js'
import * as httpEndpoint from './http-endpoint.js'
import * as stateChecks from './state-checks.js'

/** Time for the store to deliver a change that a peer already holds, before the peer is queried, ms. */
const MAX_STORE_LAG_MS = 700

const CHECK_INTERVAL_MS = 150

const QUERY_TIMEOUT_MS = 800

/** Gateway and address of this daemon. */
export interface Options {
  readonly gateway: gatewayModule.Gateway
  /** `host:port` at which peers query this daemon. */
  readonly address: string
  /** Called when peers have held later targets for so long that the watch of the store may be silent. */
  readonly onStoreBehind?: () => void
}

/** Minimum time between two calls of `onStoreBehind`, ms, in which a renewed watch delivers what was missing. */
const STORE_BEHIND_INTERVAL_MS = 4_000

/** Time for the store to deliver a change while no request has arrived yet, when changes are collected for longer, ms. */
const MAX_START_STORE_LAG_MS = 2_500

/** The running state synchronisation. */
export interface StateSync {
  readonly close: () => void
}

const SHARED_STATE_PATH = '/v1/knowledge'

/**
 * Starts to serve the state to peers, and to query a peer that holds a newer document, or later targets than the
 * store has delivered.
 *
 * @example
 * ```ts
 * const stateSync = await openStateSync({ gateway, address: '10.1.0.25:7600' })
 * ```
 */
export async function openStateSync (options: Options): Promise<StateSync> {
  const { gateway } = options
  const queries = routing.peerQueries.createPeerQueries()
  /** Position of the targets that peers hold and this daemon does not, and since when. */
  let expected: { readonly position: routing.targetRegistry.Position, readonly sinceMs: number } | undefined

  let storeBehindMs = -Infinity

  async function query (peer: string): Promise<void> {
    // Queries are rare, and a connection that was kept from the last one may have gone silent.
    const response = await client.request({ origin: `http://${peer}`, path: SHARED_STATE_PATH, method: 'GET', reset: true, signal: AbortSignal.timeout(QUERY_TIMEOUT_MS) })
    const state = stateChecks.parseSharedState(await response.body.json())
    if (state === undefined) throw new Error('The state of the peer is malformed. Check that it runs a build of this project.')
    gateway.applySharedState(state, peer)
  }

  function reportStoreBehind (nowMs: number): void {
    if (nowMs - storeBehindMs < STORE_BEHIND_INTERVAL_MS) return
    storeBehindMs = nowMs
    options.onStoreBehind?.()
  }

  /** Returns the peers that hold later targets, once the store had time to deliver them here as well. */
  function peersAheadOfStore (nowMs: number): readonly string[] {
    const ownPosition = gateway.targetsPosition()
    if (expected !== undefined && !routing.targetRegistry.isLater(expected.position, ownPosition)) expected = undefined
    const { endpoints, position } = gateway.peersWithLaterTargets()
    if (position === undefined) return []
    expected ??= { position, sinceMs: nowMs }
    const isFirst = ownPosition.revision === 0
    if (!isFirst && nowMs - expected.sinceMs <= (gateway.hasServed() ? MAX_STORE_LAG_MS : MAX_START_STORE_LAG_MS)) return []
    if (!isFirst) reportStoreBehind(nowMs)
    return endpoints
  }

  function queryWhenDue (): void {
    const nowMs = performance.now()
    const withDocument = gateway.peersWithNewerDocument()
    const peer = queries.next(withDocument.length > 0 ? withDocument : peersAheadOfStore(nowMs), nowMs)
    if (peer === undefined) return
    gateway.metrics.count('peer_questions_total')
    query(peer).then(() => { queries.end(peer, true, performance.now()) }, (error: unknown) => {
      queries.end(peer, false, performance.now())
      gateway.metrics.count('peer_questions_failed_total')
      gateway.log.change('peer did not answer', { peer, detail: String(error) })
    })
  }

  const client = new undici.Agent({ connect: { timeout: QUERY_TIMEOUT_MS }, connections: 1 })
  const app = new hono.Hono()
  app.get(SHARED_STATE_PATH, (context) => context.json(gateway.sharedState()))
  const endpoint = await httpEndpoint.openHttpEndpoint(options.address, app)
  gateway.routes.serveRelay(endpoint.server)
  const timer = setInterval(queryWhenDue, CHECK_INTERVAL_MS)
  return {
    close: () => {
      clearInterval(timer)
      endpoint.close()
      client.destroy().catch((error: unknown) => { gateway.log.change('peer client not closed', { error: String(error) }) })
    }
  }
}
