/**
 * Pools of connections to targets, one for each address and path.
 *
 * @module
 */
import * as undici from 'undici'
import * as targetConnector from './target-connector.js'

/** Idle time after which a connection is closed if the target states no timeout, ms. */
const KEEP_ALIVE_MS = 4_000

/** Margin before the target's own idle timeout in which the connection is no longer used, ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000

const MAX_KEEP_ALIVE_MS = 30_000

function createPool (address: string, via: string | undefined, connections: number, watchers: targetConnector.Watchers): undici.Pool {
  return new undici.Pool(`http://${address}`, {
    connect: via === undefined ? targetConnector.connectTo(address, watchers) : targetConnector.connectVia(via, address, watchers),
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS
  })
}

/** A pool of connections to an address, direct or through a peer. */
interface PathPool {
  readonly address: string
  readonly via: string | undefined
  readonly pool: undici.Pool
}

/** Closes the pools for which the function returns true, when their requests have ended. */
function closePools (pools: Map<string, PathPool>, isClosed: (pool: PathPool) => boolean): void {
  for (const [key, path] of pools) {
    if (!isClosed(path)) continue
    pools.delete(key)
    path.pool.close().catch(() => { /* The pool is already closed. */ })
  }
}

/** Settings of the pools. */
export interface Options {
  readonly connectionLimit: (address: string) => number
  readonly countConnection: (address: string) => void
  readonly watchers: targetConnector.Watchers
}

/** The pools. */
export interface PathPools {
  /** Returns the pool of an address over a path; `via` is a peer's endpoint, undefined for the direct path. */
  readonly poolOf: (address: string, via: string | undefined) => undici.Pool
  /** Uses new direct connections to an address for later requests; those in progress keep theirs. */
  readonly renew: (address: string) => void
  /** Closes the pools of addresses, and of peers that carry connections, that are not in the sets. */
  readonly retain: (addresses: ReadonlySet<string>, peers: ReadonlySet<string>) => void
  readonly destroy: () => Promise<void>
}

/**
 * Creates the pools, none of which has a connection.
 *
 * @example
 * ```ts
 * const pools = createPathPools({ connectionLimit: () => 8, countConnection: () => {}, watchers: [] })
 * pools.poolOf('10.0.0.7:8080', undefined).dispatch(request, handler)
 * ```
 */
export function createPathPools (options: Options): PathPools {
  const pools = new Map<string, PathPool>()

  function poolOf (address: string, via: string | undefined): undici.Pool {
    const key = `${via ?? ''} ${address}`
    const existing = pools.get(key)
    if (existing !== undefined) return existing.pool
    const pool = createPool(address, via, options.connectionLimit(address), options.watchers)
    pool.on('connect', () => { options.countConnection(address) })
    pools.set(key, { address, via, pool })
    return pool
  }

  return {
    poolOf,
    renew: (address) => { closePools(pools, (path) => path.address === address && path.via === undefined) },
    retain: (addresses, peers) => { closePools(pools, ({ address, via }) => !addresses.has(address) || (via !== undefined && !peers.has(via))) },
    destroy: async () => { await Promise.all([...pools.values()].map(({ pool }) => pool.destroy())) }
  }
}
