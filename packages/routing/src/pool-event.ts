/**
 * What a pool is told and what it decides.
 *
 * @module
 */
import type * as cell from './cell.js'
import type * as targetRegistry from './target-registry.js'

/** A request that wants a place at a target. */
export interface PlacementRequest {
  readonly id: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedMs: number
  readonly targetLatencyMs: number
  /** When its caller or its route stops waiting. */
  readonly limitMs: number
  /** Whether its caller was refused before and has come back. */
  readonly resubmitted: boolean
  readonly promptTokens: number
  readonly outputTokens: number
  /** Parts of the prompt in order; the last is the request's or its session's own. */
  readonly promptSegments: readonly string[]
  /** Targets that have failed it. */
  readonly excludedTargets: ReadonlySet<string>
  /** Sent again after a failure: it does not wait behind others. */
  readonly isRetry: boolean
}

/** How a request's stay at a target ended. */
export type RequestOutcome = 'answered' | 'failed' | 'unreachable' | 'rejected' | 'cancelled'

/** What a peer does with the targets of a service. */
export interface PeerLoad {
  /** Requests and unread prompt tokens at each target, from this peer. */
  readonly targets: Readonly<Record<string, readonly [running: number, promptTokens: number]>>
  /** Requests waiting at this peer: rank in the order, number, and how long the first has waited, ms. */
  readonly waiting: readonly (readonly [rank: number, count: number, oldestMs: number])[]
}

/** What a pool is told. */
export type PoolEvent =
  | { readonly kind: 'arrived', readonly request: PlacementRequest }
  | { readonly kind: 'left', readonly id: number }
  | { readonly kind: 'first-event', readonly id: number }
  | { readonly kind: 'next-event', readonly id: number, readonly intervalMs: number }
  | { readonly kind: 'ended', readonly id: number, readonly end: RequestOutcome }
  | { readonly kind: 'load-reported', readonly target: string, readonly running: number, readonly waiting: number, readonly slots: number }
  | { readonly kind: 'targets', readonly targetShares: readonly cell.TargetShare[] }
  | { readonly kind: 'peer-load', readonly peer: string, readonly load: PeerLoad }
  | { readonly kind: 'fleet', readonly reachable: number, readonly daemons: number }
  | { readonly kind: 'tick' }

/** Why a request gets no place. */
export type RefusalReason = 'no-target' | 'overloaded'

/** The figures behind a decision, for logs. */
export interface Figures {
  readonly waitedMs: number
  readonly waiting: number
  /** Requests here and at peers that go before it. */
  readonly ahead: number
  readonly freePlaces: number
  readonly expectedWaitMs: number
  /** Daemons whose reports the decision rests on, this one included. */
  readonly heardDaemons: number
}

/** What a pool decides. */
export type PoolDecision =
  | { readonly kind: 'dispatch', readonly id: number, readonly target: targetRegistry.Target, readonly figures: Figures }
  | { readonly kind: 'refuse', readonly id: number, readonly reason: RefusalReason, readonly retryAfterMs: number, readonly figures: Figures }
