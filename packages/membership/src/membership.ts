/**
 * Who is alive: sampled probes between daemons, with news carried on them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as learning from './learning.js'
import * as membershipParts from './parts.js'
import * as probing from './probing.js'
import * as receiving from './receiving.js'
import * as sampling from './sampling.js'
import * as schedule from './schedule.js'
import * as settings from './settings.js'

/** Settings of membership. */
export interface Options {
  readonly self: protocol.MemberUpdate
  readonly random: protocol.Random
}

/** Membership: state owned by one task, driven by events. */
export interface Membership {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  /** Live and leaving members, this daemon included. */
  readonly members: () => readonly protocol.MemberUpdate[]
  /** What is known of a daemon, in whatever state: also of gone ones and of those introduced and not heard of. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Newest known news about targets, suspects and revisions. */
  readonly news: () => readonly protocol.Update[]
  /** False after the start or a suspension, until the view of the others is fresh enough to act on. */
  readonly isConfirmed: () => boolean
}

type Outputs = Generator<event.Output, void>

interface Schedules {
  readonly probe: schedule.Schedule
  readonly gone: schedule.Schedule
  readonly purge: schedule.Schedule
}

function createSchedules (random: protocol.Random): Schedules {
  return {
    probe: schedule.createSchedule(settings.PROBE_INTERVAL_MS, random()),
    gone: schedule.createSchedule(settings.GONE_PROBE_INTERVAL_MS, random()),
    purge: schedule.createSchedule(settings.PROBE_INTERVAL_MS, random())
  }
}

function * introduce (parts: membershipParts.Parts, members: readonly protocol.MemberUpdate[], nowMs: number): Outputs {
  const unknown = members.filter((news) => news.incarnation !== parts.self.incarnation && parts.table.find(news.incarnation) === undefined)
  for (const news of unknown) parts.seeds.add(news)
  if (unknown.length === 0) return
  for (const seed of parts.seeds.take(settings.SEED_PROBES)) yield * probing.probe(parts, seed, false, nowMs)
}

function * resume (parts: membershipParts.Parts, nowMs: number): Outputs {
  parts.pending.clear()
  parts.suspicions.clearAll()
  parts.synchronisation.catchUp(nowMs)
  const round = sampling.sample(parts.table.live(), settings.RESUME_PROBES, parts.random).map((entry) => entry.news.incarnation)
  parts.confirmation.resume(round, nowMs)
  for (const incarnation of round) yield * probing.probe(parts, incarnation, false, nowMs)
}

function * stop (parts: membershipParts.Parts, kind: 'leaving' | 'gone', nowMs: number): Outputs {
  parts.self.setState(kind)
  learning.announceSelf(parts, nowMs)
  yield * probing.sendUrgent(parts, nowMs)
}

function * tick (parts: membershipParts.Parts, schedules: Schedules, nowMs: number): Outputs {
  const beat = parts.self.advance(nowMs)
  if (beat !== undefined) yield { kind: 'beat', beat }
  yield * probing.followUp(parts, nowMs)
  if (schedules.probe.isDue(nowMs)) yield * probing.probeNext(parts, nowMs)
  if (schedules.gone.isDue(nowMs)) yield * probing.probeGone(parts, nowMs)
  yield * probing.sendUrgent(parts, nowMs)
  yield * probing.sendPage(parts, nowMs)
  probing.synchroniseNext(parts, nowMs)
  if (!schedules.purge.isDue(nowMs)) return
  parts.table.purge(nowMs)
  parts.store.purge(nowMs)
}

/**
 * Creates the membership of a daemon that knows only itself.
 *
 * @example
 * ```ts
 * const core = createMembership({ self, random })
 * for (const output of core.handle({ kind: 'tick' }, clock())) perform(output)
 * ```
 */
export function createMembership (options: Options): Membership {
  const parts = membershipParts.createParts(options.self, options.random)
  const schedules = createSchedules(options.random)
  let lastMs: number | undefined
  let lastTickMs: number | undefined

  function members (nowMs: number): readonly protocol.MemberUpdate[] {
    return [parts.self.news(nowMs), ...parts.table.live().map((entry) => entry.news)]
  }

  function * react (input: event.Event, nowMs: number): Outputs {
    switch (input.kind) {
      case 'message': yield * receiving.receive(parts, input.from, input.message, nowMs); break
      case 'introduced': yield * introduce(parts, input.members, nowMs); break
      case 'news': yield * learning.learn(parts, input.news, undefined, nowMs); break
      case 'load': parts.self.setLoad(input.load); break
      case 'drain': yield * stop(parts, 'leaving', nowMs); break
      case 'gone': yield * stop(parts, 'gone', nowMs); break
      case 'resumed': yield * resume(parts, nowMs); break
      case 'tick': yield * tick(parts, schedules, nowMs); break
    }
  }

  function * handle (input: event.Event, nowMs: number): Outputs {
    const before = parts.table.version()
    const gapMs = nowMs - (lastTickMs ?? nowMs)
    lastMs = nowMs
    if (input.kind === 'tick') lastTickMs = nowMs
    if (gapMs > settings.SUSPENDED_GAP_MS && input.kind !== 'resumed') yield * resume(parts, nowMs)
    if (gapMs > settings.SUSPENDED_GAP_MS) lastTickMs = nowMs
    yield * react(input, nowMs)
    const isStopping = input.kind === 'drain' || input.kind === 'gone'
    if (isStopping || parts.table.version() !== before) yield { kind: 'members', members: members(nowMs) }
  }

  return {
    handle,
    members: () => members(lastMs ?? 0),
    findMember: (incarnation) => {
      if (incarnation === parts.self.incarnation) return parts.self.news(lastMs ?? 0)
      return parts.table.find(incarnation)?.news ?? parts.seeds.find(incarnation)
    },
    news: () => parts.store.list(lastMs ?? 0),
    isConfirmed: () => parts.confirmation.isConfirmed(lastMs ?? 0)
  }
}
