import * as gatewayPackage from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

type Report = gatewayPackage.peerMessages.Report

const FIRST: Report = {
  from: '10.1.0.25:7600', incarnation: 'a', sequence: 1, scope: 'cell', frontAddress: '10.1.0.25:80', ready: true, documentVersion: 1, targetsPosition: [1, 1], pools: {}, usedTokens: {}, refusedTokens: {}, formerCaps: [], complete: true, leavingTargets: [], departures: [], pauses: [], suspects: {}, limits: [], lostTargets: [], streams: {}, rollouts: {}, members: []
}

/** Factor by which refused tokens are told from admitted ones in the counts. */
const REFUSED = 1_000_000

/** Reports in order, 1 ms apart unless a time is given. */
const CASES: readonly (readonly [what: string, reports: readonly (Partial<Report> & { readonly atMs?: number })[], counted: number, countedForCell: number])[] = [
  ['tokens that a peer used before its first report are not counted', [{ usedTokens: { maarif: 500 } }], 0, 0],
  ['tokens that a peer used after its first report are counted', [{ usedTokens: { maarif: 500 } }, { usedTokens: { maarif: 700 } }], 200, 200],
  ['an organisation that is missing in a complete report had used nothing until then', [{}, { complete: false, usedTokens: { maarif: 300 } }], 300, 300],
  ['an organisation that is missing in an incomplete report may have used tokens before', [{ complete: false }, { complete: false, usedTokens: { maarif: 300 } }], 0, 0],
  ['an unchanged total that is left out remains in effect', [{ usedTokens: { maarif: 500 } }, { complete: false }, { complete: false, usedTokens: { maarif: 600 } }], 100, 100],
  ['tokens that a peer refunded are refunded here', [{ usedTokens: { maarif: 500 } }, { usedTokens: { maarif: 200 } }], -300, -300],
  ['the next total includes the tokens of a lost report', [{ usedTokens: { maarif: 500 } }, { complete: true, usedTokens: { maarif: 900 } }], 400, 400],
  ['tokens that a peer used while it was unresponsive are not counted', [
    { usedTokens: { maarif: 500 } }, { atMs: 8_000, usedTokens: { maarif: 9_000 } }, { atMs: 8_200, usedTokens: { maarif: 9_100 } }
  ], 100, 100],
  ['one lost report is no timeout', [{ usedTokens: { maarif: 500 } }, { atMs: 600, usedTokens: { maarif: 900 } }], 400, 400],
  ['totals of a restarted process count from zero', [{ usedTokens: { maarif: 500 } }, { incarnation: 'b' }, { incarnation: 'b', usedTokens: { maarif: 80 } }], 80, 80],
  ['totals of another cell are not passed on to the fleet', [{ scope: 'fleet' }, { scope: 'fleet', usedTokens: { maarif: 400 } }], 400, 0],
  ['the same tokens reported by two members of another cell are counted once', [
    { scope: 'fleet' }, { scope: 'fleet', from: 'b' }, { scope: 'fleet', usedTokens: { maarif: 400 } }, { scope: 'fleet', from: 'b', usedTokens: { maarif: 400 } }
  ], 400, 0],
  ['another member of a cell takes over from one that has timed out', [
    { scope: 'fleet' }, { scope: 'fleet', from: 'b' }, { atMs: 4, scope: 'fleet', from: 'b' }, { atMs: 8, scope: 'fleet', from: 'b', usedTokens: { maarif: 400 } }
  ], 400, 0],
  ['refused tokens are counted on their own, in the cell', [{}, { usedTokens: { maarif: 5 }, refusedTokens: { maarif: 3 } }], 5 + 3 * REFUSED, 5 + 3 * REFUSED],
  ['refused tokens of another cell are counted by their totals', [{ scope: 'fleet' }, { scope: 'fleet', refusedTokens: { maarif: 3 } }, { scope: 'fleet', refusedTokens: { maarif: 4 } }], 4 * REFUSED, 0],
  ['the first total of a cell after one of its sender alone is not counted', [{ usedTokens: { maarif: 50 } }, { scope: 'fleet', usedTokens: { maarif: 9_000 } }], 0, 0]
]

const suite = uvu.suite('reported tokens')

for (const [what, reports, counted, countedForCell] of CASES) {
  suite(what, () => {
    let countedTokens = 0
    let cellTokens = 0
    const reportedTokens = gatewayPackage.reportedTokens.createReportedTokens({
      caps: { applyReported: (_, tokens) => { countedTokens += tokens }, applyReportedRefusals: (_, tokens) => { countedTokens += tokens * REFUSED }, applyFormerCaps: () => {} },
      countCellTokens: (_, tokens, kind) => { cellTokens += kind === 'used' ? tokens : tokens * REFUSED },
      cellOf: () => '3',
      intervalMs: () => 2.5
    })
    for (const [index, { atMs, ...changes }] of reports.entries()) reportedTokens.apply({ ...FIRST, sequence: index + 1, ...changes }, atMs ?? index)
    assert.equal([countedTokens, cellTokens], [counted, countedForCell])
  })
}

suite('a report is parsed as it was sent, without its empty fields', () => {
  const message = JSON.parse(JSON.stringify(gatewayPackage.peerMessages.toMessage(FIRST))) as object
  assert.not.ok('pools' in message || 'members' in message)
  assert.equal(gatewayPackage.peerMessages.parseReport(message), FIRST)
})

suite.run()
