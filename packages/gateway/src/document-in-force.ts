/**
 * The routing document that is in force at this daemon.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'
import * as versionLag from './version-lag.js'

/** Dependencies of the document. */
export interface Options {
  readonly now: () => number
  readonly log: eventLog.EventLog
  readonly metrics: metricsModule.Metrics
}

/** The document in force; there is none until the first is adopted. */
export interface DocumentInForce {
  /** Adopts a document if it is newer; returns whether it was. */
  readonly adopt: (document: routing.document.RoutingDocument, source: string) => boolean
  /** Records the version that a peer reports. */
  readonly hear: (version: number) => void
  readonly document: () => routing.document.RoutingDocument | undefined
  readonly table: () => routing.routeTable.RouteTable | undefined
  /** Returns the services at which streams that may be resumed now can have begun: its own and those of documents that it has replaced. */
  readonly resumableServices: () => ReadonlySet<string>
  /** Returns its version; 0 if there is none. */
  readonly version: () => number
  /** Returns its limits, or those that apply before there is one. */
  readonly limits: () => routing.document.Limits
}

const INITIAL_LIMITS: routing.document.Limits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }

/**
 * Creates the state of a daemon without a document.
 *
 * @example
 * ```ts
 * if (inForce.adopt(document, 'store')) pools.adopt(document.services)
 * ```
 */
export function createDocumentInForce ({ now, log, metrics }: Options): DocumentInForce {
  const lag = versionLag.createVersionLag()
  let current: routing.document.RoutingDocument | undefined
  let table: routing.routeTable.RouteTable | undefined
  /** Last time at which a replaced document had each service on a resumable route. */
  const formerServices = new Map<string, number>()

  function resumableServices (): ReadonlySet<string> {
    const nowMs = now()
    const former = [...formerServices].filter(([, untilMs]) => nowMs - untilMs <= routing.versionHistory.VERSION_RETENTION_MS).map(([service]) => service)
    return new Set([...table?.resumableServices ?? [], ...former])
  }

  function adopt (document: routing.document.RoutingDocument, source: string): boolean {
    if (current !== undefined && document.version <= current.version) return false
    const { version, routes, organisations } = document
    const lagMs = lag.adopt(version, now())
    if (lagMs !== undefined) metrics.observe('document_lag_ms', lagMs)
    log.change('document adopted', {
      version,
      before: current?.version,
      source,
      lagMs: lagMs === undefined ? undefined : Math.round(lagMs),
      routes: routes.length,
      organisations: organisations.length
    })
    metrics.gauge('document_version', version)
    for (const service of table?.resumableServices ?? []) formerServices.set(service, now())
    current = document
    table = routing.routeTable.createRouteTable(document)
    return true
  }

  return {
    adopt,
    hear: (version) => { lag.hear(version, now()) },
    document: () => current,
    table: () => table,
    resumableServices,
    version: () => current?.version ?? 0,
    limits: () => current?.limits ?? INITIAL_LIMITS
  }
}
