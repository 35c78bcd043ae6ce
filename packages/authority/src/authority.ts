/**
 * The authority of one pool of targets: the only queue in front of them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Settings of an authority. */
export interface Options {
  readonly pool: string
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
}

/** One target as the authority sees it, for status and tests. */
export interface TargetStatus {
  readonly target: string
  readonly state: 'serving' | 'leaving' | 'down'
  readonly tokensInFlight: number
  readonly limitTokens: number
  readonly requestsInFlight: number
  /** Slow-down against its peers; 1 is normal. */
  readonly slowdown: number
}

/** A snapshot for status pages and tests. */
export interface Status {
  readonly pool: string
  readonly settled: boolean
  readonly waiting: number
  readonly waitingByTier: Readonly<Record<string, number>>
  readonly targets: readonly TargetStatus[]
}

/** An authority: state owned by one task, driven by events. */
export interface Authority {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  readonly status: () => Status
}
