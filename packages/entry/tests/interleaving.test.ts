import * as history from '@persimmonhatch/history'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as model from './model.js'
import type * as modelCommand from './model-command.js'

const RUNS_PER_SEED = 2_000
const MAX_STEPS = 60
const SEEDS = [20261203, 4, 1989]

const anyIndex = fc.nat({ max: 40 })
const recentIndex = fc.nat({ max: 3 })
const entry = fc.nat({ max: 1 })
const authority = fc.nat({ max: 2 })
const target = fc.nat({ max: 2 })
const anyBoolean = fc.boolean()
const trueInOneOfEight = fc.nat({ max: 7 }).map((number) => number === 0)
const falseInOneOfEight = trueInOneOfEight.map((value) => !value)

function kindOf<Kind extends modelCommand.Command['kind']> (kind: Kind): fc.Arbitrary<Kind> {
  return fc.constant(kind)
}

const commands: fc.Arbitrary<modelCommand.Command> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: kindOf('send'), request: fc.nat({ max: 9 }), toOtherEntry: trueInOneOfEight }) },
  { weight: 2, arbitrary: fc.record({ kind: kindOf('caller-gone'), call: anyIndex }) },
  { weight: 10, arbitrary: fc.record({ kind: kindOf('grant'), slotRequest: recentIndex, fromOtherAuthority: trueInOneOfEight, target, inLatestRound: anyBoolean, isImmediate: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: kindOf('refusal'), slotRequest: recentIndex, reason: fc.constantFrom('shed', 'no-target', 'no-authority') }) },
  { weight: 4, arbitrary: fc.record({ kind: kindOf('revocation'), slotRequest: recentIndex, cause: fc.constantFrom('preempted', 'preempted', 'withdrawn') }) },
  { weight: 16, arbitrary: fc.record({ kind: kindOf('deliver'), message: recentIndex, willRepeat: trueInOneOfEight, reachable: falseInOneOfEight }) },
  { weight: 1, arbitrary: fc.record({ kind: kindOf('lose'), message: anyIndex }) },
  { weight: 3, arbitrary: fc.record({ kind: kindOf('end'), dispatch: anyIndex, outcome: fc.constantFrom('finished', 'failed', 'crashed', 'incomplete') }) },
  { weight: 2, arbitrary: fc.record({ kind: kindOf('authority'), entry, authority, reconnected: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: kindOf('collect'), entry, authority: entry }) },
  { weight: 2, arbitrary: fc.record({ kind: kindOf('pause'), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: kindOf('resume'), entry, isNotified: anyBoolean }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('crash', 'drain'), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: kindOf('leaving'), target }) },
  { weight: 1, arbitrary: fc.record({ kind: kindOf('documents'), entry, variant: fc.constantFrom(0, 0, 0, 1, 2, 3) }) },
  { weight: 2, arbitrary: fc.record({ kind: kindOf('heartbeat'), entry, by: fc.constantFrom(1, 700) }) },
  { weight: 4, arbitrary: fc.record({ kind: kindOf('wait'), durationMs: fc.constantFrom(100, 600, 1_500, 6_000) }) }
)

const GUARANTEE_CHECKS: ReadonlyArray<history.history.GuaranteeCheck> = [
  history.singleDispatch.singleDispatch,
  history.singleEffect.singleEffect,
  history.truthfulRefusal.truthfulRefusal,
  history.completeResponse.completeResponse,
  history.leavingTarget.leavingTarget,
  history.finalOutcome.finalOutcome
]

const test = uvu.suite('interleavings of two entries')

for (const seed of SEEDS) {
  test(`every guarantee holds in ${RUNS_PER_SEED} runs of seed ${seed}`, () => {
    const counts = new Map<string, number>()
    fc.assert(fc.property(fc.array(commands, { maxLength: MAX_STEPS, size: 'max' }), (steps) => {
      const run = new model.Model()
      for (const each of steps) run.perform(each)
      run.finish()
      for (const [kind, count] of run.counts) counts.set(kind, (counts.get(kind) ?? 0) + count)
      const violations = GUARANTEE_CHECKS.flatMap((check) => check(run.history())).map((violation) => `${violation.guarantee}: ${violation.message}`)
      if (violations.length + run.errors.length > 0) throw new Error([...violations, ...run.errors].join('; '))
    }), { seed, numRuns: RUNS_PER_SEED, includeErrorInReport: true })
    // Guards against generators that rarely reach a kind of output, which would leave it untested.
    for (const kind of ['dispatch', 'join', 'refuse', 'redirect', 'cancel', 'settled', 'forget', 'drained']) {
      assert.ok((counts.get(kind) ?? 0) > RUNS_PER_SEED / 20, `${kind}: ${counts.get(kind) ?? 0}`)
    }
  })
}

test.run()
