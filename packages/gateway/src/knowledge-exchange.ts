/**
 * Lets peers that can't reach the store learn its contents from those that can.
 *
 * @module
 */
import * as hono from 'hono'
import * as undici from 'undici'
import type * as gatewayModule from './gateway.js'
import * as httpEndpoint from './http-endpoint.js'
import type * as peerMessages from './peer-messages.js'

/** Time for which the store may be the one to tell what a peer already knows, ms. */
const MAX_STORE_LAG_MS = 700

const CHECK_INTERVAL_MS = 150

/** Least time between two questions, ms. */
const MIN_QUERY_INTERVAL_MS = 600
const QUERY_TIMEOUT_MS = 800

/** Whose knowledge it is and where to answer. */
export interface Options {
  readonly gateway: gatewayModule.Gateway
  /** `host:port` of this daemon's answers to peers. */
  readonly address: string
}

/** The running exchange. */
export interface StateSync {
  readonly close: () => void
}

const SHARED_STATE_PATH = '/v1/knowledge'

/**
 * Starts to answer peers, and to ask one that holds a newer document, or later targets than the store tells.
 *
 * @example
 * ```ts
 * const exchange = await openKnowledgeExchange({ gateway, address: '10.1.0.25:7600' })
 * ```
 */
export async function openKnowledgeExchange (options: Options): Promise<StateSync> {
  const { gateway } = options
  let lastQueryMs = -Infinity
  let isQuerying = false
  /** Revision of the targets that peers know and this daemon does not, and since when. */
  let expected: { readonly revision: number, readonly sinceMs: number } | undefined

  async function query (peer: string): Promise<void> {
    const response = await client.request({ origin: `http://${peer}`, path: SHARED_STATE_PATH, method: 'GET', signal: AbortSignal.timeout(QUERY_TIMEOUT_MS) })
    gateway.applySharedState(await response.body.json() as peerMessages.SharedState, peer)
  }

  /** A peer that knows later targets, when the store had its time to tell them here too. */
  function peerAheadOfStore (nowMs: number): string | undefined {
    const ownRevision = gateway.targetsRevision()
    if (expected !== undefined && ownRevision >= expected.revision) expected = undefined
    const peer = gateway.peerWithLaterTargets()
    if (peer === undefined) return undefined
    expected ??= { revision: peer.targetsRevision, sinceMs: nowMs }
    return ownRevision === 0 || nowMs - expected.sinceMs > MAX_STORE_LAG_MS ? peer.from : undefined
  }

  function queryWhenDue (): void {
    const nowMs = performance.now()
    if (isQuerying || nowMs - lastQueryMs < MIN_QUERY_INTERVAL_MS) return
    const peer = gateway.peerWithNewerDocument() ?? peerAheadOfStore(nowMs)
    if (peer === undefined) return
    isQuerying = true
    lastQueryMs = nowMs
    gateway.metrics.count('peer_questions_total')
    query(peer).catch((error: unknown) => {
      gateway.metrics.count('peer_questions_failed_total')
      gateway.log.change('peer did not answer', { peer, detail: String(error) })
    }).finally(() => { isQuerying = false })
  }

  const client = new undici.Agent({ connect: { timeout: QUERY_TIMEOUT_MS }, connections: 1 })
  const app = new hono.Hono()
  app.get(SHARED_STATE_PATH, (context) => context.json(gateway.sharedState()))
  const endpoint = await httpEndpoint.openHttpEndpoint(options.address, app)
  const timer = setInterval(queryWhenDue, CHECK_INTERVAL_MS)
  return {
    close: () => {
      clearInterval(timer)
      endpoint.close()
      client.destroy().catch((error: unknown) => { gateway.log.change('peer client not closed', { error: String(error) }) })
    }
  }
}
