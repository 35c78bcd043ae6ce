/**
 * What daemons tell each other.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'

/** A member as peers tell of it, with the time since it was last heard. */
export type Member = readonly [address: string, frontAddress: string, ready: boolean, ageMs: number]

/** What a daemon does and knows, sent to its peers several times a second. */
export interface Report {
  /** Endpoint of the sender's peer port, as `host:port`. */
  readonly from: string
  /** Differs for every start of the process. */
  readonly incarnation: string
  readonly sequence: number
  /** Whether it is about the sender alone, for its cell, or about the sender's cell, for the rest of the fleet. */
  readonly scope: 'cell' | 'fleet'
  readonly frontAddress: string
  readonly ready: boolean
  readonly documentVersion: number
  /** Revision of the store up to which the sender knows the targets. */
  readonly targetsRevision: number
  readonly pools: Readonly<Record<string, routing.poolEvent.PeerLoad>>
  /** Tokens admitted since the start of the process less those given back, by organisation: by the sender, or by its cell as far as it heard. */
  readonly usedTokens: Readonly<Record<string, number>>
  /** Whether every organisation that has used tokens is named; otherwise those are whose totals have changed since the last report. */
  readonly complete: boolean
  readonly leavingTargets: readonly (readonly [id: string, revision: number])[]
  readonly crashes: readonly (readonly [fingerprint: string, crash: string])[]
  /** Peers that the sender has heard or heard of lately; empty in most reports. */
  readonly members: readonly Member[]
}

/** Everything that a daemon has learnt from the store, for peers that can't reach it. */
export interface SharedState {
  readonly document: routing.document.RoutingDocument | undefined
  readonly targetsRevision: number
  readonly targets: readonly routing.targetRegistry.Fact[]
}

const EMPTY_FIELDS = { pools: {}, usedTokens: {}, leavingTargets: [], crashes: [], members: [] }

/**
 * What is sent of a report: fields that hold no news are left out.
 *
 * @example
 * ```ts
 * socket.send(JSON.stringify(toMessage(report)))
 * ```
 */
export function toMessage (report: Report): object {
  return Object.fromEntries(Object.entries(report).filter(([name, value]) => !(name in EMPTY_FIELDS) || Object.keys(value as object).length > 0))
}

/**
 * The report in a message. Peers of one release send it whole, so its top level is checked only.
 *
 * @example
 * ```ts
 * const report = parseReport(params)
 * if (report !== undefined) take(report)
 * ```
 */
export function parseReport (message: unknown): Report | undefined {
  if (typeof message !== 'object' || message === null) return undefined
  const report = { ...EMPTY_FIELDS, ...message } as Partial<Report>
  const isComplete = typeof report.from === 'string' && typeof report.incarnation === 'string' && typeof report.sequence === 'number' &&
    typeof report.pools === 'object' && typeof report.usedTokens === 'object' && Array.isArray(report.members) &&
    Array.isArray(report.leavingTargets) && Array.isArray(report.crashes)
  return isComplete ? report as Report : undefined
}
