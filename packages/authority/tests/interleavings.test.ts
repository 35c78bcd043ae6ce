import * as assert from 'uvu/assert'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as simulatedCluster from './simulated-cluster.js'

const interleavings = uvu.suite('interleavings')

const SEED = 20_261_203
const RUNS = 1_000
/** Time within which every request must end, milliseconds. */
const MAX_SETTLE_MS = 700_000

const step = fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('burst' as const), daemon: fc.nat(2), count: fc.integer({ min: 1, max: 12 }), tier: fc.nat(2), nonIdempotent: fc.boolean(), tokens: fc.integer({ min: 50, max: 12_000 }), runMs: fc.integer({ min: 50, max: 8_000 }), deadlineMs: fc.integer({ min: 2_000, max: 60_000 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 10, max: 4_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('elect' as const), pool: fc.constantFrom('east', 'west'), daemon: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut' as const), left: fc.nat(2), right: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), daemon: fc.nat(2), ms: fc.integer({ min: 100, max: 6_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), daemon: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('announce' as const), target: fc.constantFrom('t1', 't2', 'w1'), state: fc.constantFrom('leaving' as const, 'serving' as const) }) }
)

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

function perform (cluster: simulatedCluster.SimulatedCluster, item: Step): void {
  switch (item.kind) {
    case 'burst': {
      const { tier, nonIdempotent, deadlineMs } = item
      for (let index = 0; index < item.count; index++) {
        cluster.submit(item.daemon, { tier, nonIdempotent, deadlineMs, promptTokens: item.tokens, answerTokens: 100, organisation: index % 2 === 0 ? 'north' : 'south' }, item.runMs)
      }
      return
    }
    case 'pass': return cluster.advance(item.ms)
    case 'elect': return cluster.elect(item.pool, item.daemon)
    case 'cut': return cluster.dropMessages(item.left, item.right)
    case 'pause': return cluster.pause(item.daemon, item.ms)
    case 'kill': return cluster.kill(item.daemon)
    case 'announce': return cluster.announce(item.target, item.state)
  }
}

interleavings('violate no guarantee and end every request', () => {
  const totals = { ended: 0, shed: 0, preempted: 0, dispatched: 0, submitted: 0, lost: 0 }
  fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), fc.nat(1_000_000), fc.constantFrom(500, 3_000, 30_000), (steps, seed, maxWaitMs) => {
    const cluster = new simulatedCluster.SimulatedCluster(seed, maxWaitMs)
    cluster.advance(1_000)
    for (const item of steps) perform(cluster, item)
    for (const target of ['t1', 't2', 'w1']) cluster.announce(target, 'serving')
    cluster.settle(MAX_SETTLE_MS)
    assert.ok(cluster.violations.length === 0, cluster.violations.slice(0, 5).join('; '))
    assert.ok(cluster.openRequests().length === 0, `open: ${cluster.openRequests().join('; ')}`)
    assert.ok(cluster.leftoverSlots().length === 0, `leftover slots: ${cluster.leftoverSlots().join('; ')}`)
    for (const [name, value] of Object.entries(cluster.counts)) totals[name as keyof typeof totals] += value
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
  for (const [name, value] of Object.entries(totals)) assert.ok(value > 0, `${name} never happened`)
})

interleavings.run()
