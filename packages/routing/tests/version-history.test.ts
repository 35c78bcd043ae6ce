/**
 * Which version can have begun a stream, by the history of the versions in service.
 */
import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('version history')

const START_MS = 1_796_000_000_000
const AGED_MS = routing.versionHistory.VERSION_RETENTION_MS + 1

interface Observation {
  readonly atMs: number
  readonly versions: readonly string[]
}

interface Case {
  readonly description: string
  readonly isFirstStart?: boolean
  readonly stored?: routing.versionHistory.HistoryRecord
  readonly observed: readonly Observation[]
  readonly askedMs: number
  readonly only: string | undefined
  readonly hasSeveral: boolean
}

function storedHistory (periods: readonly (readonly [version: string, fromMs: number, untilMs: number | null])[], sinceMs = 0): routing.versionHistory.HistoryRecord {
  return { sinceMs, services: { support: periods.map(([version, fromMs, untilMs]) => ({ version, fromMs: START_MS + fromMs, untilMs: untilMs === null ? null : START_MS + untilMs })) } }
}

const CASES: readonly Case[] = [
  { description: 'one version since the first start', isFirstStart: true, observed: [{ atMs: 0, versions: ['v1'] }], askedMs: 10, only: 'v1', hasSeveral: false },
  { description: 'a start without a record', observed: [{ atMs: 0, versions: ['v1'] }], askedMs: 10, only: undefined, hasSeveral: false },
  { description: 'a start without a record, long ago', observed: [{ atMs: 0, versions: ['v1'] }], askedMs: AGED_MS, only: 'v1', hasSeveral: false },
  { description: 'a second version that joins', isFirstStart: true, observed: [{ atMs: 0, versions: ['v1'] }, { atMs: 50, versions: ['v1', 'v2'] }], askedMs: 60, only: undefined, hasSeveral: true },
  { description: 'a version that left just now', isFirstStart: true, observed: [{ atMs: 0, versions: ['v1'] }, { atMs: 50, versions: ['v2'] }], askedMs: 60, only: undefined, hasSeveral: true },
  { description: 'a version that left long ago', isFirstStart: true, observed: [{ atMs: 0, versions: ['v1'] }, { atMs: 50, versions: ['v2'] }], askedMs: 50 + AGED_MS, only: 'v2', hasSeveral: false },
  { description: 'a stored version that serves on', stored: storedHistory([['v1', -9_000, null]]), observed: [{ atMs: 0, versions: ['v1'] }], askedMs: 10, only: 'v1', hasSeveral: false },
  { description: 'a version that joined while no daemon ran', stored: storedHistory([['v1', -9_000, null]]), observed: [{ atMs: 0, versions: ['v1', 'v2'] }], askedMs: 10, only: undefined, hasSeveral: true },
  { description: 'a version that left while no daemon ran', stored: storedHistory([['v1', -9_000, null], ['v2', -5_000, null]]), observed: [{ atMs: 0, versions: ['v2'] }], askedMs: 10, only: undefined, hasSeveral: true },
  { description: 'a stored version that left just before', stored: storedHistory([['v1', -9_000, -500], ['v2', -5_000, null]]), observed: [{ atMs: 0, versions: ['v2'] }], askedMs: 10, only: undefined, hasSeveral: true },
  { description: 'a stored history that begins just before', stored: storedHistory([['v1', -9_000, null]], START_MS - 9_000), observed: [{ atMs: 0, versions: ['v1'] }], askedMs: 10, only: undefined, hasSeveral: false },
  { description: 'no target at all', isFirstStart: true, observed: [], askedMs: 10, only: undefined, hasSeveral: false }
]

for (const { description, isFirstStart = false, stored, observed, askedMs, only, hasSeveral } of CASES) {
  for (const order of ['before', 'after']) {
    suite(`${description}: ${only ?? 'no version'} can have begun an unknown stream (restored ${order} the first listing)`, () => {
      let steadyMs = 0
      const history = routing.versionHistory.createVersionHistory(() => steadyMs)
      assert.is(history.onlyVersionOf('support', START_MS), undefined)
      if (order === 'before') history.restore(stored, isFirstStart, START_MS)
      for (const { atMs, versions } of observed) {
        steadyMs = atMs
        history.observe(new Map([['support', new Set(versions)]]), START_MS + atMs)
      }
      if (order === 'after') history.restore(stored, isFirstStart, START_MS)
      steadyMs = askedMs
      assert.equal([history.onlyVersionOf('support', START_MS + askedMs), history.hasSeveral(START_MS + askedMs)], [only, hasSeveral])
    })
  }
}

suite('a stored history keeps the versions that other daemons have recorded', () => {
  const history = routing.versionHistory.createVersionHistory(() => 0)
  history.observe(new Map([['support', new Set(['v2'])]]), START_MS)
  history.restore(undefined, true, START_MS)
  const merged = history.merge(storedHistory([['v1', -9_000, null], ['v0', -200_000, -100_000]], START_MS - 20_000), START_MS)
  assert.equal(merged.services.support?.map(({ version, untilMs }) => [version, untilMs]), [['v2', null], ['v1', null]])
  assert.is(merged.sinceMs, 0)
})

/** A jump of the time of day that exceeds the retention, ms. */
const JUMP_MS = 100_000

for (const [elapsedMs, only] of [[5_000, undefined], [AGED_MS, 'v2']] as const) {
  suite(`${only ?? 'no version'} can have begun an unknown stream ${elapsedMs} ms after another one left, although the time of day has jumped forward`, () => {
    let steadyMs = 0
    const history = routing.versionHistory.createVersionHistory(() => steadyMs)
    history.restore(undefined, true, START_MS)
    history.observe(new Map([['support', new Set(['v1', 'v2'])]]), START_MS)
    history.observe(new Map([['support', new Set(['v2'])]]), START_MS)
    steadyMs = elapsedMs
    assert.is(history.onlyVersionOf('support', START_MS + elapsedMs + JUMP_MS), only)
  })

  suite(`${only ?? 'no version'} can have begun an unknown stream ${elapsedMs} ms after another one was found to have left while no daemon ran, although the time of day has jumped forward`, () => {
    let steadyMs = 0
    const history = routing.versionHistory.createVersionHistory(() => steadyMs)
    history.observe(new Map([['support', new Set(['v2'])]]), START_MS)
    history.restore(storedHistory([['v1', -9_000, null]]), false, START_MS)
    steadyMs = elapsedMs
    assert.is(history.onlyVersionOf('support', START_MS + elapsedMs + JUMP_MS), only)
  })

  suite(`${only ?? 'no version'} can have begun an unknown stream ${elapsedMs} ms after a start without a record, although the time of day has jumped forward`, () => {
    let steadyMs = 0
    const history = routing.versionHistory.createVersionHistory(() => steadyMs)
    history.restore(undefined, false, START_MS)
    history.observe(new Map([['support', new Set(['v2'])]]), START_MS)
    steadyMs = elapsedMs
    assert.is(history.onlyVersionOf('support', START_MS + elapsedMs + JUMP_MS), only)
  })
}

const MALFORMED: readonly unknown[] = [undefined, null, 'v1', 7, [], {}, { sinceMs: '0', services: {} }, { sinceMs: 0 }, { sinceMs: 0, services: { support: 'v1' } }, { sinceMs: 0, services: { support: [{ version: 1, fromMs: 0, untilMs: null }] } }, { sinceMs: 0, services: { support: [null] } }]

for (const value of MALFORMED) {
  suite(`the record ${JSON.stringify(value)} is no history`, () => { assert.is(routing.versionHistory.parseHistory(value), undefined) })
}

suite.run()
