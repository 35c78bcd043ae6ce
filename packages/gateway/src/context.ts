/**
 * State and dependencies that all requests of a process share.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as headerNames from './header-names.js'
import type * as eventLog from './event-log.js'
import type * as metrics from './metrics.js'
import type * as rollouts from './rollouts.js'
import type * as servicePools from './service-pools.js'
import type * as streamDirectory from './stream-directory.js'
import type * as targetClient from './target-client.js'

/** Paths to targets. */
export interface Paths {
  /** Returns the endpoint of the peer through which a request reaches a target; undefined for the direct path. */
  readonly choose: (target: string) => string | undefined
  /** Records that no connection could be opened, directly or through a peer. */
  readonly recordUnreachable: (target: string, via: string | undefined) => void
}

/** What targets say of themselves in their responses. */
export interface TargetStates {
  /** Returns the start that a target has registered, Unix ms; 0 if it has registered none. */
  readonly startOf: (target: string) => number
  /** Returns the software version that a target has registered; undefined if it has no entry. */
  readonly versionOf: (target: string) => string | undefined
  /** Records that a target leaves. */
  readonly depart: (departure: routing.targetRegistry.Departure, source: string) => void
  /** Records that a target wants no requests for a time, which it told this daemon or the peer that carried the connection. */
  readonly pause: (target: string, durationMs: number, via: string | undefined) => void
  /** Whether requests may be sent to a target, which may have changed since it was chosen. */
  readonly isOpen: (target: string) => boolean
  /** Records that a target asked for a pause that is no time. */
  readonly ignorePause: (target: string, retryAfter: string) => void
}

/** Shared state and dependencies. */
export interface Context {
  readonly now: () => number
  readonly random: () => number
  readonly headerNames: headerNames.HeaderNames
  readonly log: eventLog.EventLog
  readonly metrics: metrics.Metrics
  readonly clients: targetClient.TargetClients
  readonly pools: servicePools.ServicePools
  readonly caps: routing.tokenCap.TokenCaps
  readonly budget: routing.retryBudget.RetryBudget
  readonly suspects: routing.suspects.Suspects
  readonly targetLimits: routing.targetLimits.TargetLimits
  readonly streams: Pick<streamDirectory.StreamDirectory, 'record' | 'find'>
  readonly paths: Paths
  /** Without it, versions are not rolled out. */
  readonly rollouts?: Pick<rollouts.Rollouts, 'record'> | undefined
  readonly targets: TargetStates
  /** Called when limits of targets have changed. */
  readonly onLimitsChanged: (targets: readonly string[], source: string) => void
  /** Whether this daemon may try a request with a refused trait. */
  readonly isArbiterOf: (trait: string) => boolean
  /** Undefined until a document is in force. */
  readonly table: () => routing.routeTable.RouteTable | undefined
  /** Returns the services at which streams that may be resumed now can have begun. */
  readonly resumableServices: () => ReadonlySet<string>
  readonly limits: () => routing.document.Limits
  /** Members of the fleet, this daemon included. */
  readonly daemons: () => number
  /** Whether a planned stop is in progress. */
  readonly stopping: () => boolean
  /** Time since the start of a planned stop, ms; undefined if none is in progress. */
  readonly sinceStopMs: () => number | undefined
  readonly graceMs: () => number
  /** Records a remaining time that a caller has stated and returns the longest one of the route so far, ms. */
  readonly maxRemainingMs: (route: string, remainingMs: number) => number
}
