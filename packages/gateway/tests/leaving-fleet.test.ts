/**
 * Targets that say in their answers that they leave, while their entries in the store stay ready, at a simulated fleet of
 * daemons.
 */
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as servingFleet from './serving-fleet.js'
import * as servingLoad from './serving-load.js'

const suite = uvu.suite('leaving fleet')

const SERVICE_MS = 400
const DURATION_MS = 12_000
const SEED = 29

/** The users' bound: time after a machine has passed on an answer of a leaving target in which it may still send requests there, ms. */
const DRAIN_MS = 2_000

interface Scenario {
  readonly daemons: number
  readonly targets: number
  readonly perS: number
  /** Targets that leave, and when their answers begin to say so. */
  readonly leaving: readonly (readonly [target: string, atMs: number])[]
  /** Status of the answers in which a target says that it leaves; it rejects requests with 503. */
  readonly status?: number
  /** Targets that start again under their ids. */
  readonly restarts?: readonly (readonly [target: string, atMs: number])[]
  /** Daemons that reach no other daemon, from the start on. */
  readonly isolated?: readonly number[]
  /** Daemons that reach no target from 1 s on, so that peers carry their connections. */
  readonly cut?: readonly number[]
}

interface Sent {
  readonly machine: number
  readonly target: string
  readonly atMs: number
}

interface Result {
  /** Requests that reached a target of which their machine had known for longer than allowed that it leaves. */
  readonly late: readonly Sent[]
  readonly sent: readonly Sent[]
  readonly servedShare: number
  /** Replies that refuse the request. */
  readonly refusals: readonly servingFleet.Reply[]
}

function play (scenario: Scenario): Result {
  const { daemons, leaving, restarts = [], status = 200 } = scenario
  const passedOnMs = new Map<string, number>()
  const sent: Sent[] = []
  const late: Sent[] = []
  let startMs = 0
  const targetOf = (id: string, index: number): routing.targetRegistry.Target => ({ id, service: 'support', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: 8, leaving: false })
  const targets = Array.from({ length: scenario.targets }, (_, index) => targetOf(`i-${index}`, index))
  const restartedMs = (target: string): number => startMs + (restarts.find(([id]) => id === target)?.[1] ?? Infinity)
  const isLeaving = (target: string, atMs: number): boolean => atMs >= startMs + (leaving.find(([id]) => id === target)?.[1] ?? Infinity) && atMs < restartedMs(target)
  const fleet = servingFleet.createServingFleet({
    daemons,
    document: servingFleet.documentOf(8),
    targets,
    seed: SEED,
    respond: ({ atMs, daemon, target }) => {
      const request = { machine: daemon, target: target.id, atMs }
      sent.push(request)
      if (atMs < restartedMs(target.id) && atMs - (passedOnMs.get(`${daemon} ${target.id}`) ?? Infinity) > DRAIN_MS) late.push(request)
      if (!isLeaving(target.id, atMs)) return { headMs: 60, headers: [], events: [[1, 60], [2, SERVICE_MS]], endMs: SERVICE_MS }
      if (status === 200) return { headMs: 60, headers: ['leaving', '1'], events: [[1, 60], [2, SERVICE_MS]], endMs: SERVICE_MS }
      return { headMs: 5, status, headers: ['leaving', '1', 'not-run', '1'], endMs: 5 }
    },
    onHead: ({ daemon, target }, headers, nowMs) => {
      const key = `${daemon} ${target.id}`
      if (headers.includes('leaving') && !passedOnMs.has(key)) passedOnMs.set(key, nowMs)
    }
  })
  startMs = fleet.now()
  const { replies, servedShare } = servingLoad.play(fleet, {
    daemons,
    perS: scenario.perS,
    durationMs: DURATION_MS,
    isolated: scenario.isolated,
    cut: scenario.cut,
    onStep: (sinceMs) => { for (const [id, atMs] of restarts) if (atMs === sinceMs) fleet.register(targetOf(id, targets.findIndex((target) => target.id === id)), 1) }
  })
  return {
    late,
    sent,
    servedShare,
    refusals: replies.filter((reply) => reply.status() === 503)
  }
}

const LEAVING: Scenario['leaving'] = [['i-0', 2_000], ['i-3', 2_500]]
const SMALL = { daemons: 9, targets: 6, perS: 60, leaving: LEAVING }
const LARGE = { daemons: 87, targets: 60, perS: 400, leaving: Array.from({ length: 12 }, (_, index) => [`i-${index * 5}`, 2_000 + index * 100] as const) }

const SCENARIOS: readonly (readonly [description: string, scenario: Scenario])[] = [
  ['answers of streams', SMALL],
  ['rejections', { ...SMALL, status: 503 }],
  ['daemons that hear no peer', { ...SMALL, isolated: [0, 1, 2, 3, 4, 5, 6, 7, 8] }],
  ['daemons whose connections peers carry', { ...SMALL, cut: [0, 3, 6, 7] }],
  ['87 daemons', LARGE],
  ['195 daemons', { ...LARGE, daemons: 195 }]
]

for (const [description, scenario] of SCENARIOS) {
  let result: Result | undefined

  suite(`no request is sent to a target long after its answer said that it leaves: ${description}`, () => {
    const { late } = result ??= play(scenario)
    assert.is(late.length, 0, `${late.length} requests, the first at ${JSON.stringify(late[0])}`)
  })

  suite(`callers are served by the other targets: ${description}`, () => {
    const { servedShare } = result ??= play(scenario)
    assert.ok(servedShare > 0.95, String(servedShare))
  })
}

suite('a target that starts again under its id is used again within a second', () => {
  const { sent, late } = play({ ...SMALL, restarts: [['i-0', 6_000]] })
  const firstMs = sent.find(({ target, atMs }) => target === 'i-0' && atMs >= 4_000 + 6_000)?.atMs ?? Infinity
  assert.ok(firstMs < 4_000 + 7_000, String(firstMs))
  assert.is(late.length, 0)
})

suite('callers are told when to come back once all targets leave', () => {
  const { refusals, late } = play({ ...SMALL, leaving: Array.from({ length: 6 }, (_, index) => [`i-${index}`, 3_000] as const) })
  assert.ok(refusals.length > 100)
  assert.ok(refusals.every((reply) => reply.headers().includes('Retry-After')))
  assert.is(late.length, 0)
})

suite.run()
