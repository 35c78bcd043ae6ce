/**
 * What authorities are told of the slots that this entry holds.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as output from './output.js'
import type * as request from './request.js'
import * as slotRequest from './slot-request.js'
import type * as state from './state.js'

function holding (running: request.Running, nowMs: number): protocol.Holding {
  return {
    ask: running.slot.ask,
    target: running.target,
    service: running.arrival.service,
    organisation: running.terms.organisation,
    tier: running.terms.rank,
    promptTokens: running.arrival.promptTokens,
    answerTokens: running.terms.answerTokens,
    nonIdempotent: running.terms.nonIdempotent,
    fingerprint: running.arrival.fingerprint,
    runningMs: Math.round(nowMs - running.dispatchedMs)
  }
}

/** Whether this entry holds a slot in a pool that a daemon does not count. */
export function isUnknownTo (own: state.State, authority: protocol.Incarnation, pool: string): boolean {
  return own.running().some((running) => running.slot.pool === pool && !running.holders.has(authority))
}

/** Tells a daemon every slot that this entry holds in a pool. */
export function * report (own: state.State, to: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  const held = own.running().filter((running) => running.slot.pool === pool)
  for (const running of held) own.requests.set(running.arrival.request, { ...running, holders: new Set([...running.holders, to]) })
  yield output.send(to, { kind: 'holdings', pool, holdings: held.map((running) => holding(running, nowMs)) })
}

/**
 * Tells daemons that collected before of a slot that another one granted since. They may be the
 * authority already although this entry has not learned of it.
 */
export function * reportToCollectors (own: state.State, granting: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  for (const collector of own.collectors.get(pool) ?? []) {
    if (collector !== granting) yield * report(own, collector, pool, nowMs)
  }
}

/** Answers a collect, and repeats the asks that wait for the collecting authority. */
export function * handleCollect (own: state.State, from: protocol.Incarnation, collect: protocol.Collect, nowMs: number): output.Outputs {
  own.collectors.set(collect.pool, new Set([...own.collectors.get(collect.pool) ?? [], from]))
  yield * report(own, from, collect.pool, nowMs)
  yield * slotRequest.repeatAsks(own, (slot) => slot.pool === collect.pool && slot.authority === from, nowMs)
}

/** Forgets collectors of pools whose authority is known to be another daemon. */
export function forgetCollectors (own: state.State): void {
  for (const [pool, collectors] of own.collectors) {
    const authority = own.authorities.get(pool)
    if (authority !== undefined) own.collectors.set(pool, new Set([...collectors].filter((collector) => collector === authority)))
  }
}
