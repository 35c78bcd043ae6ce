import * as history from '@persimmonhatch/history'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as model from './model.js'
import type * as modelCommand from './model-command.js'

const RUNS_PER_SEED = 2_000
const MAX_STEPS = 60
const SEEDS = [20261203, 4, 1989]

const index = fc.nat({ max: 40 })
const recentIndex = fc.nat({ max: 3 })
const entry = fc.nat({ max: 1 })
const authority = fc.nat({ max: 2 })
const target = fc.nat({ max: 2 })
const anyBoolean = fc.boolean()
const trueInOneOfEight = fc.nat({ max: 7 }).map((number) => number === 0)
const falseInOneOfEight = trueInOneOfEight.map((value) => !value)

function step<Kind extends modelCommand.Command['kind']> (kind: Kind): fc.Arbitrary<Kind> {
  return fc.constant(kind)
}

const commands: fc.Arbitrary<modelCommand.Command> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: step('send'), request: fc.nat({ max: 9 }), toOtherEntry: trueInOneOfEight }) },
  { weight: 2, arbitrary: fc.record({ kind: step('caller-gone'), call: index }) },
  { weight: 10, arbitrary: fc.record({ kind: step('grant'), slotRequest: recentIndex, fromOtherAuthority: trueInOneOfEight, target, inLatestRound: anyBoolean, isImmediate: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: step('refusal'), slotRequest: recentIndex, reason: fc.constantFrom('shed', 'no-target', 'no-authority') }) },
  { weight: 4, arbitrary: fc.record({ kind: step('revocation'), slotRequest: recentIndex, cause: fc.constantFrom('preempted', 'preempted', 'withdrawn') }) },
  { weight: 16, arbitrary: fc.record({ kind: step('deliver'), message: recentIndex, willRepeat: trueInOneOfEight, reachable: falseInOneOfEight }) },
  { weight: 1, arbitrary: fc.record({ kind: step('lose'), message: index }) },
  { weight: 3, arbitrary: fc.record({ kind: step('end'), dispatch: index, outcome: fc.constantFrom('finished', 'failed', 'crashed', 'incomplete') }) },
  { weight: 2, arbitrary: fc.record({ kind: step('authority'), entry, authority, reconnected: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: step('collect'), entry, authority: entry }) },
  { weight: 2, arbitrary: fc.record({ kind: step('pause'), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: step('resume'), entry, isNotified: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('crash', 'drain'), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: step('leaving'), target }) },
  { weight: 1, arbitrary: fc.record({ kind: step('documents'), entry, variant: fc.constantFrom(0, 0, 0, 1, 2, 3) }) },
  { weight: 2, arbitrary: fc.record({ kind: step('beat'), entry, by: fc.constantFrom(1, 700) }) },
  { weight: 4, arbitrary: fc.record({ kind: step('wait'), durationMs: fc.constantFrom(100, 600, 1_500, 6_000) }) }
)

const PREDICATES: ReadonlyArray<history.history.Predicate> = [
  history.singleDispatch.singleDispatch,
  history.singleEffect.singleEffect,
  history.truthfulRefusal.truthfulRefusal,
  history.completeResponse.completeResponse,
  history.leavingTarget.leavingTarget,
  history.finalOutcome.finalOutcome
]

const test = uvu.suite('interleavings of two entries')

for (const seed of SEEDS) {
  test(`every promise holds in ${RUNS_PER_SEED} runs of seed ${seed}`, () => {
    const counts = new Map<string, number>()
    fc.assert(fc.property(fc.array(commands, { maxLength: MAX_STEPS, size: 'max' }), (steps) => {
      const run = new model.Model()
      for (const each of steps) run.perform(each)
      run.finish()
      for (const [kind, count] of run.counts) counts.set(kind, (counts.get(kind) ?? 0) + count)
      const broken = PREDICATES.flatMap((predicate) => predicate(run.history())).map((violation) => `${violation.promise}: ${violation.message}`)
      if (broken.length + run.faults.length > 0) throw new Error([...broken, ...run.faults].join('; '))
    }), { seed, numRuns: RUNS_PER_SEED, includeErrorInReport: true })
    // The runs mean something only when each kind of output is common in them.
    for (const kind of ['dispatch', 'join', 'refuse', 'redirect', 'cancel', 'settled', 'forget', 'drained']) {
      assert.ok((counts.get(kind) ?? 0) > RUNS_PER_SEED / 20, `${kind}: ${counts.get(kind) ?? 0}`)
    }
  })
}

test.run()
