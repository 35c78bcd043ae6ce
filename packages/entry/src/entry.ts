/**
 * The owner of the requests of one daemon: their identities, their single dispatch and their outcomes.
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

/** Identities that an entry remembers when its settings don't say. */
export const DEFAULT_IDENTITY_LIMIT = 50_000

/** Outcomes of requests without an identity that an entry keeps when its settings don't say. */
export const DEFAULT_RECEIPT_ONLY_LIMIT = 10_000

/** Settings of an entry. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  /** Finds the daemon that owns an identity; undefined when it is gone or unknown. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberNews | undefined
  /** Most requests waiting or running at one time. */
  readonly requestLimit: number
  /** Most identities remembered; a full ledger shortens the retention. `DEFAULT_IDENTITY_LIMIT` when left out. */
  readonly identityLimit?: number
  /** Most outcomes kept of requests without an identity. `DEFAULT_UNNAMED_LIMIT` when left out. */
  readonly receiptOnlyLimit?: number
  /** In which order a request tries the pools of its service; rendezvous hashing when left out. */
  readonly orderPools?: poolOrder.PoolOrder
  /** Whether requests may go to a pool, such as those of the daemon's region; all when left out. */
  readonly isEligiblePool?: (pool: string) => boolean
}

/** Counts for status pages. */
export interface Status {
  readonly waiting: number
  readonly running: number
  readonly remembered: number
  readonly draining: boolean
}

/** An entry: state owned by one task, driven by events. */
export interface Entry {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  readonly status: () => Status
  /** The receipt of a remembered request, for `explain`. */
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

function * advanceHeartbeat (entryState: state.State, beat: number): output.Outputs {
  for (const forgotten of entryState.ledger.advance(beat)) yield { kind: 'forget', request: forgotten.request }
  yield * entryState.receiptOnlyOutcomes.expire(entryState.ledger.lowWaterEpoch)
}

function * handleEvent (entryState: state.State, input: event.Event, nowMs: number): output.Outputs {
  switch (input.kind) {
    case 'arrival': return yield * arrival.handleArrival(entryState, input.arrival, nowMs)
    case 'caller-gone': return yield * callerGone.handleCallerGone(entryState, input.request, nowMs)
    case 'message': return yield * authorityMessage.handleMessage(entryState, input.from, input.message, nowMs)
    case 'documents': return yield * environment.handleDocuments(entryState, input.documents, nowMs)
    case 'authorities': return yield * environment.handleAuthorities(entryState, input.authorities, input.reconnected, nowMs)
    case 'target': return entryState.targets.apply(input.news)
    case 'suspect': return yield * environment.handleSuspect(entryState, input.news, nowMs)
    case 'ended': return yield * dispatchEnd.handleDispatchEnd(entryState, input.request, input.end, nowMs)
    case 'beat': return yield * advanceHeartbeat(entryState, input.beat)
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
