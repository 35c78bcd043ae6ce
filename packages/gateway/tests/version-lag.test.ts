import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

/** Reports heard, as version and time, the adopted version and the lag that its adoption at 1,000 ms states. */
const CASES: readonly (readonly [description: string, heard: readonly (readonly [version: number, atMs: number])[], adopted: number, lagMs: number | undefined])[] = [
  ['no peer has reported the version', [], 7, undefined],
  ['a peer has reported it', [[7, 400]], 7, 600],
  ['several peers have reported it', [[7, 400], [7, 900]], 7, 600],
  ['a skipped version was reported before', [[5, 100], [7, 400]], 7, 900],
  ['only a later version was reported', [[9, 400]], 7, undefined],
  ['only the version in force was reported', [[3, 400]], 7, undefined]
]

const suite = uvu.suite('version lag')

for (const [description, heard, adopted, lagMs] of CASES) {
  suite(description, () => {
    const lag = gateway.versionLag.createVersionLag()
    lag.adopt(3, 0)
    for (const [version, atMs] of heard) lag.hear(version, atMs)
    assert.is(lag.adopt(adopted, 1_000), lagMs)
  })
}

suite('a later version that was heard counts when it is adopted', () => {
  const lag = gateway.versionLag.createVersionLag()
  lag.hear(9, 400)
  assert.is(lag.adopt(7, 500), undefined)
  assert.is(lag.adopt(9, 700), 300)
})

suite.run()
