import * as assert from 'uvu/assert'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as world from './world.js'

const interleavings = uvu.suite('interleavings')

const SEED = 20_261_203
const RUNS = 1_000
/** Longest wait by which every request must have ended, milliseconds. */
const QUIET_MS = 700_000

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

function perform (scene: world.World, item: Step): void {
  switch (item.kind) {
    case 'burst': {
      const { tier, nonIdempotent, deadlineMs } = item
      for (let index = 0; index < item.count; index++) {
        scene.ask(item.daemon, { tier, nonIdempotent, deadlineMs, promptTokens: item.tokens, answerTokens: 100, organisation: index % 2 === 0 ? 'north' : 'south' }, item.runMs)
      }
      return
    }
    case 'pass': return scene.pass(item.ms)
    case 'elect': return scene.elect(item.pool, item.daemon)
    case 'cut': return scene.cut(item.left, item.right)
    case 'pause': return scene.pause(item.daemon, item.ms)
    case 'kill': return scene.kill(item.daemon)
    case 'announce': return scene.announce(item.target, item.state)
  }
}

interleavings('keep every promise and end every request', () => {
  const totals = { ended: 0, shed: 0, preempted: 0, dispatched: 0, asked: 0, lost: 0 }
  fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), fc.nat(1_000_000), fc.constantFrom(500, 3_000, 30_000), (steps, seed, maxWaitMs) => {
    const scene = new world.World(seed, maxWaitMs)
    scene.pass(1_000)
    for (const item of steps) perform(scene, item)
    for (const target of ['t1', 't2', 'w1']) scene.announce(target, 'serving')
    scene.settle(QUIET_MS)
    assert.ok(scene.violations.length === 0, scene.violations.slice(0, 5).join('; '))
    assert.ok(scene.open().length === 0, `open: ${scene.open().join('; ')}`)
    assert.ok(scene.leftover().length === 0, `leftover: ${scene.leftover().join('; ')}`)
    for (const [name, value] of Object.entries(scene.counts)) totals[name as keyof typeof totals] += value
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
  for (const [name, value] of Object.entries(totals)) assert.ok(value > 0, `${name} never happened`)
})

interleavings.run()
