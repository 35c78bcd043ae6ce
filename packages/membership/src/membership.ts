/**
 * Membership of the daemons: failure detection by sampled probes, with updates piggybacked on them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as dissemination from './dissemination.js'
import * as membershipState from './state.js'
import * as probing from './probing.js'
import * as receiving from './receiving.js'
import * as sampling from './sampling.js'
import * as schedule from './schedule.js'
import * as settings from './settings.js'

/** Options of `createMembership`. */
export interface Options {
  readonly localMember: protocol.MemberUpdate
  readonly random: protocol.Random
}

/** Membership core, owned by one task and driven by events. */
export interface Membership {
  readonly handle: (input: event.Event, nowMs: number) => Generator<event.Output, void>
  /** Live and leaving members, this daemon included. */
  readonly members: () => readonly protocol.MemberUpdate[]
  /** Finds a daemon in any state, dead members and seeds included. */
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Newest updates about targets, suspects and revisions. */
  readonly updates: () => readonly protocol.Update[]
  /** False after the start or a suspension, until the view of the members is fresh enough to act on. */
  readonly isConfirmed: () => boolean
}

type Outputs = Generator<event.Output, void>

interface Schedules {
  readonly probe: schedule.Schedule
  readonly dead: schedule.Schedule
  readonly purge: schedule.Schedule
}

function createSchedules (random: protocol.Random): Schedules {
  return {
    probe: schedule.createSchedule(settings.PROBE_INTERVAL_MS, random()),
    dead: schedule.createSchedule(settings.DEAD_PROBE_INTERVAL_MS, random()),
    purge: schedule.createSchedule(settings.PROBE_INTERVAL_MS, random())
  }
}

function * addSeeds (state: membershipState.State, members: readonly protocol.MemberUpdate[], nowMs: number): Outputs {
  const unknown = members.filter((member) => member.incarnation !== state.localMember.incarnation && state.table.find(member.incarnation) === undefined)
  for (const member of unknown) state.seeds.add(member)
  if (unknown.length === 0) return
  for (const seed of state.seeds.chooseForProbing(settings.SEED_PROBES)) yield * probing.probe(state, seed, false, nowMs)
}

function * resume (state: membershipState.State, nowMs: number): Outputs {
  state.pending.clear()
  state.suspicions.clearAll()
  state.synchronisation.catchUp(nowMs)
  const probed = sampling.sample(state.table.live(), settings.RESUME_PROBES, state.random).map((record) => record.member.incarnation)
  state.confirmation.resume(probed, nowMs)
  for (const incarnation of probed) yield * probing.probe(state, incarnation, false, nowMs)
}

function * stop (state: membershipState.State, kind: 'leaving' | 'gone', nowMs: number): Outputs {
  state.localMember.setState(kind)
  dissemination.announceLocalMember(state, nowMs)
  yield * probing.sendUrgent(state, nowMs)
}

function * tick (state: membershipState.State, schedules: Schedules, nowMs: number): Outputs {
  const heartbeat = state.localMember.advanceHeartbeat(nowMs)
  if (heartbeat !== undefined) yield { kind: 'heartbeat', heartbeat }
  yield * probing.handleTimeouts(state, nowMs)
  if (schedules.probe.isDue(nowMs)) yield * probing.probeNext(state, nowMs)
  if (schedules.dead.isDue(nowMs)) yield * probing.probeDead(state, nowMs)
  yield * probing.sendUrgent(state, nowMs)
  yield * probing.sendPage(state, nowMs)
  probing.startDueSynchronisation(state, nowMs)
  if (!schedules.purge.isDue(nowMs)) return
  state.table.purge(nowMs)
  state.store.purge(nowMs)
}

/**
 * Creates the membership of a daemon that has no other members yet.
 *
 * @example
 * ```ts
 * const core = createMembership({ localMember, random })
 * for (const output of core.handle({ kind: 'tick' }, clock())) perform(output)
 * ```
 */
export function createMembership (options: Options): Membership {
  const state = membershipState.createState(options.localMember, options.random)
  const schedules = createSchedules(options.random)
  let lastMs: number | undefined
  let lastTickMs: number | undefined

  function members (nowMs: number): readonly protocol.MemberUpdate[] {
    return [state.localMember.toUpdate(nowMs), ...state.table.live().map((record) => record.member)]
  }

  function * react (input: event.Event, nowMs: number): Outputs {
    switch (input.kind) {
      case 'message': yield * receiving.receive(state, input.from, input.message, nowMs); break
      case 'members-discovered': yield * addSeeds(state, input.members, nowMs); break
      case 'update': yield * dissemination.applyUpdate(state, input.update, undefined, nowMs); break
      case 'load': state.localMember.setLoad(input.load); break
      case 'drain': yield * stop(state, 'leaving', nowMs); break
      case 'exit': yield * stop(state, 'gone', nowMs); break
      case 'resumed': yield * resume(state, nowMs); break
      case 'tick': yield * tick(state, schedules, nowMs); break
    }
  }

  function * handle (input: event.Event, nowMs: number): Outputs {
    const versionBefore = state.table.version()
    const gapMs = nowMs - (lastTickMs ?? nowMs)
    lastMs = nowMs
    if (input.kind === 'tick') lastTickMs = nowMs
    if (gapMs > settings.MIN_SUSPENSION_GAP_MS && input.kind !== 'resumed') yield * resume(state, nowMs)
    if (gapMs > settings.MIN_SUSPENSION_GAP_MS) lastTickMs = nowMs
    yield * react(input, nowMs)
    const isStopping = input.kind === 'drain' || input.kind === 'exit'
    if (isStopping || state.table.version() !== versionBefore) yield { kind: 'members', members: members(nowMs) }
  }

  return {
    handle,
    members: () => members(lastMs ?? 0),
    findMember: (incarnation) => {
      if (incarnation === state.localMember.incarnation) return state.localMember.toUpdate(lastMs ?? 0)
      const found = state.table.find(incarnation)?.member ?? state.seeds.find(incarnation)
      // This daemon listens at its address, so a predecessor there has ended, whatever was registered or reported since.
      return found?.address === options.localMember.address ? { ...found, state: 'gone' } : found
    },
    updates: () => state.store.list(lastMs ?? 0),
    isConfirmed: () => state.confirmation.isConfirmed(lastMs ?? 0)
  }
}
