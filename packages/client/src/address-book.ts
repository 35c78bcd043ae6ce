/**
 * Caches which daemons to use, for the time to live in the daemon's response.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as bodies from './bodies.js'
import * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** Daemon, and the prefix of the identities that it owns: `incarnation.epoch.`. */
export interface Route {
  readonly address: protocol.Address
  readonly identityPrefix: string
}

/** Options of an address book. */
export interface Options {
  /** Daemons to query for the first addresses; any daemon can answer. */
  readonly daemons: readonly protocol.Address[]
  readonly availabilityZone: string | undefined
  readonly clock: protocol.Clock
  readonly exchange: exchanges.Exchange
}

/** Cache of the routes to use for each service. */
export interface AddressBook {
  /** Returns the routes in the order in which to try them. Queries a daemon if the cached routes have expired. */
  readonly routes: (service: string) => Promise<neverthrow.Result<readonly Route[], errors.UnreachableDaemons>>
  /** Expires the cached routes, so that the next call queries a daemon. */
  readonly expire: (service: string) => void
}

interface CachedRoutes {
  readonly routes: readonly Route[]
  readonly expiresMs: number
}

interface AddressResponse {
  readonly timeToLiveMs: number
  readonly addresses: ReadonlyArray<{ readonly address: string, readonly identities: readonly string[] }>
}

const QUERY_TIMEOUT_MS = 3_000

function isAddressResponse (value: unknown): value is AddressResponse {
  return typeof value === 'object' && value !== null && 'addresses' in value && Array.isArray(value.addresses) && 'timeToLiveMs' in value
}

function toRoutes (response: AddressResponse): readonly Route[] {
  return response.addresses.flatMap(({ address, identities }) => {
    const [identity] = identities
    return identity === undefined ? [] : [{ address, identityPrefix: identity.slice(0, identity.lastIndexOf('.') + 1) }]
  })
}

/**
 * Creates an empty address book.
 *
 * @example
 * ```ts
 * const book = createAddressBook({ daemons: ['127.0.0.1:7400'], availabilityZone: 'south-1', clock, exchange })
 * const routes = await book.routes('listings')
 * ```
 */
export function createAddressBook (options: Options): AddressBook {
  const cache = new Map<string, CachedRoutes>()

  async function fetchRoutes (address: protocol.Address, service: string): Promise<neverthrow.Result<CachedRoutes, string>> {
    const query = new URLSearchParams({ service, ...(options.availabilityZone === undefined ? {} : { 'availability-zone': options.availabilityZone }) })
    const response = await options.exchange({
      address, method: 'GET', path: `/v1/addresses?${query.toString()}`, headers: {}, body: undefined, timeoutMs: QUERY_TIMEOUT_MS
    })
    if (response.isErr()) return neverthrow.err(response.error.detail)
    const text = await bodies.readText(response.value.body)
    if (text.isErr()) return neverthrow.err(text.error)
    const addressResponse = bodies.parseJson(text.value)
    if (!isAddressResponse(addressResponse) || toRoutes(addressResponse).length === 0) return neverthrow.err(`status ${response.value.status} without addresses`)
    return neverthrow.ok({ routes: toRoutes(addressResponse), expiresMs: options.clock() + addressResponse.timeToLiveMs })
  }

  async function routes (service: string): Promise<neverthrow.Result<readonly Route[], errors.UnreachableDaemons>> {
    const cached = cache.get(service)
    if (cached !== undefined && options.clock() < cached.expiresMs) return neverthrow.ok(cached.routes)
    const addresses = [...new Set([...(cached?.routes ?? []).map((route) => route.address), ...options.daemons])]
    let detail = 'no addresses are known'
    for (const address of addresses) {
      const fetched = await fetchRoutes(address, service)
      if (fetched.isOk()) {
        cache.set(service, fetched.value)
        return neverthrow.ok(fetched.value.routes)
      }
      detail = fetched.error
    }
    return neverthrow.err(new errors.UnreachableDaemons(addresses, detail))
  }

  function expire (service: string): void {
    const cached = cache.get(service)
    if (cached !== undefined) cache.set(service, { ...cached, expiresMs: -Infinity })
  }

  return { routes, expire }
}
