/**
 * Learned concurrency limits: the fit, the joiner of the samples and its failures, and whole fleets in simulated time.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as concurrencyCurve from '../src/limits/concurrency-curve.js'
import * as concurrencyLimit from '../src/limits/concurrency-limit.js'
import * as fixtures from './fixtures.js'
import * as limitSimulation from './limit-simulation.js'
import * as routing from '@persimmonhatch/routing'

const suite = uvu.suite('concurrency limits')

const { AS_DECLARED, SLOW_BEYOND_FOUR, THREE_TIMES_AS_SLOW } = limitSimulation

/** The page's bound, the load that its four targets handle well, and the time at which they change places. */
const MIN_IN_TIME = 0.9
const WORK_MS = 60
const PER_S = 0.7 * 24_000 / WORK_MS
const SWAP_MS = 10_000
const BEFORE = [AS_DECLARED, THREE_TIMES_AS_SLOW, SLOW_BEYOND_FOUR, SLOW_BEYOND_FOUR]
const AFTER = [SLOW_BEYOND_FOUR, SLOW_BEYOND_FOUR, AS_DECLARED, THREE_TIMES_AS_SLOW]

function fleetOf (daemons: number, seed: number, changes: Partial<limitSimulation.Options> = {}): limitSimulation.Options {
  return { seed, daemons, perS: PER_S, workMs: WORK_MS, durationMs: 24_000, slowdowns: (nowMs) => nowMs < SWAP_MS ? BEFORE : AFTER, ...changes }
}

for (const daemons of [5, 40, 127]) {
  for (const seed of [1, 2]) {
    suite(`${daemons} daemons serve callers in time while targets slow down before they are full, and again after these change places (seed ${seed})`, () => {
      const result = limitSimulation.simulateLimits(fleetOf(daemons, seed))
      for (const [fromMs, toMs] of [[5_000, SWAP_MS], [SWAP_MS + 5_000, 24_000]] as const) {
        const inTime = limitSimulation.servedInTime(result, fromMs, toMs)
        assert.ok(inTime >= MIN_IN_TIME, `${fromMs} to ${toMs}: ${inTime}`)
      }
    })
  }
}

/** Failures of one of five daemons, which joins the samples of some targets. */
for (const state of ['dead', 'cut-off'] as const) {
  suite(`the others serve in time while a daemon that joins samples is ${state}`, () => {
    const isFailed = (index: number, nowMs: number): boolean => index === 2 && nowMs >= 8_000
    const result = limitSimulation.simulateLimits(fleetOf(5, 1, { slowdowns: () => BEFORE, stateOf: ({ index }, nowMs) => isFailed(index, nowMs) ? state : 'live', durationMs: 16_000 }))
    assert.ok(limitSimulation.servedInTime(result, 8_000, 16_000) >= MIN_IN_TIME, String(limitSimulation.servedInTime(result, 8_000, 16_000)))
  })
}

function curveOf (timeOf: (inFlight: number) => number, counts: readonly number[]): concurrencyCurve.Curve {
  return counts.reduce((curve, inFlight, index) => concurrencyCurve.addSample(curve, { inFlight, time: timeOf(inFlight) * (index % 2 === 0 ? 0.85 : 1.15), weight: 1 }, Infinity), concurrencyCurve.EMPTY_CURVE)
}

const VARIED = Array.from({ length: 60 }, (_, index) => 1 + Math.floor(index / 2) % 12)

const KNEES: readonly (readonly [what: string, timeOf: (inFlight: number) => number, min: number, max: number])[] = [
  ['a target whose time is constant is not limited', () => 180, 12, 12],
  ['a target whose time grows by 3% with each request keeps three quarters of its slots', (inFlight) => 60 * (1 + 0.03 * inFlight), 9, 12],
  ['a target whose time grows with the square beyond four is limited to about four', (inFlight) => 60 * SLOW_BEYOND_FOUR(inFlight), 3, 5]
]

for (const [what, timeOf, min, max] of KNEES) {
  suite(what, () => {
    const found = concurrencyCurve.highestKnee(curveOf(timeOf, VARIED), 12)
    assert.ok(found !== undefined && found >= min && found <= max, String(found))
  })
}

suite('samples that are all alike do not tell where the knee is', () => {
  assert.is(concurrencyCurve.highestKnee(curveOf(() => 540, VARIED.map(() => 12)), 12), undefined)
})

const CONDITIONS: concurrencyLimit.Conditions = { bound: 12, share: 1, part: 1, rank: 0 }

suite('a daemon joins the samples once the one before it is silent, and a limit that nobody renews expires', () => {
  const next = new concurrencyLimit.ConcurrencyLimit(5)
  next.applyPeer('10.0.0.1:7600', [[[0]], 0, 500, 500], 0)
  for (let nowMs = 0; nowMs <= 900; nowMs += 100) next.update({ ...CONDITIONS, rank: 1 }, nowMs)
  assert.not.ok(next.isJoined)
  for (let nowMs = 1_000; nowMs <= 2_000; nowMs += 100) next.update({ ...CONDITIONS, rank: 1 }, nowMs)
  assert.ok(next.isJoined)
  assert.is(next.current(2_000)?.total, 5)
  assert.is(next.current(2_000 + concurrencyLimit.LIMIT_EXPIRY_MS + 1), undefined)
})

suite('limits stay between one and the declared bound whatever the samples are', () => {
  const limit = new concurrencyLimit.ConcurrencyLimit()
  for (let step = 0; step < 400; step += 1) {
    for (let sample = 0; sample < 5; sample += 1) limit.record('whole', { inFlight: 1 + (step * 7 + sample) % 13, time: 1 + (step * 31 + sample * 17) % 900, weight: 1 }, step * 100)
    limit.update(CONDITIONS, step * 100)
    const total = limit.current(step * 100)?.total ?? 1
    assert.ok(total >= 1 && total <= 12, String(total))
  }
})

function poolOf (scheduling: 'adaptive' | 'basic', targets: readonly string[]): routing.pool.Pool {
  const pool = new routing.pool.Pool({ service: { ...fixtures.PLAIN, scheduling }, random: () => 0.5 })
  const targetShares = targets.map((id) => ({ target: fixtures.targetOf(id, 'stock', 12), share: 1 }))
  assert.equal([...pool.handle({ kind: 'targets', targetShares, cellPosition: { index: 0, members: 4 } }, 0)], [])
  return pool
}

function dispatchedOf (pool: routing.pool.Pool, nowMs: number): number {
  return Array.from({ length: 20 }, (_, id) => [...pool.handle({ kind: 'arrived', request: fixtures.requestOf(id, { arrivedMs: nowMs }) }, nowMs)]).flat().filter(({ kind }) => kind === 'dispatch').length
}

suite('a daemon that is cut off uses only its own part of the declared bound, and a basic service the slots that it used before', () => {
  const dispatched = (['adaptive', 'basic'] as const).map((scheduling) => {
    const pool = poolOf(scheduling, ['i-1'])
    assert.equal([...pool.handle({ kind: 'peer-load', peer: 'p', load: { targets: {}, waiting: [], limits: { 'i-1': [[[0]], 0, 800, 800] } } }, 0)], [])
    assert.equal([...pool.handle({ kind: 'fleet', reachable: 1, daemons: 4 }, 0)], [])
    return dispatchedOf(pool, 10)
  })
  assert.equal(dispatched, [3, 5])
})

suite('a new target starts with the share of its slots that the other targets take well', () => {
  const pool = poolOf('adaptive', ['i-1'])
  assert.equal([...pool.handle({ kind: 'peer-load', peer: 'p', load: { targets: {}, waiting: [], limits: { 'i-1': [[[0]], 0, 400, 400] } } }, 0)], [])
  const targetShares = ['i-1', 'i-2'].map((id) => ({ target: fixtures.targetOf(id, 'stock', 12), share: 1 }))
  assert.equal([...pool.handle({ kind: 'targets', targetShares, cellPosition: { index: 0, members: 1 } }, 100)], [])
  const limits = [pool.load(1_500), pool.load(3_500)].map(({ limits }) => limits?.['i-2']?.[2])
  assert.ok(limits.includes(400), JSON.stringify(limits))
})

suite.run()
