/**
 * Finds the route of a request and the organisation of a key.
 *
 * @module
 */
import type * as document from './document.js'

/** Lookups over one version of the document. */
export interface RouteTable {
  readonly version: number
  /** Returns the route with the longest prefix that matches the path. */
  readonly findRoute: (host: string, path: string) => document.Route | undefined
  readonly findOrganisation: (key: string) => document.Organisation | undefined
  /** Whether requests need a key; those of anonymous routes never do. */
  readonly requiresKey: boolean
  /** Services of the routes whose streams may be resumed. */
  readonly resumableServices: ReadonlySet<string>
}

function findLongestPrefix (routes: ReadonlyMap<string, document.Route>, path: string): document.Route | undefined {
  for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
    const route = routes.get(path.slice(0, end + 1))
    if (route !== undefined) return route
  }
  return undefined
}

/**
 * Indexes the routes and keys of a document.
 *
 * @example
 * ```ts
 * const route = createRouteTable(document).findRoute('shop.example', '/orders/7')
 * ```
 */
export function createRouteTable (source: document.RoutingDocument): RouteTable {
  const hosts = new Map<string, Map<string, document.Route>>()
  for (const route of source.routes) {
    const host = route.host.toLowerCase()
    const routes = hosts.get(host) ?? new Map<string, document.Route>()
    hosts.set(host, routes.set(route.prefix, route))
  }
  const organisations = new Map(source.organisations.flatMap((organisation) => organisation.keys.map((key) => [key, organisation] as const)))
  return {
    version: source.version,
    requiresKey: source.organisations.length > 0,
    resumableServices: new Set(source.routes.filter(({ resumable }) => resumable).flatMap(({ shares }) => shares.map(({ service }) => service))),
    findOrganisation: (key) => organisations.get(key),
    findRoute: (host, path) => {
      const routes = hosts.get(host.toLowerCase().replace(/:\d+$/, ''))
      const query = path.indexOf('?')
      return routes === undefined ? undefined : findLongestPrefix(routes, query < 0 ? path : path.slice(0, query))
    }
  }
}

/**
 * Selects the service of a request by the weights of its route.
 *
 * @example
 * ```ts
 * const service = pickService(route, Math.random())
 * ```
 */
export function pickService (route: document.Route, random: number): string | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = random * total
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return route.shares.at(-1)?.service
}
