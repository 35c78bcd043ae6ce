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
import * as surroundings from './surroundings.js'
import * as tick from './tick.js'

/** Identities that an entry remembers when its settings don't say. */
export const DEFAULT_IDENTITY_LIMIT = 50_000

/** Outcomes of requests without an identity that an entry keeps when its settings don't say. */
export const DEFAULT_UNNAMED_LIMIT = 10_000

/** Settings of an entry. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  /** Finds the daemon that owns an identity; undefined when it is gone or unknown. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Most requests waiting or running at one time. */
  readonly requestLimit: number
  /** Most identities remembered; a full ledger shortens the retention. `DEFAULT_IDENTITY_LIMIT` when left out. */
  readonly identityLimit?: number
  /** Most outcomes kept of requests without an identity. `DEFAULT_UNNAMED_LIMIT` when left out. */
  readonly unnamedLimit?: number
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

function readSettings (options: Options): state.Settings {
  return {
    identityLimit: DEFAULT_IDENTITY_LIMIT,
    unnamedLimit: DEFAULT_UNNAMED_LIMIT,
    orderPools: poolOrder.rendezvousOrder,
    isEligiblePool: () => true,
    ...options
  }
}

function * advanceBeat (own: state.State, beat: number): output.Outputs {
  for (const forgotten of own.ledger.advance(beat)) yield { kind: 'forget', request: forgotten.request }
  yield * own.unnamed.expire(own.ledger.lowWaterEpoch)
}

function * react (own: state.State, input: event.Event, nowMs: number): output.Outputs {
  switch (input.kind) {
    case 'arrival': return yield * arrival.handleArrival(own, input.arrival, nowMs)
    case 'caller-gone': return yield * callerGone.handleCallerGone(own, input.request, nowMs)
    case 'message': return yield * authorityMessage.handleMessage(own, input.from, input.message, nowMs)
    case 'documents': return yield * surroundings.handleDocuments(own, input.documents, nowMs)
    case 'authorities': return yield * surroundings.handleAuthorities(own, input.authorities, input.reconnected, nowMs)
    case 'target': return own.targets.update(input.news)
    case 'suspect': return yield * surroundings.handleSuspect(own, input.news, nowMs)
    case 'ended': return yield * dispatchEnd.handleEnd(own, input.request, input.end, nowMs)
    case 'beat': return yield * advanceBeat(own, input.beat)
    case 'drain': own.draining = true; return
    case 'resumed': return yield * surroundings.handleResumed(own, nowMs)
    case 'tick': return yield * tick.handleTick(own, nowMs)
  }
}

function * reportDrained (own: state.State): output.Outputs {
  if (!own.draining || own.drainedReported || own.requests.size > 0) return
  own.drainedReported = true
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
  const own = new state.State(readSettings(options))
  return {
    * handle (input, nowMs) {
      yield * react(own, input, nowMs)
      yield * reportDrained(own)
    },
    status: () => ({
      waiting: own.waiting().length,
      running: own.running().length,
      remembered: own.ledger.size + own.unnamed.size,
      draining: own.draining
    }),
    receipt: (identity) => own.ledger.find(identity)?.settlement?.receipt ?? own.unnamed.find(identity)
  }
}
