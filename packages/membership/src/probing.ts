/**
 * Periodic work of membership: probes, time-outs and synchronisation.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as dissemination from './dissemination.js'
import type * as membershipState from './state.js'
import type * as pendingProbes from './pending-probes.js'
import * as receiving from './receiving.js'
import * as sampling from './sampling.js'
import * as settings from './settings.js'
import * as suspicions from './suspicions.js'

type Outputs = Generator<event.Output, void>

function isLive (state: membershipState.State, incarnation: protocol.Incarnation): boolean {
  const memberState = state.table.find(incarnation)?.member.state
  return memberState === 'alive' || memberState === 'leaving'
}

// Keeps the probe small, because the member may be unreachable.
function * probeBriefly (state: membershipState.State, to: protocol.Incarnation, detectsFailure: boolean, nowMs: number): Outputs {
  const sequence = state.pending.open(to, { detectsFailure }, nowMs)
  yield receiving.send(to, { kind: 'probe', sequence, news: state.composer.briefUpdates(to, nowMs) })
}

/**
 * Probes one daemon.
 *
 * @example
 * ```ts
 * yield * probe(state, 'peer000000001', true, nowMs)
 * ```
 */
export function * probe (state: membershipState.State, to: protocol.Incarnation, detectsFailure: boolean, nowMs: number): Outputs {
  const sequence = state.pending.open(to, { detectsFailure }, nowMs)
  yield receiving.send(to, { kind: 'probe', sequence, news: state.composer.messageUpdates(to, nowMs) })
}

function * sendIndirectProbes (state: membershipState.State, unanswered: pendingProbes.PendingProbe): Outputs {
  const others = state.table.live().filter((record) => record.member.incarnation !== unanswered.to)
  for (const helper of sampling.sample(others, settings.INDIRECT_PROBES, state.random)) {
    yield receiving.send(helper.member.incarnation, {
      kind: 'indirect-probe', sequence: unanswered.sequence, incarnation: unanswered.to
    })
  }
}

function * suspect (state: membershipState.State, failed: pendingProbes.PendingProbe, nowMs: number): Outputs {
  state.health.probeFailed(failed.sentMs)
  if (!state.confirmation.isConfirmed(nowMs) || !isLive(state, failed.to)) return
  const timeoutMs = suspicions.suspicionTimeoutMs(state.table.live().length + 1, state.health.score())
  const heartbeat = state.table.estimateHeartbeat(failed.to, nowMs)
  if (!state.suspicions.start(failed.to, heartbeat, timeoutMs, nowMs)) return
  yield { kind: 'count', counter: 'membership.suspicions', value: 1 }
}

// Raises the heartbeat to its estimated current value, so that older heartbeats still in transit do not revive the member.
function * declareDead (state: membershipState.State, suspicion: suspicions.Suspicion, nowMs: number): Outputs {
  const record = state.table.find(suspicion.incarnation)
  if (record === undefined || record.member.state === 'gone') return
  const heartbeat = state.table.estimateHeartbeat(suspicion.incarnation, nowMs)
  yield { kind: 'count', counter: 'membership.gone', value: 1 }
  yield * dissemination.applyUpdate(state, { ...record.member, beat: heartbeat, state: 'gone' }, undefined, nowMs)
  yield * probeBriefly(state, suspicion.incarnation, false, nowMs)
}

/**
 * Handles probes and suspicions that have timed out.
 *
 * @example
 * ```ts
 * yield * handleTimeouts(state, nowMs)
 * ```
 */
export function * handleTimeouts (state: membershipState.State, nowMs: number): Outputs {
  const scale = 1 + state.health.score()
  for (const failed of state.pending.removeFailed(settings.PROBE_FAILURE_MS * scale, nowMs)) {
    if (failed.detectsFailure) yield * suspect(state, failed, nowMs)
  }
  for (const unanswered of state.pending.collectUnanswered(settings.PROBE_TIMEOUT_MS * scale, nowMs)) {
    yield * sendIndirectProbes(state, unanswered)
  }
  for (const incarnation of state.suspicions.collectDueProbes(nowMs)) yield * probeBriefly(state, incarnation, true, nowMs)
  for (const expired of state.suspicions.removeExpired(nowMs)) yield * declareDead(state, expired, nowMs)
}

/**
 * Sends this interval's probes: to one member, and to one seed if there is any.
 *
 * @example
 * ```ts
 * yield * probeNext(state, nowMs)
 * ```
 */
export function * probeNext (state: membershipState.State, nowMs: number): Outputs {
  const next = state.probeOrder.next(state.table)
  if (next !== undefined) yield * probe(state, next, true, nowMs)
  for (const seed of state.seeds.chooseForProbing(1)) yield * probe(state, seed, false, nowMs)
}

/**
 * Probes one dead member: after a partition it sends an ack, and the two sides merge.
 *
 * @example
 * ```ts
 * yield * probeDead(state, nowMs)
 * ```
 */
export function * probeDead (state: membershipState.State, nowMs: number): Outputs {
  for (const record of sampling.sample(state.table.dead(), 1, state.random)) {
    yield * probeBriefly(state, record.member.incarnation, false, nowMs)
  }
}

/**
 * Sends urgent updates to several members without requesting acks.
 *
 * @example
 * ```ts
 * yield * sendUrgent(state, nowMs)
 * ```
 */
export function * sendUrgent (state: membershipState.State, nowMs: number): Outputs {
  const live = state.table.live()
  if (live.length === 0) return
  const due = state.urgent.dueKeys(nowMs)
  if (due.length === 0) return
  const { updates, covered } = state.composer.listUpdates(due, settings.MAX_MESSAGE_UPDATES_BYTES, nowMs)
  state.urgent.markSent(due.slice(0, covered), nowMs)
  for (const record of sampling.sample(live, settings.URGENT_FANOUT, state.random)) {
    yield receiving.send(record.member.incarnation, { kind: 'probe', sequence: receiving.NO_ACK_SEQUENCE, news: updates })
  }
}

/**
 * Starts a recurring synchronisation with random members if one is due. Daemons that start together, and regions
 * that merge after a partition, converge in a logarithmic number of synchronisations.
 *
 * @example
 * ```ts
 * startDueSynchronisation(state, nowMs)
 * ```
 */
export function startDueSynchronisation (state: membershipState.State, nowMs: number): void {
  if (state.synchronisation.isDue(nowMs)) receiving.synchronise(state, undefined, nowMs)
}

/**
 * Sends the next page of the current synchronisation, if any.
 *
 * @example
 * ```ts
 * yield * sendPage(state, nowMs)
 * ```
 */
export function * sendPage (state: membershipState.State, nowMs: number): Outputs {
  const page = state.synchronisation.nextPage((keys) => state.composer.listUpdates(keys, settings.MAX_PAGE_UPDATES_BYTES, nowMs), nowMs)
  if (page === undefined) return
  const [randomMember] = sampling.sample(state.table.live(), 1, state.random)
  const to = page.to ?? randomMember?.member.incarnation
  if (to !== undefined) yield receiving.send(to, { kind: 'probe', sequence: receiving.NO_ACK_SEQUENCE, news: page.updates })
}
