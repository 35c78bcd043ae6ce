/**
 * Messages between daemons.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'

/** A member as reported by a peer, with the time since its last report. */
export type Member = readonly [address: string, frontAddress: string, ready: boolean, ageMs: number]

/** Load and state of a daemon, sent to its peers several times a second. */
export interface Report {
  /** Endpoint of the sender's peer port, as `host:port`. */
  readonly from: string
  /** Unique for every start of the process. */
  readonly incarnation: string
  readonly sequence: number
  /** `cell`: about the sender alone, for its cell; `fleet`: about the sender's cell, for the rest of the fleet. */
  readonly scope: 'cell' | 'fleet'
  readonly frontAddress: string
  readonly ready: boolean
  readonly documentVersion: number
  /** Revision of the store up to which the sender has applied the changes of targets. */
  readonly targetsRevision: number
  readonly pools: Readonly<Record<string, routing.poolEvent.PeerLoad>>
  /** Tokens admitted since the start of the process minus refunds, by organisation: of the sender, or of its cell as far as reported to it. */
  readonly usedTokens: Readonly<Record<string, number>>
  /** Whether `usedTokens` has every organisation that has used tokens; otherwise it has those whose totals have changed since the last report. */
  readonly complete: boolean
  readonly leavingTargets: readonly (readonly [id: string, revision: number])[]
  readonly crashes: readonly (readonly [fingerprint: string, crash: string])[]
  /** Peers from which or about which the sender has received reports recently; empty in most reports. */
  readonly members: readonly Member[]
}

/** All state from the store, for peers that can't reach it. */
export interface SharedState {
  readonly document: routing.document.RoutingDocument | undefined
  readonly targetsRevision: number
  readonly targets: readonly routing.targetRegistry.VersionedTarget[]
}

const EMPTY_FIELDS = { pools: {}, usedTokens: {}, leavingTargets: [], crashes: [], members: [] }

/**
 * Returns the message for a report, without empty fields.
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
 * Returns the report in a message; undefined if it is malformed. Peers of the same release send complete reports,
 * so only the top level is checked.
 *
 * @example
 * ```ts
 * const report = parseReport(params)
 * if (report !== undefined) handle(report)
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
