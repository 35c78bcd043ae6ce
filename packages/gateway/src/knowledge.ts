/**
 * What daemons tell each other.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'

/** What a daemon does and knows, sent to its peers several times a second. */
export interface Report {
  /** Endpoint of the sender's peer port, as `host:port`. */
  readonly from: string
  /** Differs for every start of the process. */
  readonly incarnation: string
  readonly sequence: number
  readonly frontAddress: string
  readonly availabilityZone: string
  readonly ready: boolean
  readonly documentVersion: number
  readonly pools: Readonly<Record<string, routing.poolEvent.PeerLoad>>
  /** Tokens admitted since the start of the process, by organisation. */
  readonly usedTokens: Readonly<Record<string, number>>
  readonly leavingTargets: readonly (readonly [id: string, revision: number])[]
  readonly crashes: readonly (readonly [fingerprint: string, crash: string])[]
  /** Peer endpoints that the sender has heard lately. */
  readonly peers: readonly string[]
}

/** Everything that a daemon has learnt from the store, for peers that can't reach it. */
export interface Knowledge {
  readonly document: routing.document.RoutingDocument | undefined
  readonly targets: readonly routing.targetRegistry.Fact[]
}

/**
 * Whether a message has the shape of a report. Peers of one release send it whole, so its top level is checked only.
 *
 * @example
 * ```ts
 * if (isReport(params)) take(params)
 * ```
 */
export function isReport (value: unknown): value is Report {
  if (typeof value !== 'object' || value === null) return false
  const report = value as Partial<Report>
  return typeof report.from === 'string' && typeof report.incarnation === 'string' && typeof report.sequence === 'number' &&
    typeof report.pools === 'object' && typeof report.usedTokens === 'object' && Array.isArray(report.peers) &&
    Array.isArray(report.leavingTargets) && Array.isArray(report.crashes)
}
