import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as deploymentK from './deployment-k.js'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('placement under load')

const SEEDS = [11, 12, 13]

/** Share of callers that must be served in time while there is capacity for them, as part D of the page requires. */
const MIN_IN_TIME = 0.9

/** Share of requests that may be refused wrongly, as daemons learn of free slots from reports that are up to 40 ms old. */
const MAX_WRONG_REFUSALS = 0.02

/** Share of requests that may run into their time limit: the host of a target can be disturbed after they were sent. */
const MAX_TIMED_OUT = 0.001

/** Longest mean time to a refusal, ms: half of the shortest latency target. */
const MAX_REFUSAL_MS = 154

interface Sums {
  readonly arrived: number
  readonly inTime: number
  readonly refused: number
  readonly timedOut: number
  readonly refusalMs: number
  readonly wrongRefusals: number
  readonly dispatchedToFull: number
}

function simulate (changes: deploymentK.Changes): { readonly total: Sums, readonly inTimeOf: (name: string) => number } {
  const results = SEEDS.map((seed) => deploymentK.simulate({ ...changes, seed }))
  const outcomes = results.flatMap((result) => [...result.outcomes])
  const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0)
  const of = (name: string, field: 'arrived' | 'inTime'): number => sum(outcomes.filter(([each]) => each === name).map(([, outcome]) => outcome[field]))
  const all = (field: 'arrived' | 'inTime' | 'refused' | 'timedOut' | 'refusalMs'): number => sum(outcomes.map(([, outcome]) => outcome[field]))
  return {
    total: {
      arrived: all('arrived'),
      inTime: all('inTime'),
      refused: all('refused'),
      timedOut: all('timedOut'),
      refusalMs: all('refusalMs'),
      wrongRefusals: sum(results.map(({ wrongRefusals }) => wrongRefusals)),
      dispatchedToFull: sum(results.map(({ dispatchedToFull }) => dispatchedToFull))
    },
    inTimeOf: (name) => of(name, 'inTime') / of(name, 'arrived')
  }
}

suite('K at 0.7 of its load: there is capacity for all, and callers are served in time', () => {
  const { total, inTimeOf } = simulate({ scheduling: 'adaptive', load: 0.7 })
  assert.ok(total.inTime >= MIN_IN_TIME * total.arrived, JSON.stringify(total))
  assert.ok(inTimeOf('long') >= MIN_IN_TIME, String(inTimeOf('long')))
})

for (const load of [0.85, 1, 1.4]) {
  const adaptive = simulate({ scheduling: 'adaptive', load })
  const basic = simulate({ scheduling: 'basic', load })

  suite(`K at ${load} of its load: more callers are served in time than by mean service times, also of the most urgent kind`, () => {
    assert.ok(adaptive.total.inTime > basic.total.inTime, JSON.stringify([adaptive.total, basic.total]))
    // The most urgent requests fill about half of the slots at the load of K, so there is capacity for them.
    assert.ok(adaptive.inTimeOf('long') >= (load > 1 ? basic.inTimeOf('long') : MIN_IN_TIME), String(adaptive.inTimeOf('long')))
  })

  suite(`K at ${load} of its load: refusals are early, and not while a slot could serve the request`, () => {
    assert.ok(adaptive.total.refusalMs / Math.max(1, adaptive.total.refused) <= MAX_REFUSAL_MS, JSON.stringify(adaptive.total))
    assert.ok(adaptive.total.wrongRefusals <= MAX_WRONG_REFUSALS * adaptive.total.arrived, JSON.stringify(adaptive.total))
  })

  suite(`K at ${load} of its load: fewer requests queue at engines, where priorities have no effect`, () => {
    assert.ok(adaptive.total.dispatchedToFull < basic.total.dispatchedToFull, JSON.stringify([adaptive.total, basic.total]))
  })

  suite(`K at ${load} of its load: next to no request runs into its time limit`, () => {
    assert.ok(adaptive.total.timedOut <= MAX_TIMED_OUT * adaptive.total.arrived, JSON.stringify(adaptive.total))
  })
}

suite('the memory of an engine is never exceeded, whichever daemons send to it', () => {
  for (const seed of SEEDS) {
    const { mostTokensAtEngine } = deploymentK.simulate({ scheduling: 'adaptive', seed, memoryTokens: 24_000 })
    assert.ok(mostTokensAtEngine <= 24_000, `${mostTokensAtEngine} tokens`)
  }
})

const ADAPTIVE: routing.document.Service = { ...fixtures.ENGINE, scheduling: 'adaptive' }

/** Creates a pool with engines whose speeds peers have measured: 1,000 prompt tokens, or 9 tokens, take `intervals` ms. */
function poolOf (intervals: readonly number[], service = ADAPTIVE): routing.pool.Pool {
  const pool = new routing.pool.Pool({ service, random: () => 0.5 })
  const targets = intervals.map((_, index) => fixtures.targetOf(`i-${index}`, 'support', 1))
  const drain = (event: routing.poolEvent.PoolEvent): void => { assert.equal([...pool.handle(event, 0)], []) }
  drain({ kind: 'targets', targetShares: targets.map((target) => ({ target, share: 1 })) })
  drain({ kind: 'peer-load', peer: 'd-1', load: { targets: {}, waiting: [], speeds: Object.fromEntries(intervals.map((interval, index) => [`i-${index}`, [20, 20, 20 * interval, 40, 40 * interval, 200, 200 * interval / 9] as const])) } })
  return pool
}

function place (pool: routing.pool.Pool, request: Partial<routing.poolEvent.PlacementRequest>, id = 1): string | undefined {
  const [decision] = [...pool.handle({ kind: 'arrived', request: fixtures.requestOf(id, request) }, 0)]
  return decision?.kind === 'dispatch' ? decision.target.id : decision?.kind
}

suite('a long generation waits for an engine that can finish it, instead of one that is free and can not', () => {
  const pool = poolOf([30, 400])
  assert.is(place(pool, { outputTokens: 90 }, 1), 'i-0')
  assert.is(place(pool, { outputTokens: 300, limitMs: 6_000, targetLatencyMs: 2_000 }, 2), undefined)
  assert.is(pool.waiting, 1)
})

suite('if no engine can finish a generation in time, the one that finishes first gets it', () => {
  assert.is(place(poolOf([600, 300, 400]), { outputTokens: 900, limitMs: 5_000 }), 'i-1')
})

suite('a request that fits into no engine is refused, and one that does not fit now waits', () => {
  const pool = poolOf([30], { ...ADAPTIVE, engine: { slots: 2, memoryTokens: 10_000, tokensPerEvent: 9 } })
  assert.is(place(pool, { promptTokens: 11_000 }, 1), 'refuse')
  assert.is(place(pool, { promptTokens: 6_000, outputTokens: 20 }, 2), 'i-0')
  assert.is(place(pool, { promptTokens: 6_000, outputTokens: 20 }, 3), undefined)
})

suite('what peers have at an engine counts, also in the share of a cell', () => {
  const pool = poolOf([30, 30], { ...ADAPTIVE, engine: { slots: 2, memoryTokens: 10_000, tokensPerEvent: 9 } })
  const targets = [0, 1].map((index) => ({ target: fixtures.targetOf(`i-${index}`, 'support', 4), share: 1, part: index === 0 ? 1 : 0.2 }))
  assert.equal([...pool.handle({ kind: 'targets', targetShares: targets }, 0)], [])
  assert.equal([...pool.handle({ kind: 'peer-load', peer: 'd-1', load: { targets: { 'i-0': [1, 0] }, waiting: [], held: { 'i-0': 7_000 } } }, 0)], [])
  assert.is(place(pool, { promptTokens: 3_000 }, 1), undefined)
  assert.is(place(pool, { promptTokens: 2_200, outputTokens: 100 }, 2), 'i-0')
})

suite('a prompt goes to the engine that a peer has sent it to, and is reported twice in case a report is lost', () => {
  const request = { promptTokens: 8_000, promptSegments: ['s-1', 'own'] }
  const pool = poolOf([30, 30])
  assert.equal([...pool.handle({ kind: 'peer-load', peer: 'd-2', load: { targets: {}, waiting: [], prefixes: { 'i-1': ['own'] } } }, 0)], [])
  assert.is(place(pool, request), 'i-1')
  assert.equal([1, 2, 3].map((nowMs) => pool.load(nowMs).prefixes), [{ 'i-1': ['own'] }, { 'i-1': ['own'] }, undefined])
})

suite('a service that is not adaptive ignores what only adaptive ones use', () => {
  const pool = poolOf([30, 30], { ...fixtures.ENGINE, scheduling: 'basic' })
  assert.equal([...pool.handle({ kind: 'peer-load', peer: 'd-2', load: { targets: {}, waiting: [], prefixes: { 'i-1': ['own'] } } }, 0)], [])
  assert.is(place(pool, { promptTokens: 8_000, promptSegments: ['own'] }), 'i-0')
  assert.equal(Object.keys(pool.load(0)), ['targets', 'waiting'])
})

suite('cells share the memory of a target without exceeding it', () => {
  const targets = [0, 1, 2, 3].map((index) => fixtures.targetOf(`i-${index}`, 'support', 6))
  for (const cells of [1, 3, 13]) {
    const shares = Array.from({ length: cells }, (_, index) => routing.cell.assignTargets(targets, { from: index / cells, to: (index + 1) / cells }, routing.cell.MIN_DIFFERENT_TARGETS_PER_CELL)).flat()
    for (const { id } of targets) {
      const sum = shares.filter(({ target }) => target.id === id).reduce((total, { share, part }) => total + (part ?? share), 0)
      assert.ok(sum <= 1 + 1e-9, `${cells} cells: ${sum}`)
    }
  }
})

suite('slots are expected to become free when the work in them ends', () => {
  const schedule = routing.slotSchedule.createSlotSchedule(routing.slotSchedule.releaseTimes({ slots: 5, ownRemainingMs: [300], peerRequests: 3, meanMs: 800 }))
  const waits = [1, 2, 3, 4, 5, 6].map(() => {
    const waitMs = schedule.nextFreeMs()
    schedule.take(1_000)
    return waitMs
  })
  assert.equal(waits, [0, 200, 300, 400, 600, 1_000])
})

suite.run()
