import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('planned stop')

const GRACE_MS = 8_000

const CASES: readonly (readonly [what: string, sinceStopMs: number, kind: routing.document.RequestKind, outputTokens: number, accepted: boolean])[] = [
  ['a long stream at the start', 100, 'stream', 4_000, true],
  ['a long stream just before 3 s', 2_600, 'stream', 4_000, true],
  ['a long stream 3.4 s after the start of the stop, which would be cut at 7.5 s', 3_400, 'stream', 294, false],
  ['a short stream after 3.4 s', 3_400, 'stream', 24, true],
  ['a short stream after 4.5 s, which would be cut if its target preempted it', 4_500, 'stream', 24, false],
  ['a plain request after 3.4 s', 3_400, 'non-idempotent', 0, true],
  ['a plain request near the end', 6_500, 'idempotent', 0, false],
  ['a short stream near the end', 6_000, 'stream', 24, false]
]

for (const [what, sinceStopMs, kind, outputTokens, accepted] of CASES) {
  suite(`${what} is ${accepted ? 'accepted' : 'refused'}`, () => {
    assert.is(routing.plannedStop.isAcceptedDuringStop({ sinceStopMs, graceMs: GRACE_MS, kind, outputTokens }), accepted)
  })
}

suite.run()
