/**
 * Asks for slots: one outstanding ask for each waiting request, to the authority of one of its pools.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as output from './output.js'
import type * as request from './request.js'
import type * as state from './state.js'

/** Time after which an ask that was not answered is sent once more, milliseconds. */
export const ASK_RETRY_INTERVAL_MS = 15_000

/** Takes back the outstanding ask of a request; grants for it are unusable from then on. */
export function * withdraw (own: state.State, waiting: request.Waiting): output.Outputs {
  if (waiting.slot === undefined) return
  own.requestOfAsk.delete(waiting.slot.ask)
  yield output.send(waiting.slot.authority, { kind: 'withdraw', ask: waiting.slot.ask })
}

function choosePool (own: state.State, waiting: request.Waiting): string | undefined {
  const pools = waiting.terms.pools.filter((pool) => !waiting.exhaustedPools.includes(pool))
  const spread = waiting.arrival.prefixes[0] ?? waiting.identity
  return own.settings.orderPools(pools, `${waiting.terms.organisation} ${spread}`)[0]
}

function askMessage (own: state.State, waiting: request.Waiting, slot: request.Slot, nowMs: number): protocol.SlotRequest {
  return {
    kind: 'ask',
    ask: slot.ask,
    pool: slot.pool,
    service: waiting.arrival.service,
    organisation: waiting.terms.organisation,
    tier: waiting.terms.rank,
    promptTokens: waiting.arrival.promptTokens,
    answerTokens: waiting.terms.answerTokens,
    prefixes: waiting.arrival.prefixes.slice(0, protocol.MAX_PREFIXES),
    deadlineMs: Math.max(0, Math.floor(waiting.deadlineAtMs - nowMs)),
    nonIdempotent: waiting.terms.nonIdempotent,
    fingerprint: waiting.arrival.fingerprint,
    waitedMs: Math.round(nowMs - waiting.acceptedMs),
    round: own.rounds.current(slot.authority, nowMs)
  }
}

/** Keeps a request waiting without an outstanding ask. */
export function postpone (own: state.State, waiting: request.Waiting, askAgainAtMs: number): void {
  if (waiting.slot !== undefined) own.requestOfAsk.delete(waiting.slot.ask)
  own.requests.set(waiting.arrival.request, { ...waiting, slot: undefined, askAgainAtMs })
}

/**
 * Asks for a slot under a new number and takes back the former ask. Without an authority the request
 * waits until one is known.
 */
export function * ask (own: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  yield * withdraw(own, waiting)
  const pool = choosePool(own, waiting)
  const authority = pool === undefined ? undefined : own.authorities.get(pool)
  if (pool === undefined || authority === undefined) {
    postpone(own, waiting, nowMs + protocol.ROUND_INTERVAL_MS)
    return
  }
  const slot = { ask: own.nextAsk(), pool, authority, askedMs: nowMs }
  own.requestOfAsk.set(slot.ask, waiting.arrival.request)
  own.requests.set(waiting.arrival.request, { ...waiting, slot })
  yield output.send(authority, askMessage(own, waiting, slot, nowMs))
}

/** Sends an outstanding ask once more, for an authority that may not have received it or whose grant was lost. */
export function * repeat (own: state.State, waiting: request.Waiting, nowMs: number): output.Outputs {
  if (waiting.slot === undefined) return
  const slot = { ...waiting.slot, askedMs: nowMs }
  own.requests.set(waiting.arrival.request, { ...waiting, slot })
  yield output.send(slot.authority, askMessage(own, waiting, slot, nowMs))
}

/** Repeats the outstanding asks that the condition holds for. */
export function * repeatAsks (own: state.State, isAffected: (slot: request.Slot) => boolean, nowMs: number): output.Outputs {
  for (const waiting of own.waiting()) {
    if (waiting.slot !== undefined && isAffected(waiting.slot)) yield * repeat(own, waiting, nowMs)
  }
}

/** Asks again for every waiting request that the condition holds for. */
export function * askAgain (own: state.State, isAffected: (waiting: request.Waiting) => boolean, nowMs: number): output.Outputs {
  for (const waiting of own.waiting()) {
    if (isAffected(waiting)) yield * ask(own, waiting, nowMs)
  }
}

function askedAuthorities (own: state.State): ReadonlySet<protocol.Incarnation> {
  const authorities = new Set<protocol.Incarnation>()
  for (const each of own.requests.values()) {
    if (each.state === 'waiting' && each.slot !== undefined) authorities.add(each.slot.authority)
  }
  return authorities
}

/** Sends a round to each authority that has asks of this entry waiting, when the latest is due for renewal. */
export function * renewRounds (own: state.State, nowMs: number): output.Outputs {
  for (const authority of askedAuthorities(own)) {
    if (own.rounds.isDue(authority, nowMs)) yield output.send(authority, { kind: 'round', round: own.rounds.renew(authority, nowMs) })
  }
}
