/**
 * Targets that answer 503 with Retry-After, at a simulated fleet of daemons.
 */
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as servingFleet from './serving-fleet.js'
import * as servingLoad from './serving-load.js'

const suite = uvu.suite('pausing fleet')

const MS_PER_S = 1_000
const SERVICE_MS = 400
const DURATION_MS = 12_000
const SEED = 29

/** The users' bound: requests of one machine between this time after the answer and the end of the pause. */
const GRACE_MS = 500
const MAX_REQUESTS = 2

interface Pause {
  readonly target: string
  readonly fromMs: number
  readonly untilMs: number
}

interface Scenario {
  readonly daemons: number
  readonly targets: number
  readonly perS: number
  readonly pauses: readonly Pause[]
  /** Value of Retry-After, by the remaining time of the pause. */
  readonly retryAfter?: (remainingMs: number) => string
  /** Whether the target says that it has not run the request. */
  readonly saysNotRun?: boolean
  readonly isolated?: readonly number[]
  /** Daemons that reach no target from 1 s on, so that peers carry their connections. */
  readonly cut?: readonly number[]
}

interface Result {
  /** The most requests that one machine sent to one target in a pause, after the grace. */
  readonly most: number
  readonly servedShare: number
  readonly replies: readonly servingFleet.Reply[]
  /** Times at which daemons first used a target again after its pause, since its end. */
  readonly returnsMs: readonly number[]
}

function play (scenario: Scenario): Result {
  const { daemons, pauses, saysNotRun = true, retryAfter = (remainingMs: number) => (remainingMs / MS_PER_S).toFixed(2) } = scenario
  const targets = Array.from({ length: scenario.targets }, (_, index): routing.targetRegistry.Target => ({
    id: `i-${index}`, service: 'support', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: 8, leaving: false
  }))
  /** When each machine was first told of each pause. */
  const toldMs = new Map<string, number>()
  const counts = new Map<string, number>()
  const returnsMs = new Map<string, number>()
  let startMs = 0
  const pauseAt = (target: string, atMs: number): Pause | undefined => pauses.find((pause) => pause.target === target && atMs - startMs >= pause.fromMs && atMs - startMs < pause.untilMs)
  const fleet = servingFleet.createServingFleet({
    daemons,
    document: servingFleet.documentOf(8),
    targets,
    seed: SEED,
    respond: ({ atMs, daemon, target }) => {
      const pause = pauseAt(target.id, atMs)
      const key = `${daemon} ${target.id} ${pause?.fromMs ?? 0}`
      if (pause === undefined) {
        const over = pauses.find((each) => each.target === target.id && atMs - startMs >= each.untilMs)
        const overKey = `${daemon} ${target.id}`
        if (over !== undefined && !returnsMs.has(overKey)) returnsMs.set(overKey, atMs - startMs - over.untilMs)
        return { headMs: 60, headers: [], events: [[1, 60], [2, SERVICE_MS]], endMs: SERVICE_MS }
      }
      if (atMs - (toldMs.get(key) ?? Infinity) >= GRACE_MS) counts.set(key, 1 + (counts.get(key) ?? 0))
      if (!toldMs.has(key)) toldMs.set(key, atMs)
      return { headMs: 5, status: 503, headers: ['retry-after', retryAfter(startMs + pause.untilMs - atMs), ...saysNotRun ? ['not-run', '1'] : []], endMs: 5 }
    }
  })
  startMs = fleet.now()
  const { replies, servedShare } = servingLoad.play(fleet, { daemons, perS: scenario.perS, durationMs: DURATION_MS, isolated: scenario.isolated, cut: scenario.cut })
  return {
    most: Math.max(0, ...counts.values()),
    servedShare,
    replies,
    returnsMs: [...returnsMs.values()]
  }
}

const ONE: readonly Pause[] = [{ target: 'i-0', fromMs: 2_000, untilMs: 6_000 }]
const TWICE: readonly Pause[] = [...ONE, { target: 'i-0', fromMs: 7_000, untilMs: 10_000 }, { target: 'i-3', fromMs: 3_000, untilMs: 5_500 }]
const SMALL = { daemons: 9, targets: 6, perS: 60, pauses: ONE }
const LARGE = { daemons: 87, targets: 60, perS: 400, pauses: Array.from({ length: 12 }, (_, index) => ({ target: `i-${index * 5}`, fromMs: 2_000 + index * 100, untilMs: 6_000 + index * 100 })) }

const SCENARIOS: readonly (readonly [description: string, scenario: Scenario])[] = [
  ['one target', SMALL],
  ['several pauses', { ...SMALL, pauses: TWICE }],
  ['a short pause', { ...SMALL, pauses: [{ target: 'i-0', fromMs: 2_000, untilMs: 3_100 }] }],
  ['daemons that hear no peer', { ...SMALL, isolated: [0, 1, 2, 3, 4, 5, 6, 7, 8] }],
  ['daemons whose connections peers carry', { ...SMALL, cut: [0, 3, 6, 7] }],
  ['87 daemons', LARGE],
  ['195 daemons', { ...LARGE, daemons: 195 }]
]

for (const [description, scenario] of SCENARIOS) {
  let result: Result | undefined

  suite(`a target that asks for a pause gets at most two requests of each machine in it: ${description}`, () => {
    const { most } = result ??= play(scenario)
    assert.ok(most <= MAX_REQUESTS, `${most} requests`)
  })

  suite(`callers are served by the other targets: ${description}`, () => {
    const { servedShare } = result ??= play(scenario)
    assert.ok(servedShare > 0.95, String(servedShare))
  })
}

suite('daemons come back to a target one after the other', () => {
  const { returnsMs } = play({ ...LARGE, daemons: 87, targets: 12, perS: 200, pauses: [{ target: 'i-0', fromMs: 2_000, untilMs: 6_000 }] })
  assert.ok(returnsMs.length >= 2, String(returnsMs))
  assert.ok(returnsMs.filter((afterMs) => afterMs < 100).length <= Math.ceil(returnsMs.length / 2), String(returnsMs))
})

suite('callers are told at once when to come back while all targets pause', () => {
  const { replies, most } = play({ ...SMALL, pauses: Array.from({ length: 6 }, (_, index) => ({ target: `i-${index}`, fromMs: 2_000, untilMs: 9_000 })) })
  const inPause = replies.filter(({ sentMs }) => sentMs >= 4_000 + 3_000 && sentMs < 4_000 + 5_000)
  assert.ok(inPause.length > 50)
  assert.ok(inPause.every((reply) => reply.status() === 503 && Number(reply.headers()[reply.headers().indexOf('Retry-After') + 1]) >= 2), JSON.stringify(inPause[0]?.headers()))
  assert.ok(most <= MAX_REQUESTS, String(most))
  const afterwards = replies.filter(({ sentMs }) => sentMs >= 4_000 + 11_000)
  assert.ok(afterwards.every((reply) => reply.status() === 200))
})

const MALFORMED = ['', 'soon', '-4', 'NaN', 'Infinity', '1e400', '4,5', 'Fri, 31 Dec 2027 23:59:59 GMT', '0x10', '99999999999999999999']

for (const value of MALFORMED) {
  suite(`a pause of ${JSON.stringify(value)} neither stops the daemons nor closes the target for good`, () => {
    const { servedShare } = play({ ...SMALL, pauses: [{ target: 'i-0', fromMs: 2_000, untilMs: 2_500 }], retryAfter: () => value })
    assert.ok(servedShare > 0.95, String(servedShare))
  })
}

suite.run()
