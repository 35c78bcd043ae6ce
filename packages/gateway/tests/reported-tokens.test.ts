import * as gatewayPackage from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

type Report = gatewayPackage.peerMessages.Report

const FIRST: Report = {
  from: '10.1.0.25:7600', incarnation: 'a', sequence: 1, scope: 'cell', frontAddress: '10.1.0.25:80', ready: true, documentVersion: 1, targetsRevision: 1, pools: {}, usedTokens: {}, complete: true, leavingTargets: [], crashes: [], members: []
}

/** Reports one after the other, 1 ms apart unless a time is given. */
const CASES: readonly (readonly [what: string, reports: readonly (Partial<Report> & { readonly atMs?: number })[], counted: number, countedForCell: number])[] = [
  ['what a peer used before it was heard is not counted', [{ usedTokens: { maarif: 500 } }], 0, 0],
  ['what it used since is', [{ usedTokens: { maarif: 500 } }, { usedTokens: { maarif: 700 } }], 200, 200],
  ['an organisation that no complete report named has used nothing until then', [{}, { complete: false, usedTokens: { maarif: 300 } }], 300, 300],
  ['an organisation that an incomplete report left out may have used something before', [{ complete: false }, { complete: false, usedTokens: { maarif: 300 } }], 0, 0],
  ['an unchanged total that is left out keeps its place', [{ usedTokens: { maarif: 500 } }, { complete: false }, { complete: false, usedTokens: { maarif: 600 } }], 100, 100],
  ['what a peer gave back is given back here', [{ usedTokens: { maarif: 500 } }, { usedTokens: { maarif: 200 } }], -300, -300],
  ['a lost report is made up for by the next total', [{ usedTokens: { maarif: 500 } }, { complete: true, usedTokens: { maarif: 900 } }], 400, 400],
  ['what a peer used while it was silent is not counted', [
    { usedTokens: { maarif: 500 } }, { atMs: 8_000, usedTokens: { maarif: 9_000 } }, { atMs: 8_200, usedTokens: { maarif: 9_100 } }
  ], 100, 100],
  ['a lost report is no silence', [{ usedTokens: { maarif: 500 } }, { atMs: 600, usedTokens: { maarif: 900 } }], 400, 400],
  ['a process that starts again counts from nothing', [{ usedTokens: { maarif: 500 } }, { incarnation: 'b' }, { incarnation: 'b', usedTokens: { maarif: 80 } }], 80, 80],
  ['totals of another cell are not told on', [{ scope: 'fleet' }, { scope: 'fleet', usedTokens: { maarif: 400 } }], 400, 0],
  ['two members of another cell that tell the same tokens count once', [
    { scope: 'fleet' }, { scope: 'fleet', from: 'b' }, { scope: 'fleet', usedTokens: { maarif: 400 } }, { scope: 'fleet', from: 'b', usedTokens: { maarif: 400 } }
  ], 400, 0],
  ['another member of a cell takes over from one that fell silent', [
    { scope: 'fleet' }, { scope: 'fleet', from: 'b' }, { atMs: 4, scope: 'fleet', from: 'b' }, { atMs: 8, scope: 'fleet', from: 'b', usedTokens: { maarif: 400 } }
  ], 400, 0],
  ['a total of the cell after one of the sender alone counts from there', [{ usedTokens: { maarif: 50 } }, { scope: 'fleet', usedTokens: { maarif: 9_000 } }], 0, 0]
]

const suite = uvu.suite('token news')

for (const [what, reports, counted, countedForCell] of CASES) {
  suite(what, () => {
    let countedTokens = 0
    let cellTokens = 0
    const reportedTokens = gatewayPackage.reportedTokens.createReportedTokens({
      caps: { applyReported: (_, tokens) => { countedTokens += tokens } },
      countCellTokens: (_, tokens) => { cellTokens += tokens },
      cellOf: () => '3',
      intervalMs: () => 2.5
    })
    for (const [index, { atMs, ...changes }] of reports.entries()) reportedTokens.apply({ ...FIRST, sequence: index + 1, ...changes }, atMs ?? index)
    assert.equal([countedTokens, cellTokens], [counted, countedForCell])
  })
}

suite('a report arrives as it was written, without what holds no news', () => {
  const message = JSON.parse(JSON.stringify(gatewayPackage.peerMessages.toMessage(FIRST))) as object
  assert.not.ok('pools' in message || 'members' in message)
  assert.equal(gatewayPackage.peerMessages.parseReport(message), FIRST)
})

suite.run()
