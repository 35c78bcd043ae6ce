/**
 * What membership does as time passes.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as learning from './learning.js'
import type * as membershipParts from './parts.js'
import type * as pendingProbes from './pending-probes.js'
import * as receiving from './receiving.js'
import * as sampling from './sampling.js'
import * as settings from './settings.js'
import * as suspicions from './suspicions.js'

type Outputs = Generator<event.Output, void>

function isLive (parts: membershipParts.Parts, incarnation: protocol.Incarnation): boolean {
  const state = parts.table.find(incarnation)?.news.state
  return state === 'alive' || state === 'leaving'
}

// A member that may not answer gets little to read.
function * probeBriefly (parts: membershipParts.Parts, to: protocol.Incarnation, counts: boolean, nowMs: number): Outputs {
  const sequence = parts.pending.open(to, { counts }, nowMs)
  yield receiving.send(to, { kind: 'probe', sequence, news: parts.composer.brief(to, nowMs) })
}

/**
 * Probes one daemon.
 *
 * @example
 * ```ts
 * yield * probe(parts, 'peer000000001', true, nowMs)
 * ```
 */
export function * probe (parts: membershipParts.Parts, to: protocol.Incarnation, counts: boolean, nowMs: number): Outputs {
  const sequence = parts.pending.open(to, { counts }, nowMs)
  yield receiving.send(to, { kind: 'probe', sequence, news: parts.composer.message(to, nowMs) })
}

function * askOthers (parts: membershipParts.Parts, unanswered: pendingProbes.Pending): Outputs {
  const others = parts.table.live().filter((entry) => entry.news.incarnation !== unanswered.to)
  for (const helper of sampling.sample(others, settings.INDIRECT_PROBES, parts.random)) {
    yield receiving.send(helper.news.incarnation, {
      kind: 'indirect-probe', sequence: unanswered.sequence, incarnation: unanswered.to
    })
  }
}

function * suspect (parts: membershipParts.Parts, failed: pendingProbes.Pending, nowMs: number): Outputs {
  parts.health.probeFailed(failed.sentMs)
  if (!parts.confirmation.isConfirmed(nowMs) || !isLive(parts, failed.to)) return
  const timeoutMs = suspicions.suspicionTimeoutMs(parts.table.live().length + 1, parts.health.score())
  const beat = parts.table.estimateBeat(failed.to, nowMs)
  if (!parts.suspicions.start(failed.to, beat, timeoutMs, nowMs)) return
  yield { kind: 'count', counter: 'membership.suspicions', value: 1 }
}

// The beat is raised to what the member's would be now, so that its older beats, still on their way, do not revive it.
function * declareGone (parts: membershipParts.Parts, suspicion: suspicions.Suspicion, nowMs: number): Outputs {
  const held = parts.table.find(suspicion.incarnation)
  if (held === undefined || held.news.state === 'gone') return
  const beat = parts.table.estimateBeat(suspicion.incarnation, nowMs)
  yield { kind: 'count', counter: 'membership.gone', value: 1 }
  yield * learning.learn(parts, { ...held.news, beat, state: 'gone' }, undefined, nowMs)
  yield * probeBriefly(parts, suspicion.incarnation, false, nowMs)
}

/**
 * Follows up probes and suspicions whose time is over.
 *
 * @example
 * ```ts
 * yield * followUp(parts, nowMs)
 * ```
 */
export function * followUp (parts: membershipParts.Parts, nowMs: number): Outputs {
  const scale = 1 + parts.health.score()
  for (const failed of parts.pending.takeFailed(settings.PROBE_FAILURE_MS * scale, nowMs)) {
    if (failed.counts) yield * suspect(parts, failed, nowMs)
  }
  for (const unanswered of parts.pending.takeUnanswered(settings.PROBE_TIMEOUT_MS * scale, nowMs)) {
    yield * askOthers(parts, unanswered)
  }
  for (const incarnation of parts.suspicions.takeProbes(nowMs)) yield * probeBriefly(parts, incarnation, true, nowMs)
  for (const expired of parts.suspicions.takeExpired(nowMs)) yield * declareGone(parts, expired, nowMs)
}

/**
 * Starts this interval's probe, of a member and of a seed if there is one.
 *
 * @example
 * ```ts
 * yield * probeNext(parts, nowMs)
 * ```
 */
export function * probeNext (parts: membershipParts.Parts, nowMs: number): Outputs {
  const next = parts.probeOrder.next(parts.table)
  if (next !== undefined) yield * probe(parts, next, true, nowMs)
  for (const seed of parts.seeds.take(1)) yield * probe(parts, seed, false, nowMs)
}

/**
 * Probes one member that is held for gone: after a partition it answers, and both sides merge.
 *
 * @example
 * ```ts
 * yield * probeGone(parts, nowMs)
 * ```
 */
export function * probeGone (parts: membershipParts.Parts, nowMs: number): Outputs {
  for (const entry of sampling.sample(parts.table.gone(), 1, parts.random)) {
    yield * probeBriefly(parts, entry.news.incarnation, false, nowMs)
  }
}

/**
 * Sends urgent news to several members, without asking for answers.
 *
 * @example
 * ```ts
 * yield * sendUrgent(parts, nowMs)
 * ```
 */
export function * sendUrgent (parts: membershipParts.Parts, nowMs: number): Outputs {
  const live = parts.table.live()
  if (live.length === 0) return
  const due = parts.urgent.due(nowMs)
  if (due.length === 0) return
  const { news, covered } = parts.composer.list(due, settings.MESSAGE_NEWS_BYTES, nowMs)
  parts.urgent.sent(due.slice(0, covered), nowMs)
  for (const entry of sampling.sample(live, settings.URGENT_FANOUT, parts.random)) {
    yield receiving.send(entry.news.incarnation, { kind: 'probe', sequence: receiving.UNANSWERED_SEQUENCE, news })
  }
}

/**
 * Starts a recurring synchronisation with random members. Daemons that start together, or regions that meet
 * again, converge in a logarithmic number of them.
 *
 * @example
 * ```ts
 * synchroniseNext(parts, nowMs)
 * ```
 */
export function synchroniseNext (parts: membershipParts.Parts, nowMs: number): void {
  if (parts.synchronisation.isDue(nowMs)) receiving.synchronise(parts, undefined, nowMs)
}

/**
 * Sends the next page of a synchronisation, if one is under way.
 *
 * @example
 * ```ts
 * yield * sendPage(parts, nowMs)
 * ```
 */
export function * sendPage (parts: membershipParts.Parts, nowMs: number): Outputs {
  const page = parts.synchronisation.next((keys) => parts.composer.list(keys, settings.PAGE_NEWS_BYTES, nowMs), nowMs)
  if (page === undefined) return
  const [any] = sampling.sample(parts.table.live(), 1, parts.random)
  const to = page.to ?? any?.news.incarnation
  if (to !== undefined) yield receiving.send(to, { kind: 'probe', sequence: receiving.UNANSWERED_SEQUENCE, news: page.news })
}
