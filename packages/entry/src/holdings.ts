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

function createHolding (running: request.Running, nowMs: number): protocol.Holding {
  return {
    ask: running.slotRequest.id,
    target: running.target,
    service: running.arrival.service,
    organisation: running.policy.organisation,
    tier: running.policy.rank,
    promptTokens: running.arrival.promptTokens,
    answerTokens: running.policy.answerTokens,
    nonIdempotent: running.policy.nonIdempotent,
    fingerprint: running.arrival.fingerprint,
    runningMs: Math.round(nowMs - running.dispatchedAtMs)
  }
}

/** Whether this entry holds a slot in a pool that a daemon does not count. */
export function hasUnreportedSlots (entryState: state.State, authority: protocol.Incarnation, pool: string): boolean {
  return entryState.running().some((running) => running.slotRequest.pool === pool && !running.informedAuthorities.has(authority))
}

/** Tells a daemon every slot that this entry holds in a pool. */
export function * report (entryState: state.State, to: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  const inPool = entryState.running().filter((running) => running.slotRequest.pool === pool)
  for (const running of inPool) entryState.requests.set(running.arrival.request, { ...running, informedAuthorities: new Set([...running.informedAuthorities, to]) })
  yield output.send(to, { kind: 'holdings', pool, holdings: inPool.map((running) => createHolding(running, nowMs)) })
}

/**
 * Tells daemons that collected before of a slot that another one granted since. They may be the
 * authority already although this entry has not learned of it.
 */
export function * reportToCollectors (entryState: state.State, granting: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  for (const collector of entryState.collectors.get(pool) ?? []) {
    if (collector !== granting) yield * report(entryState, collector, pool, nowMs)
  }
}

/** Answers a collect, and repeats the asks that wait for the collecting authority. */
export function * handleCollect (entryState: state.State, from: protocol.Incarnation, collect: protocol.Collect, nowMs: number): output.Outputs {
  entryState.collectors.set(collect.pool, new Set([...entryState.collectors.get(collect.pool) ?? [], from]))
  yield * report(entryState, from, collect.pool, nowMs)
  yield * slotRequest.retrySlotRequests(entryState, (sent) => sent.pool === collect.pool && sent.authority === from, nowMs)
}

/** Forgets collectors of pools whose authority is known to be another daemon. */
export function removeFormerCollectors (entryState: state.State): void {
  for (const [pool, collectors] of entryState.collectors) {
    const authority = entryState.authorities.get(pool)
    if (authority !== undefined) entryState.collectors.set(pool, new Set([...collectors].filter((collector) => collector === authority)))
  }
}
