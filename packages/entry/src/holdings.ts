/**
 * Reports the slots that this entry holds to authorities.
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

/** Returns whether this entry holds a slot in a pool that was not reported to an authority. */
export function hasUnreportedSlots (entryState: state.State, authority: protocol.Incarnation, pool: string): boolean {
  return entryState.running().some((running) => running.slotRequest.pool === pool && !running.informedAuthorities.has(authority))
}

/** Reports every slot that this entry holds in a pool to a daemon. */
export function * report (entryState: state.State, to: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  const inPool = entryState.running().filter((running) => running.slotRequest.pool === pool)
  for (const running of inPool) entryState.requests.set(running.arrival.request, { ...running, informedAuthorities: new Set([...running.informedAuthorities, to]) })
  yield output.send(to, { kind: 'holdings', pool, holdings: inPool.map((running) => createHolding(running, nowMs)) })
}

/**
 * Reports a newly granted slot to the other daemons that collected holdings of its pool before. One of
 * them may already be the authority, although this entry does not know it yet.
 */
export function * reportToCollectors (entryState: state.State, granting: protocol.Incarnation, pool: string, nowMs: number): output.Outputs {
  for (const collector of entryState.collectors.get(pool) ?? []) {
    if (collector !== granting) yield * report(entryState, collector, pool, nowMs)
  }
}

/** Replies to a collect, and retries the slot requests that wait at the collecting authority. */
export function * handleCollect (entryState: state.State, from: protocol.Incarnation, collect: protocol.Collect, nowMs: number): output.Outputs {
  entryState.collectors.set(collect.pool, new Set([...entryState.collectors.get(collect.pool) ?? [], from]))
  yield * report(entryState, from, collect.pool, nowMs)
  yield * slotRequest.retrySlotRequests(entryState, (sent) => sent.pool === collect.pool && sent.authority === from, nowMs)
}

/** Removes collectors that are not the authority of their pool, for pools whose authority is known. */
export function removeFormerCollectors (entryState: state.State): void {
  for (const [pool, collectors] of entryState.collectors) {
    const authority = entryState.authorities.get(pool)
    if (authority !== undefined) entryState.collectors.set(pool, new Set([...collectors].filter((collector) => collector === authority)))
  }
}
