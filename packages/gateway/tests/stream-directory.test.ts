import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as routing from '@persimmonhatch/routing'
import * as metrics from '../src/metrics.js'
import * as streamDirectory from '../src/stream-directory.js'

const suite = uvu.suite('stream directory')

const BEGINNING = { requestId: 'r-1', service: 'support', version: 'v1' }

interface Case {
  readonly description: string
  /** What peers answer to each question; nothing if an answer is lost. */
  readonly answers: readonly (readonly (routing.streamVersions.StreamBeginning | 'nothing known')[])[]
  readonly found: string | undefined
  readonly source: streamDirectory.BeginningSource | undefined
  readonly asks: number
}

const CASES: readonly Case[] = [
  { description: 'a peer that knows the stream', answers: [['nothing known', BEGINNING]], found: 'v1', source: 'peer', asks: 1 },
  { description: 'no peer that knows it', answers: [['nothing known', 'nothing known']], found: undefined, source: undefined, asks: 1 },
  { description: 'a lost answer, which is asked for again', answers: [['nothing known'], [BEGINNING]], found: 'v1', source: 'peer', asks: 2 },
  { description: 'peers that do not answer', answers: [], found: undefined, source: undefined, asks: 3 }
]

for (const { description, answers, found, source, asks } of CASES) {
  suite(`the version of a stream is found with ${description}`, () => {
    let asked = 0
    let results: readonly (readonly (string | undefined)[])[] = []
    let scheduled: readonly (() => void)[] = []
    const directory: streamDirectory.StreamDirectory = streamDirectory.createStreamDirectory({
      address: 'here',
      now: () => 0,
      streams: routing.streamVersions.createStreamVersions(),
      metrics: metrics.createMetrics(),
      askedPeers: () => ['peer-0', 'peer-1'],
      ask: () => { asked += 1 },
      answer: () => {},
      schedule: (_, run) => { scheduled = [...scheduled, run] },
      changed: () => {},
      onlyVersionOf: () => undefined,
      afterLoading: (done) => { done() },
      reload: (done) => { done(true) },
      listTargets: (done) => { done() }
    })
    directory.find({ requestId: 'r-1', service: 'support' }, (result) => { results = [...results, [result?.beginning.version, result?.source]] })
    for (let round = 0; round < 4; round += 1) {
      for (const [index, answer] of (answers[round] ?? []).entries()) {
        directory.handleAnswer({ from: `peer-${index}`, requestId: 'r-1', beginning: answer === 'nothing known' ? undefined : answer })
      }
      const due = scheduled
      scheduled = []
      for (const run of due) run()
    }
    assert.equal([results, asked], [[[found, source]], asks])
  })
}

const INFERENCES: readonly (readonly [description: string, known: readonly routing.streamVersions.StreamBeginning[], isCurrent: boolean, found: string | undefined])[] = [
  ['no other version is known', [{ ...BEGINNING, requestId: 'r-2' }], true, 'v1'],
  ['another service has another version', [{ requestId: 'r-2', service: 'search', version: 'v2' }], true, 'v1'],
  ['the versions in service could not be read', [], false, undefined],
  ['a stream has begun at a version that is not in the history', [{ ...BEGINNING, requestId: 'r-2', version: 'v2' }], true, undefined]
]

for (const [description, known, isCurrent, found] of INFERENCES) {
  suite(`an unknown stream is ${found === undefined ? 'not ' : ''}taken for one of the only version in service when ${description}`, () => {
    const streams = routing.streamVersions.createStreamVersions()
    const results: (string | undefined)[] = []
    const directory = streamDirectory.createStreamDirectory({
      address: 'here',
      now: () => 0,
      streams,
      metrics: metrics.createMetrics(),
      askedPeers: () => [],
      ask: () => {},
      answer: () => {},
      schedule: () => {},
      changed: () => {},
      onlyVersionOf: () => 'v1',
      afterLoading: (done) => { done() },
      reload: (done) => {
        streams.restore(routing.streamVersions.toStreamReport(known), 0)
        done(isCurrent)
      },
      listTargets: (done) => { done() }
    })
    directory.find({ requestId: 'r-1', service: 'support' }, (result) => { results.push(result?.beginning.version) })
    assert.equal(results, [found])
  })
}

suite('records are reported once, kept for a minute and bounded in a report', () => {
  const [streams, peer] = [routing.streamVersions.createStreamVersions(), routing.streamVersions.createStreamVersions()]
  streams.record(BEGINNING, 0)
  streams.record({ ...BEGINNING, requestId: 'r-2', version: 'v2' }, 0)
  const reports = [streams.takeUnreported(1), streams.takeUnreported(1), streams.takeUnreported(1)]
  assert.equal(reports, [{ support: { v1: ['r-1'] } }, { support: { v2: ['r-2'] } }, {}])
  for (const report of reports) peer.applyReport(report, 0)
  assert.equal([peer.find('r-1', 0)?.version, peer.find('r-2', 0)?.version, peer.find('r-3', 0)], ['v1', 'v2', undefined])
  assert.equal([peer.takeUnreported(8), peer.find('r-1', 61_000)], [{}, undefined])
})

suite.run()
