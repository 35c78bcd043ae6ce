/**
 * Inputs and decisions of a pool.
 *
 * @module
 */
import type * as cell from '../cell.js'
import type * as limitRows from '../limits/limit-rows.js'
import type * as obstacle from './obstacle.js'
import type * as rateShare from '../limits/rate-share.js'
import type * as targetRegistry from '../target-registry.js'
import type * as targetSpeed from './target-speed.js'

/** A request to be placed at a target. */
export interface PlacementRequest {
  readonly id: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedMs: number
  readonly targetLatencyMs: number
  /** Deadline of the caller or the route, whichever is earlier. */
  readonly limitMs: number
  /** Whether the caller was refused before and has sent the request again. */
  readonly resubmitted: boolean
  /** Name of the caller's organisation; empty if it has none. */
  readonly organisation: string
  /** Weight of the organisation when capacity is shared. */
  readonly organisationWeight: number
  readonly promptTokens: number
  readonly outputTokens: number
  /** Prompt segments in order; the last one is specific to the request or its session. */
  readonly promptSegments: readonly string[]
  /** Software version of the only targets that may get the request; undefined for any. */
  readonly version: string | undefined
  /** Targets at which the request has failed. */
  readonly excludedTargets: ReadonlySet<string>
  /** Whether the request is sent again after a failure; a retry is placed ahead of all others. */
  readonly isRetry: boolean
  /** Where the request may go on if its target sends nothing; undefined for one that is placed in the queue. */
  readonly relocation?: Relocation | undefined
}

/**
 * Where a request goes on. It gets a free slot ahead of the queue, and waits for one until it is withdrawn. One that may return is
 * refused if no target is left at which it could go on.
 */
export interface Relocation {
  /** Targets that it has left, or leaves, although they have not failed. */
  readonly left: ReadonlySet<string>
  /** Whether targets that it has not left may get it, if they are not silent themselves. */
  readonly toOthers: boolean
  /** Whether targets that it has left may get it, if no other has a free slot. */
  readonly toLeft: boolean
}

/** A placement request without its id. */
export type PlacementOptions = Omit<PlacementRequest, 'id'>

/** How a request ended at a target. */
export type RequestOutcome = 'answered' | 'failed' | 'unreachable' | 'rejected' | 'cancelled'

/** Load that a peer reports for the targets of a service. */
export interface PeerLoad {
  /** Requests in flight and pending prefill tokens of this peer, by target. */
  readonly targets: Readonly<Record<string, readonly [running: number, promptTokens: number]>>
  /** Requests waiting at this peer: rank, number, and how long the oldest has waited, ms. */
  readonly waiting: readonly (readonly [rank: number, count: number, oldestMs: number])[]
  /** Work factors that targets have reported to this peer recently, in hundredths, and their ages, by target. */
  readonly factors?: Readonly<Record<string, readonly [hundredths: number, ageMs: number]>>
  /** Samples of response times, and learned limits of the targets whose samples this peer joins, by target; those of other targets stay as last reported. */
  readonly limits?: Readonly<Record<string, limitRows.LimitRow>>
  /** Tokens of memory that this peer's requests hold, by target. */
  readonly held?: Readonly<Record<string, number>>
  /** Ids of the last prompt segments of requests that this peer has sent recently, by target. */
  readonly prefixes?: Readonly<Record<string, readonly string[]>>
  /** Sums over the times that this peer has measured, by target; in some reports only. */
  readonly speeds?: Readonly<Record<string, targetSpeed.SpeedRow>>
}

/** An input of a pool. */
export type PoolEvent =
  | { readonly kind: 'arrived', readonly request: PlacementRequest }
  | { readonly kind: 'left', readonly id: number }
  | { readonly kind: 'first-event', readonly id: number }
  | { readonly kind: 'next-event', readonly id: number, readonly intervalMs: number }
  /** Reading from the target goes on, after a time in which the caller read slowly and nothing was read. */
  | { readonly kind: 'reading-resumed', readonly id: number }
  | { readonly kind: 'ended', readonly id: number, readonly outcome: RequestOutcome }
  | { readonly kind: 'load-reported', readonly target: string, readonly running: number, readonly waiting: number, readonly slots: number, readonly workFactor?: number | undefined }
  | { readonly kind: 'targets', readonly targetShares: readonly cell.TargetShare[], readonly cellPosition?: rateShare.RingPosition }
  /** Whether the targets of the service fall over when they have to reject many requests. */
  | { readonly kind: 'brittle', readonly isBrittle: boolean }
  | { readonly kind: 'peer-load', readonly peer: string, readonly load: PeerLoad }
  | { readonly kind: 'fleet', readonly reachable: number, readonly daemons: number }
  | { readonly kind: 'tick' }

/** Events that free no slot and add no request. */
const RECORDED: ReadonlySet<PoolEvent['kind']> = new Set(['next-event', 'first-event', 'reading-resumed', 'load-reported'])

/** Events after which a service that is placed by work waits for the next tick: a round over all waiting requests costs too much for each of some hundred reports a second. */
const LEFT_TO_TICKS: ReadonlySet<PoolEvent['kind']> = new Set(['peer-load', 'targets', 'fleet'])

/**
 * Returns whether waiting requests may be placed or refused after an event.
 *
 * @example
 * ```ts
 * if (needsRound(event, false)) serveQueue(nowMs)
 * ```
 */
export function needsRound ({ kind }: PoolEvent, isPlacedByWork: boolean): boolean {
  return !RECORDED.has(kind) && !(isPlacedByWork && LEFT_TO_TICKS.has(kind))
}

/** Why a request is refused. */
export type RefusalReason = 'no-target' | 'version-gone' | 'overloaded' | 'paused'

/** The figures behind a decision, for logs. */
export interface Figures {
  readonly waitedMs: number
  readonly waiting: number
  /** Requests here and at peers that are placed first. */
  readonly ahead: number
  readonly freePlaces: number
  readonly expectedWaitMs: number
  /** Daemons whose reports the decision is based on, this one included. */
  readonly heardDaemons: number
  /** Targets that get no requests, by the reason; only in refusals. */
  readonly obstacles?: Readonly<Partial<Record<obstacle.Obstacle, number>>>
}

/** A decision of a pool. */
export type PoolDecision =
  | { readonly kind: 'dispatch', readonly id: number, readonly target: targetRegistry.Target, readonly figures: Figures }
  | { readonly kind: 'refuse', readonly id: number, readonly reason: RefusalReason, readonly retryAfterMs: number, readonly figures: Figures }
