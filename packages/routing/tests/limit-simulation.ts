/**
 * Simulates daemons that place plain requests on targets of different speeds, in simulated time, with the division into
 * cells, the reports and the target's own load figures of real fleets.
 */
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as fixtures from './fixtures.js'

const SLOTS = 12
const TICK_MS = 30
const NETWORK_MS = 2

/** Intervals between a change and the report of it, in a fleet of one cell and of several. */
const COLLECT_MS = 40
const MULTI_CELL_COLLECT_MS = 70

/** Time within which a caller must be answered, ms. */
export const IN_TIME_MS = 250
const LIMIT_MS = 1_000

/** How much longer work takes at a target with so many requests in flight. */
export type Slowdown = (inFlight: number) => number

export const AS_DECLARED: Slowdown = () => 1
export const THREE_TIMES_AS_SLOW: Slowdown = () => 3
export const SLOW_BEYOND_FOUR: Slowdown = (inFlight) => Math.max(1, inFlight / 4) ** 2

export interface Options {
  readonly seed: number
  readonly daemons: number
  readonly perS: number
  /** Time that the work of a request takes at a target that is as declared, ms; each request deviates by up to 30%. */
  readonly workMs: number
  readonly durationMs: number
  /** Returns the properties of the targets at a time. */
  readonly slowdowns: (nowMs: number) => readonly Slowdown[]
  /** Factor by which neighbours on its host slow a target down, which it reports. */
  readonly workFactors?: (nowMs: number) => readonly number[]
  readonly scheduling?: 'adaptive' | 'basic'
  /** Returns whether a daemon is dead or cut off from its peers at a time; the callers of a dead one use others. */
  readonly stateOf?: (daemon: Daemon, nowMs: number) => 'live' | 'dead' | 'cut-off'
  readonly onStep?: (daemons: readonly Daemon[], nowMs: number) => void
}

export interface Daemon {
  readonly index: number
  readonly address: string
  readonly pool: routing.pool.Pool
  readonly peers: readonly string[]
  readonly cellPosition: routing.rateShare.RingPosition
}

export interface Answer {
  readonly arrivedMs: number
  readonly tookMs: number
  readonly target: string
}

export interface Result {
  /** Requests that were answered, refused ones left out. */
  readonly answers: readonly Answer[]
  readonly arrivals: readonly number[]
  /** Requests in flight at each target, sampled every 10 ms. */
  readonly inFlight: readonly (readonly [nowMs: number, counts: readonly number[]])[]
  readonly rejections: number
}

interface Running { readonly daemon: number, readonly id: number, readonly arrivedMs: number, readonly remainingMs: number }
interface Message { readonly atMs: number, readonly to: number, readonly from: string, readonly load: routing.poolEvent.PeerLoad }

/** Runs the load through the pools. */
export function simulateLimits (options: Options): Result {
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  const targets = options.slowdowns(0).map((_, index) => fixtures.targetOf(`i-${index}`, 'stock', SLOTS))
  const running: (readonly Running[])[] = targets.map(() => [])
  const addresses = Array.from({ length: options.daemons }, (_, index) => `10.0.${index}.1:7600`)
  const cells = routing.cell.cellCount(options.daemons)
  const indexOf = new Map(addresses.map((address, index) => [address, index]))
  const daemons = addresses.map((address, index): Daemon => {
    const division = routing.cell.divide(address, addresses, cells)
    const pool = new routing.pool.Pool({ service: { ...fixtures.PLAIN, scheduling: options.scheduling ?? 'adaptive' }, random })
    const targetShares = routing.cell.assignTargets(targets, cells === 1 ? routing.cell.WHOLE_RING : division.segment, options.scheduling === 'basic' ? undefined : routing.cell.MIN_DIFFERENT_TARGETS_PER_CELL)
    const cellPosition = { index: division.ownCell.indexOf(address), members: division.ownCell.length }
    drop(pool.handle({ kind: 'targets', targetShares, cellPosition }, 0))
    drop(pool.handle({ kind: 'fleet', reachable: options.daemons, daemons: options.daemons }, 0))
    return { index, address, pool, peers: division.ownCell.filter((peer) => peer !== address), cellPosition }
  })
  const answers: Answer[] = []
  const arrivals: number[] = []
  const inFlight: (readonly [number, readonly number[]])[] = []
  const requests = new Map<number, { readonly arrivedMs: number, readonly isRetry: boolean }>()
  const nextReportMs = daemons.map(() => random() * COLLECT_MS)
  const rejected: { readonly daemon: number, readonly id: number, readonly target: string }[] = []
  let messages: Message[] = []
  let rejections = 0
  let nextId = 1
  let nowMs = 0

  const stateOf = (daemon: Daemon): 'live' | 'dead' | 'cut-off' => options.stateOf?.(daemon, nowMs) ?? 'live'

  function handle (daemon: number, event: routing.poolEvent.PoolEvent): void {
    for (const decision of [...daemons[daemon]?.pool.handle(event, nowMs) ?? []]) {
      if (decision.kind === 'refuse') continue
      const index = Number(decision.target.id.slice(2))
      const atTarget = running[index] ?? []
      if (atTarget.length >= SLOTS) {
        rejections += 1
        rejected.push({ daemon, id: decision.id, target: decision.target.id })
      } else running[index] = [...atTarget, { daemon, id: decision.id, arrivedMs: requests.get(decision.id)?.arrivedMs ?? 0, remainingMs: options.workMs * (0.7 + 0.6 * random()) }]
    }
  }

  /** A rejected request is sent once more, to another target; callers of one that is rejected again are refused. */
  function arrive (daemon: number, arrivedMs: number, rejectedBy?: string): void {
    const id = nextId
    nextId += 1
    requests.set(id, { arrivedMs, isRetry: rejectedBy !== undefined })
    handle(daemon, { kind: 'arrived', request: fixtures.requestOf(id, { arrivedMs, targetLatencyMs: IN_TIME_MS, limitMs: arrivedMs + LIMIT_MS, promptTokens: 0, isRetry: rejectedBy !== undefined, excludedTargets: new Set(rejectedBy === undefined ? [] : [rejectedBy]) }) })
  }

  function runTarget (index: number): void {
    const atTarget = running[index] ?? []
    const factor = options.workFactors?.(nowMs)[index] ?? 1
    const slowdown = (options.slowdowns(nowMs)[index] ?? AS_DECLARED)(atTarget.length) * factor
    const advanced = atTarget.map((request) => ({ ...request, remainingMs: request.remainingMs - 1 / slowdown }))
    running[index] = advanced.filter(({ remainingMs }) => remainingMs > 0)
    for (const [ended, request] of advanced.filter(({ remainingMs }) => remainingMs <= 0).entries()) {
      answers.push({ arrivedMs: request.arrivedMs, tookMs: nowMs + NETWORK_MS - request.arrivedMs, target: `i-${index}` })
      handle(request.daemon, { kind: 'load-reported', target: `i-${index}`, running: atTarget.length - ended, waiting: 0, slots: SLOTS, ...options.workFactors === undefined ? {} : { workFactor: factor } })
      handle(request.daemon, { kind: 'ended', id: request.id, outcome: 'answered' })
    }
  }

  function report (daemon: Daemon): void {
    nextReportMs[daemon.index] = nowMs + (cells === 1 ? COLLECT_MS : MULTI_CELL_COLLECT_MS)
    if (stateOf(daemon) !== 'live') return
    const load = JSON.parse(JSON.stringify(daemon.pool.load(nowMs))) as routing.poolEvent.PeerLoad
    for (const peer of daemon.peers) messages.push({ atMs: nowMs + NETWORK_MS + random() * 3, to: indexOf.get(peer) ?? 0, from: daemon.address, load })
  }

  function deliver (): void {
    const due = messages.filter(({ atMs }) => atMs <= nowMs)
    if (due.length > 0) messages = messages.filter(({ atMs }) => atMs > nowMs)
    for (const { to, from, load } of due) {
      const daemon = daemons[to]
      if (daemon !== undefined && stateOf(daemon) === 'live') handle(to, { kind: 'peer-load', peer: from, load })
    }
  }

  function arriveAll (active: readonly Daemon[]): void {
    for (let chance = options.perS / 1_000; chance > 0; chance -= 1) {
      if (random() >= chance) continue
      arrivals.push(nowMs)
      arrive(active[Math.floor(random() * active.length)]?.index ?? 0, nowMs)
    }
    for (const { daemon, id, target } of rejected.splice(0)) {
      handle(daemon, { kind: 'load-reported', target, running: SLOTS, waiting: 0, slots: SLOTS })
      handle(daemon, { kind: 'ended', id, outcome: 'rejected' })
      const request = requests.get(id)
      if (request?.isRetry === false) arrive(daemon, request.arrivedMs, target)
    }
  }

  function tick (daemon: Daemon, live: number): void {
    if (nowMs >= (nextReportMs[daemon.index] ?? 0)) report(daemon)
    if ((nowMs + daemon.index) % TICK_MS !== 0) return
    handle(daemon.index, { kind: 'fleet', reachable: stateOf(daemon) === 'cut-off' ? 1 : live, daemons: options.daemons })
    handle(daemon.index, { kind: 'tick' })
  }

  for (; nowMs < options.durationMs; nowMs += 1) {
    const active = daemons.filter((daemon) => stateOf(daemon) !== 'dead')
    const live = active.filter((daemon) => stateOf(daemon) === 'live').length
    for (const [index] of targets.entries()) runTarget(index)
    arriveAll(active)
    deliver()
    for (const daemon of active) tick(daemon, live)
    if (nowMs % 10 === 0) inFlight.push([nowMs, running.map(({ length }) => length)])
    options.onStep?.(daemons, nowMs)
  }
  return { answers, arrivals, inFlight, rejections }
}

/** Returns the share of the requests that arrived in a span of time that were answered in time. */
export function servedInTime ({ answers, arrivals }: Result, fromMs: number, toMs: number): number {
  const isIn = (arrivedMs: number): boolean => arrivedMs >= fromMs && arrivedMs < toMs
  return answers.filter(({ arrivedMs, tookMs }) => isIn(arrivedMs) && tookMs <= IN_TIME_MS).length / arrivals.filter(isIn).length
}

/** Returns the mean number of requests in flight at each target in a span of time. */
export function meanInFlight ({ inFlight }: Result, fromMs: number, toMs: number): readonly number[] {
  const rows = inFlight.filter(([atMs]) => atMs >= fromMs && atMs < toMs).map(([, counts]) => counts)
  return (rows[0] ?? []).map((_, target) => rows.reduce((sum, counts) => sum + (counts[target] ?? 0), 0) / rows.length)
}

function drop (decisions: Iterable<routing.poolEvent.PoolDecision>): void {
  for (const decision of decisions) if (decision.kind === 'dispatch') throw new Error('nothing is placed before requests arrive')
}
