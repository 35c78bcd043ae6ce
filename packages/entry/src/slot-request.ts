/**
 * Requests slots. Each waiting request has at most one outstanding slot request, at the authority of one of its pools.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as output from './output.js'
import type * as request from './request.js'
import type * as state from './state.js'

/** Time after which a slot request without a reply is sent again, milliseconds. */
export const SLOT_REQUEST_RETRY_INTERVAL_MS = 15_000

/** Withdraws the outstanding slot request of a waiting request. Grants for it are unusable from then on. */
export function * withdraw (entryState: state.State, waiting: request.Waiting): output.Outputs {
  if (waiting.slotRequest === undefined) return
  entryState.requestBySlotRequest.delete(waiting.slotRequest.id)
  yield output.send(waiting.slotRequest.authority, { kind: 'withdraw', ask: waiting.slotRequest.id })
}

function choosePool (entryState: state.State, waiting: request.Waiting): string | undefined {
  const pools = waiting.policy.pools.filter((pool) => !waiting.exhaustedPools.includes(pool))
  const affinity = waiting.arrival.prefixes[0] ?? waiting.identity
  return entryState.settings.orderPools(pools, `${waiting.policy.organisation} ${affinity}`)[0]
}

function createMessage (entryState: state.State, waiting: request.Waiting, sent: request.SentSlotRequest, nowMs: number): protocol.SlotRequest {
  return {
    kind: 'ask',
    ask: sent.id,
    pool: sent.pool,
    service: waiting.arrival.service,
    organisation: waiting.policy.organisation,
    tier: waiting.policy.rank,
    promptTokens: waiting.arrival.promptTokens,
    answerTokens: waiting.policy.answerTokens,
    prefixes: waiting.arrival.prefixes.slice(0, protocol.MAX_PREFIXES),
    deadlineMs: Math.max(0, Math.floor(waiting.deadlineAtMs - nowMs)),
    nonIdempotent: waiting.policy.nonIdempotent,
    fingerprint: waiting.arrival.fingerprint,
    waitedMs: Math.round(nowMs - waiting.acceptedAtMs),
    round: entryState.rounds.current(sent.authority, nowMs)
  }
}

/** Lets a request wait without an outstanding slot request until a given time. */
export function postpone (entryState: state.State, waiting: request.Waiting, nextSlotRequestAtMs: number): void {
  if (waiting.slotRequest !== undefined) entryState.requestBySlotRequest.delete(waiting.slotRequest.id)
  entryState.requests.set(waiting.arrival.request, { ...waiting, slotRequest: undefined, nextSlotRequestAtMs })
}

/**
 * Requests a slot under a new id and withdraws the former slot request. Without an authority the request
 * waits until one is known.
 */
export function * requestSlot (entryState: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  yield * withdraw(entryState, waiting)
  const pool = choosePool(entryState, waiting)
  const authority = pool === undefined ? undefined : entryState.authorities.get(pool)
  if (pool === undefined || authority === undefined) {
    postpone(entryState, waiting, nowMs + protocol.ROUND_INTERVAL_MS)
    return
  }
  const sent = { id: entryState.nextSlotRequestId(), pool, authority, sentAtMs: nowMs }
  entryState.requestBySlotRequest.set(sent.id, waiting.arrival.request)
  entryState.requests.set(waiting.arrival.request, { ...waiting, slotRequest: sent })
  yield output.send(authority, createMessage(entryState, waiting, sent, nowMs))
}

/** Sends an outstanding slot request again, because the authority may not have received it or its grant may have been lost. */
export function * retry (entryState: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  if (waiting.slotRequest === undefined) return
  const sent = { ...waiting.slotRequest, sentAtMs: nowMs }
  entryState.requests.set(waiting.arrival.request, { ...waiting, slotRequest: sent })
  yield output.send(sent.authority, createMessage(entryState, waiting, sent, nowMs))
}

/** Retries the outstanding slot requests that satisfy a condition. */
export function * retrySlotRequests (entryState: state.State, isAffected: (sent: request.SentSlotRequest) => boolean, nowMs: number): output.Outputs {
  for (const waiting of entryState.waiting()) {
    if (waiting.slotRequest !== undefined && isAffected(waiting.slotRequest)) yield * retry(entryState, waiting, nowMs)
  }
}

/** Sends a new slot request for every waiting request that satisfies a condition. */
export function * requestSlots (entryState: state.State, isAffected: (waiting: request.Waiting) => boolean, nowMs: number): output.Outputs {
  for (const waiting of entryState.waiting()) {
    if (isAffected(waiting)) yield * requestSlot(entryState, waiting, nowMs)
  }
}

function findAuthoritiesWithRequests (entryState: state.State): ReadonlySet<protocol.Incarnation> {
  const authorities = new Set<protocol.Incarnation>()
  for (const each of entryState.requests.values()) {
    if (each.state === 'waiting' && each.slotRequest !== undefined) authorities.add(each.slotRequest.authority)
  }
  return authorities
}

/** Sends a new round to each authority that has outstanding slot requests of this entry, where one is due. */
export function * renewRounds (entryState: state.State, nowMs: number): output.Outputs {
  for (const authority of findAuthoritiesWithRequests(entryState)) {
    if (entryState.rounds.isDue(authority, nowMs)) yield output.send(authority, { kind: 'round', round: entryState.rounds.renew(authority, nowMs) })
  }
}
