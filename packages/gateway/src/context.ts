/**
 * What every request of this process shares.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as dialect from './dialect.js'
import type * as eventLog from './event-log.js'
import type * as metrics from './metrics.js'
import type * as servicePools from './service-pools.js'
import type * as targetClient from './target-client.js'

/** Shared state and tools. */
export interface Context {
  readonly now: () => number
  readonly random: () => number
  readonly headerNames: dialect.Dialect
  readonly log: eventLog.EventLog
  readonly metrics: metrics.Metrics
  readonly clients: targetClient.TargetClients
  readonly pools: servicePools.ServicePools
  readonly caps: routing.tokenCap.TokenCaps
  readonly budget: routing.retryBudget.RetryBudget
  readonly suspects: routing.suspects.Suspects
  /** Undefined until a document is known. */
  readonly table: () => routing.routeTable.RouteTable | undefined
  readonly limits: () => routing.document.Limits
  /** Members of the fleet, this daemon included. */
  readonly daemons: () => number
  /** Whether a planned stop is under way. */
  readonly stopping: () => boolean
  /** Time since a planned stop began, ms; undefined when none is under way. */
  readonly sinceStopMs: () => number | undefined
  readonly graceMs: () => number
  /** Longest remaining time that callers of a route have stated, ms. */
  readonly maxRemainingMs: (route: string, remainingMs: number) => number
}
