/**
 * The authority of one pool: the only queue in front of the pool's targets.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as slotRequests from './slot-requests.js'
import * as context from './context.js'
import * as crashes from './crashes.js'
import * as floorMessages from './floor-messages.js'
import * as grants from './grants.js'
import * as holdings from './holdings.js'
import * as loadReports from './load-reports.js'
import type * as outputs from './outputs.js'
import * as releases from './releases.js'
import * as poolChanges from './pool-changes.js'
import * as tick from './tick.js'
import type * as event from './event.js'

/** Settings of an authority. */
export interface Options {
  readonly pool: string
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
}

/** State of one target, for status pages and tests. */
export interface TargetStatus {
  readonly target: string
  readonly state: 'serving' | 'leaving' | 'down'
  readonly tokensInFlight: number
  readonly limitTokens: number
  readonly requestsInFlight: number
  readonly limitRequests: number
  /** Latency factor relative to the other targets of its kind; 1 is normal. */
  readonly slowdown: number
}

/** State of an authority, for status pages and tests. */
export interface Status {
  readonly pool: string
  readonly settled: boolean
  readonly waiting: number
  readonly waitingByTier: Readonly<Record<string, number>>
  readonly targets: readonly TargetStatus[]
}

/** The authority of one pool. Its state is owned by a single task and changes only through events. */
export interface Authority {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  readonly status: () => Status
}

function * handleMessage (state: context.Context, from: protocol.Incarnation, message: event.ReceivedMessage, nowMs: number): outputs.Outputs {
  switch (message.kind) {
    case 'ask':
      return yield * slotRequests.handleSlotRequest(state, from, message, nowMs)
    case 'withdraw':
      return yield * slotRequests.handleWithdraw(state, from, message, nowMs)
    case 'round':
      yield * slotRequests.handleRound(state, from, message.round, nowMs)
      return yield * grants.grantWaiting(state, nowMs)
    case 'release':
      yield * releases.handleRelease(state, from, message, nowMs)
      yield * floorMessages.enforceFloors(state, nowMs)
      return yield * grants.grantWaiting(state, nowMs)
    case 'holdings':
      return yield * holdings.handleHoldings(state, from, message, protocol.GRANT_VALIDITY_MS, nowMs)
    case 'floor':
      return yield * floorMessages.handleFloor(state, from, message, nowMs)
    case 'floor-reached':
      return yield * floorMessages.handleFloorReached(state, from, message, nowMs)
  }
}

function * handleEvent (state: context.Context, input: event.Event, isSlowDue: (nowMs: number) => boolean, nowMs: number): outputs.Outputs {
  switch (input.kind) {
    case 'message':
      return yield * handleMessage(state, input.from, input.message, nowMs)
    case 'documents':
      return yield * poolChanges.handleDocuments(state, input.documents, nowMs)
    case 'members':
      return yield * poolChanges.handleMembers(state, input.entries, input.authorities, nowMs)
    case 'target':
      return yield * poolChanges.handleTargetUpdate(state, input.update, nowMs)
    case 'suspect':
      return yield * crashes.handleSuspectUpdate(state, input.update, nowMs)
    case 'load':
      return yield * loadReports.handleLoad(state, input.report, nowMs)
    case 'cache':
      if (state.targets.model(input.report.target) !== undefined) state.prefixes.applyReport(input.report)
      return
    case 'resumed':
      if (state.recovery.phase() !== 'idle') yield * holdings.startRecovery(state, nowMs)
      return
    case 'tick':
      return yield * tick.handleTick(state, isSlowDue(nowMs), nowMs)
  }
}

function readTargets (state: context.Context): readonly TargetStatus[] {
  return [...state.targets.names()].map((target) => {
    const model = state.targets.model(target)
    return {
      target,
      state: state.targets.state(target),
      tokensInFlight: model?.tokensInFlight() ?? 0,
      limitTokens: Math.round(model?.limitTokens() ?? 0),
      limitRequests: Math.round(model?.limitRequests() ?? 0),
      requestsInFlight: model?.requests() ?? 0,
      slowdown: state.targets.slowdown(target)
    }
  })
}

function countWaiting (state: context.Context): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const request of state.queue.all()) counts[request.message.tier] = (counts[request.message.tier] ?? 0) + 1
  return counts
}

/**
 * Creates the authority of a pool. It stays idle until a `members` event names it as the pool's authority.
 *
 * @example
 * ```ts
 * const authority = createAuthority({ pool: 'east', incarnation: '3k5x8q1m9d2ab', random })
 * for (const output of authority.handle({ kind: 'tick' }, nowMs)) perform(output)
 * ```
 */
export function createAuthority (options: Options): Authority {
  const state = context.createContext(options)
  const isSlowDue = tick.createSlowCheck()
  return {
    handle: (input, nowMs) => handleEvent(state, input, isSlowDue, nowMs),
    status: () => ({
      pool: options.pool,
      settled: state.recovery.phase() === 'settled',
      waiting: state.queue.size(),
      waitingByTier: countWaiting(state),
      targets: readTargets(state)
    })
  }
}
