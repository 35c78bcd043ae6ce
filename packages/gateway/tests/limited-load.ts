/**
 * Targets that name a limit of requests per second, at a simulated fleet of daemons.
 */
import type * as routing from '@persimmonhatch/routing'
import * as rawHeaders from '../src/raw-headers.js'
import * as servingFleet from './serving-fleet.js'

const MS_PER_S = 1_000
const ARRIVAL_STEP_MS = 20

/** The users' bound: share of the limit and requests beyond it that a target may get in a window, and the time until a daemon that was told must comply. */
const WINDOW_MS = 4_000
const ALLOWED_SHARE = 1.5
const ALLOWED_EXTRA = 5
const TOLD_MS = 500
const STABLE_MS = 3_000

/** Time for which a target may get requests for the limit that it named before, ms. */
const CHANGE_MS = 1_000

const LIMITED_FROM_MS = 6_000

export interface Scenario {
  readonly daemons: number
  readonly targets: number
  readonly slots: number
  readonly perS: number
  /** Limit of a target, undefined for none; `sinceMs` counts from the start of the limits. */
  readonly limitOf: (target: number, sinceMs: number) => number | undefined
  readonly durationMs?: number
  /** Load relative to `perS`. */
  readonly loadAt?: (sinceMs: number) => number
  /** Share of the daemons that can't reach the others from 2 s to 8 s. */
  readonly cutShare?: number
  /** Share of the daemons that are frozen from 2 s to 6 s. */
  readonly frozenShare?: number
  /** Time at which all daemons are restarted, ms. */
  readonly allRestartMs?: number
  /** Interval at which the next daemon is restarted, ms. */
  readonly restartEachMs?: number
  /** Share of the targets' responses that break after their first event. */
  readonly breakShare?: number
  /** Time at which all limited targets restart under their ids, ms. */
  readonly targetsRestartMs?: number
}

interface Received {
  readonly atMs: number
  readonly isTold: boolean
}

export interface Result {
  /** Largest excess of requests over those allowed, with what was seen. */
  readonly worst: { readonly excess: number, readonly description: string }
  readonly replies: readonly servingFleet.Reply[]
  /** Requests that a target got in a span, in ms since the start of the limits. */
  readonly receivedBetween: (target: number, fromMs: number, toMs: number) => number
}

/** Returns the requests that a target may get in the window from a time on; undefined unless it is limited all the while. */
function allowedIn (limitAt: (atMs: number) => number | undefined, fromMs: number): number | undefined {
  let allowed = ALLOWED_EXTRA
  for (let atMs = fromMs; atMs < fromMs + WINDOW_MS; atMs += 100) {
    const limits = [atMs, atMs - CHANGE_MS / 2, atMs - CHANGE_MS].map((time) => time < LIMITED_FROM_MS ? 0 : limitAt(time))
    if (limits.some((limit) => limit === undefined)) return undefined
    allowed += ALLOWED_SHARE * Math.max(...limits.map((limit) => limit ?? 0)) / 10
  }
  return allowed
}

interface Observed {
  readonly target: string
  readonly received: readonly Received[]
  readonly limitAt: (atMs: number) => number | undefined
  readonly namedMs: number
  readonly endMs: number
}

function worstExcess ({ target, received, limitAt, namedMs, endMs }: Observed): Result['worst'] {
  const counted = received.filter(({ isTold }) => isTold)
  let worst = { excess: -Infinity, description: 'no target named a limit' }
  for (let fromMs = namedMs + STABLE_MS - WINDOW_MS; fromMs + WINDOW_MS <= endMs; fromMs += 100) {
    const allowed = allowedIn(limitAt, fromMs)
    if (allowed === undefined) continue
    const requests = counted.filter(({ atMs }) => atMs > fromMs && atMs <= fromMs + WINDOW_MS).length
    if (requests - allowed > worst.excess) worst = { excess: requests - allowed, description: `${target} got ${requests} requests in 4 s from ${fromMs} ms, ${allowed.toFixed(1)} allowed` }
  }
  return worst
}

/** Plays a scenario. */
export function play (scenario: Scenario, seed: number): Result {
  const received = new Map<string, Received[]>()
  /** When each daemon was told of the limit of a target. */
  const toldMs = new Map<string, number>()
  const targets = Array.from({ length: scenario.targets }, (_, index): routing.targetRegistry.Target => ({
    id: `i-${index}`, service: 'support', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: scenario.slots, leaving: false
  }))
  const indexOf = ({ id }: routing.targetRegistry.Target): number => Number(id.slice(2))
  const limitAt = (target: number, atMs: number): number | undefined => atMs < LIMITED_FROM_MS ? undefined : scenario.limitOf(target, atMs - LIMITED_FROM_MS)
  const fleet: servingFleet.ServingFleet = servingFleet.createServingFleet({
    daemons: scenario.daemons,
    document: servingFleet.documentOf(scenario.slots),
    targets,
    seed,
    respond: ({ atMs, daemon, target }) => {
      const told = toldMs.get(`${daemon} ${target.id}`)
      received.set(target.id, [...received.get(target.id) ?? [], { atMs, isTold: told !== undefined && atMs >= told + TOLD_MS }])
      const limit = limitAt(indexOf(target), atMs + 60)
      const breaks = fleet !== undefined && fleet.random() < (scenario.breakShare ?? 0)
      return { headMs: 60, headers: limit === undefined ? [] : ['request-limit', String(limit)], events: breaks ? [[1, 60]] : [[1, 60], [2, 200], [3, 390]], endMs: breaks ? 90 : 400, breaks }
    },
    onHead: ({ daemon, target }, headers, nowMs) => {
      const key = `${daemon} ${target.id}`
      if (rawHeaders.findHeader(headers, 'request-limit') !== undefined && !toldMs.has(key)) toldMs.set(key, nowMs)
    }
  })
  const replies: servingFleet.Reply[] = []
  const endMs = LIMITED_FROM_MS + (scenario.durationMs ?? 14_000)
  let owed = 0
  let nextRestart = 0
  const all = Array.from({ length: scenario.daemons }, (_, daemon) => daemon)
  const restart = (daemon: number): void => {
    fleet.restart(daemon)
    for (const { id } of targets) toldMs.delete(`${daemon} ${id}`)
  }
  const isCut = (daemon: number): boolean => daemon < (scenario.cutShare ?? 0) * scenario.daemons
  fleet.setReach((from, to) => {
    const sinceMs = fleet.now() - LIMITED_FROM_MS
    return sinceMs < 2_000 || sinceMs >= 8_000 || isCut(from) === isCut(to)
  })
  while (fleet.now() < endMs) {
    const sinceMs = fleet.now() - LIMITED_FROM_MS
    if (sinceMs === scenario.targetsRestartMs) for (const target of targets.filter((_, index) => limitAt(index, fleet.now()) !== undefined)) fleet.register(target, fleet.now())
    const isFrozenTime = sinceMs >= 2_000 && sinceMs < 6_000
    fleet.freeze(isFrozenTime ? all.filter((daemon) => daemon < (scenario.frozenShare ?? 0) * scenario.daemons) : [])
    if (sinceMs === scenario.allRestartMs) for (const daemon of all) restart(daemon)
    if (scenario.restartEachMs !== undefined && sinceMs >= 0 && sinceMs % scenario.restartEachMs === 0) {
      restart(nextRestart % scenario.daemons)
      nextRestart += 1
    }
    const running = all.filter((daemon) => fleet.isUp(daemon))
    for (owed += scenario.perS * (scenario.loadAt?.(sinceMs) ?? 1) * ARRIVAL_STEP_MS / MS_PER_S; owed >= 1; owed -= 1) {
      replies.push(fleet.request(running[Math.floor(fleet.random() * running.length)] ?? 0, '/generate/7', ['tokens', '700,18', 'remaining-ms', '12000']))
    }
    fleet.advance(ARRIVAL_STEP_MS)
  }
  fleet.advance(4_000)
  return {
    worst: targets.map((target) => worstExcess({
      target: target.id,
      received: received.get(target.id) ?? [],
      limitAt: (atMs) => limitAt(indexOf(target), atMs),
      namedMs: Math.min(...[...toldMs].filter(([key]) => key.endsWith(` ${target.id}`)).map(([, atMs]) => atMs)),
      endMs
    })).reduce((worst, excess) => excess.excess > worst.excess ? excess : worst),
    replies: replies.filter(({ sentMs }) => sentMs >= LIMITED_FROM_MS),
    receivedBetween: (target, fromMs, toMs) => (received.get(`i-${target}`) ?? []).filter(({ atMs }) => atMs >= LIMITED_FROM_MS + fromMs && atMs < LIMITED_FROM_MS + toMs).length
  }
}

export function servedShare (replies: readonly servingFleet.Reply[]): number {
  return replies.filter((reply) => reply.status() === 200 && reply.end() === 'complete').length / replies.length
}

/** Limits only the targets below a number. */
export function onlyBelow (count: number, limit: number): Scenario['limitOf'] {
  return (target) => target < count ? limit : undefined
}

export const SMALL = { daemons: 9, targets: 8, slots: 12, perS: 90 }
const LARGE = { daemons: 87, targets: 63, slots: 8, perS: 590 }
const LARGE_FEW_TARGETS = { daemons: 87, targets: 4, slots: 60, perS: 200 }

const CHANGING_LIMITS = [3, 0.6, 5, 1.2, 0.3, 8, 2]

export const SCENARIOS: readonly (readonly [description: string, scenario: Scenario])[] = [
  ['one target at 9 daemons', { ...SMALL, limitOf: onlyBelow(1, 2.8) }],
  ['two targets at 9 daemons', { ...SMALL, limitOf: onlyBelow(2, 3.4) }],
  ['one target at 87 daemons', { ...LARGE, limitOf: onlyBelow(1, 2.8) }],
  ['a third of the targets at 87 daemons', { ...LARGE, limitOf: onlyBelow(21, 2.8) }],
  ['one of four targets at 87 daemons', { ...LARGE_FEW_TARGETS, limitOf: onlyBelow(1, 2.8) }],
  ['all of four targets at 87 daemons', { ...LARGE_FEW_TARGETS, limitOf: onlyBelow(4, 2.8) }],
  ['all targets at 9 daemons', { ...SMALL, limitOf: onlyBelow(8, 2.8) }],
  ['all targets under one a second at 9 daemons', { ...SMALL, limitOf: onlyBelow(8, 0.4) }],
  ['one target near 0 at 9 daemons', { ...SMALL, limitOf: onlyBelow(1, 0.05) }],
  ['one target near 0 at 87 daemons', { ...LARGE, limitOf: onlyBelow(1, 0.05) }],
  ['one target at 0 at 9 daemons', { ...SMALL, limitOf: onlyBelow(1, 0) }],
  ['one target near its use at 9 daemons', { ...SMALL, limitOf: onlyBelow(1, 10) }],
  ['limits that change each second', { ...SMALL, limitOf: (target, sinceMs) => target < 2 ? CHANGING_LIMITS[Math.floor(sinceMs / MS_PER_S) % CHANGING_LIMITS.length] : undefined }],
  ['bursts of requests', { ...SMALL, perS: 40, loadAt: (sinceMs) => sinceMs % 3_000 < 600 ? 5 : 0.5, limitOf: onlyBelow(1, 2.8) }],
  ['streams that break off', { ...SMALL, breakShare: 0.2, limitOf: onlyBelow(3, 2.8) }],
  ['a third of 9 daemons cut off', { ...SMALL, cutShare: 0.34, limitOf: onlyBelow(2, 2.8) }],
  ['a third of 87 daemons cut off', { ...LARGE, cutShare: 0.34, limitOf: onlyBelow(6, 2.8) }],
  ['a third of 9 daemons frozen while the limits fall', { ...SMALL, frozenShare: 0.34, limitOf: (target, sinceMs) => target < 2 ? (sinceMs < 4_000 ? 8 : 0.5) : undefined }],
  ['a third of 87 daemons frozen while the limits fall', { ...LARGE, frozenShare: 0.34, limitOf: (target, sinceMs) => target < 6 ? (sinceMs < 4_000 ? 8 : 0.5) : undefined }],
  ['all of 9 daemons restarted at once', { ...SMALL, allRestartMs: 5_000, limitOf: onlyBelow(3, 1.5) }],
  ['all of 87 daemons restarted at once', { ...LARGE, allRestartMs: 5_000, limitOf: onlyBelow(6, 1.5) }],
  ['daemons that restart in turn', { ...SMALL, restartEachMs: 700, limitOf: onlyBelow(2, 2.8) }],
  ['targets that restart under their ids', { ...SMALL, targetsRestartMs: 7_000, limitOf: onlyBelow(2, 2.8) }]
]
