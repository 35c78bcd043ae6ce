/**
 * Owns the requests of one daemon: their identities, their single dispatch and their outcomes.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as arrival from './arrival.js'
import * as authorityMessage from './authority-message.js'
import * as callerGone from './caller-gone.js'
import * as dispatchEnd from './dispatch-end.js'
import type * as event from './event.js'
import type * as output from './output.js'
import * as poolOrder from './pool-order.js'
import * as state from './state.js'
import * as environment from './environment.js'
import * as tick from './tick.js'

/** Default of `Options.identityLimit`. */
export const DEFAULT_IDENTITY_LIMIT = 50_000

/** Default of `Options.receiptOnlyLimit`. */
export const DEFAULT_RECEIPT_ONLY_LIMIT = 10_000

/** Options of `createEntry`. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  /** Finds the daemon that owns an identity; returns undefined when it was removed or is unknown. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Maximum number of requests that wait or run at one time. */
  readonly requestLimit: number
  /** Maximum number of remembered identities; a full ledger shortens the retention. Defaults to `DEFAULT_IDENTITY_LIMIT`. */
  readonly identityLimit?: number
  /** Maximum number of retained outcomes of requests without an identity. Defaults to `DEFAULT_RECEIPT_ONLY_LIMIT`. */
  readonly receiptOnlyLimit?: number
  /** Order in which a request tries the pools of its service. Defaults to rendezvous hashing. */
  readonly orderPools?: poolOrder.PoolOrder
  /** Whether requests may go to a pool, for example one in the daemon's region. Defaults to all pools. */
  readonly isEligiblePool?: (pool: string) => boolean
}

/** Figures for status pages. */
export interface Status {
  readonly waiting: number
  readonly running: number
  readonly remembered: number
  readonly draining: boolean
}

/** An entry. Its state is owned by one task and changed only by events. */
export interface Entry {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  readonly status: () => Status
  /** Returns the receipt of a settled request that is still remembered, for `explain`. */
  readonly receipt: (identity: string) => event.Receipt | undefined
}

function applyDefaults (options: Options): state.Settings {
  return {
    identityLimit: DEFAULT_IDENTITY_LIMIT,
    receiptOnlyLimit: DEFAULT_RECEIPT_ONLY_LIMIT,
    orderPools: poolOrder.rendezvousOrder,
    isEligiblePool: () => true,
    ...options
  }
}

function * advanceHeartbeat (entryState: state.State, heartbeat: number): output.Outputs {
  for (const forgotten of entryState.ledger.advance(heartbeat)) yield { kind: 'forget', request: forgotten.request }
  yield * entryState.receiptOnlyOutcomes.expire(entryState.ledger.lowWaterEpoch)
}

function * handleEvent (entryState: state.State, input: event.Event, nowMs: number): output.Outputs {
  switch (input.kind) {
    case 'arrival': return yield * arrival.handleArrival(entryState, input.arrival, nowMs)
    case 'caller-gone': return yield * callerGone.handleCallerGone(entryState, input.request, nowMs)
    case 'message': return yield * authorityMessage.handleMessage(entryState, input.from, input.message, nowMs)
    case 'documents': return yield * environment.handleDocuments(entryState, input.documents, nowMs)
    case 'authorities': return yield * environment.handleAuthorities(entryState, input.authorities, input.reconnected, nowMs)
    case 'target': return entryState.targets.apply(input.update)
    case 'suspect': return yield * environment.handleSuspect(entryState, input.update, nowMs)
    case 'ended': return yield * dispatchEnd.handleDispatchEnd(entryState, input.request, input.end, nowMs)
    case 'heartbeat': return yield * advanceHeartbeat(entryState, input.heartbeat)
    case 'drain': entryState.draining = true; return
    case 'resumed': return yield * environment.handleResumed(entryState, nowMs)
    case 'tick': return yield * tick.handleTick(entryState, nowMs)
  }
}

function * reportDrained (entryState: state.State): output.Outputs {
  if (!entryState.draining || entryState.isDrainedReported || entryState.requests.size > 0) return
  entryState.isDrainedReported = true
  yield { kind: 'drained' }
}

/**
 * Creates an entry.
 *
 * @example
 * ```ts
 * const entry = createEntry({ incarnation, random: Math.random, findMember, requestLimit: 2_000 })
 * for (const output of entry.handle({ kind: 'arrival', arrival }, nowMs)) perform(output)
 * ```
 */
export function createEntry (options: Options): Entry {
  const entryState = new state.State(applyDefaults(options))
  return {
    * handle (input, nowMs) {
      yield * handleEvent(entryState, input, nowMs)
      yield * reportDrained(entryState)
    },
    status: () => ({
      waiting: entryState.waiting().length,
      running: entryState.running().length,
      remembered: entryState.ledger.size + entryState.receiptOnlyOutcomes.size,
      draining: entryState.draining
    }),
    receipt: (identity) => entryState.ledger.find(identity)?.settlement?.receipt ?? entryState.receiptOnlyOutcomes.find(identity)
  }
}
