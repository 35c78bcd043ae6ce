/**
 * What a daemon stores and loads, with a scripted store.
 */
import * as gateway from '@persimmonhatch/gateway'
import * as routing from '@persimmonhatch/routing'
import * as fastCheck from 'fast-check'
import * as neverthrow from 'neverthrow'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('lasting state')

const UNIX_START_MS = 1_796_000_000_000
const ORGANISATION = { name: 'maarif', keys: [], priority: undefined, cap: { tokensPerS: 1_000, burst: 100_000 }, plainTokens: 0 }
const UNAVAILABLE = new Error('The store does not answer; wait until it is back.')

interface Daemon {
  readonly lasting: gateway.lastingState.LastingState
  readonly history: routing.versionHistory.VersionHistory
  readonly streams: routing.streamVersions.StreamVersions
  readonly caps: routing.tokenCap.TokenCaps
  readonly advance: (durationMs: number) => void
  readonly logged: readonly string[]
}

function createDaemon (records: gateway.recordStore.RecordStore, incarnation = 'a', startMs = 0): Daemon {
  let nowMs = startMs
  const logged: string[] = []
  const history = routing.versionHistory.createVersionHistory(() => nowMs)
  const streams = routing.streamVersions.createStreamVersions((beginning) => { lasting.note(beginning) })
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0 })
  caps.adopt([ORGANISATION], nowMs)
  const lasting: gateway.lastingState.LastingState = gateway.lastingState.createLastingState({
    records,
    incarnation,
    isFirstStart: startMs === 0,
    now: () => nowMs,
    unixNow: () => UNIX_START_MS + nowMs,
    history,
    streams,
    caps,
    writesForFleet: () => true,
    writesForCell: () => true,
    log: { change: (message) => { logged.push(message) } },
    metrics: gateway.metrics.createMetrics()
  })
  const advance = (durationMs: number): void => {
    for (const endMs = nowMs + durationMs; nowMs < endMs;) {
      nowMs += 100
      lasting.tick()
    }
  }
  return { lasting, history, streams, caps, advance, logged }
}

/** Returns a store in memory and the names under which it was written. */
function createRecords (stored = new Map<string, string>()): gateway.recordStore.RecordStore & { readonly writes: readonly string[] } {
  const writes: string[] = []
  const put = (name: string, value: string, done: gateway.recordStore.Done<void>): void => {
    writes.push(name)
    stored.set(name, value)
    done(neverthrow.ok(undefined))
  }
  return {
    writes,
    load: (done) => { done(neverthrow.ok(new Map(stored))) },
    replace: (name, next, done) => { put(name, next(stored.get(name)), done) },
    keep: put
  }
}

function observe ({ history }: Daemon, versions: readonly string[]): void {
  history.observe(new Map([['support', new Set(versions)]]), UNIX_START_MS)
}

suite('a calm fleet writes its versions once, and the levels of its caps once they are full', () => {
  const records = createRecords()
  const daemon = createDaemon(records)
  // The organisation is new in the document, as a lowered cap would not bind at once, and its bucket is filled.
  daemon.caps.adopt([], 0)
  daemon.caps.adopt([{ ...ORGANISATION, cap: { tokensPerS: 1_000, burst: 1_000 } }], 0)
  daemon.caps.refund(ORGANISATION.name, 1_000, 0)
  observe(daemon, ['v1'])
  for (let index = 0; index < 50; index += 1) {
    daemon.streams.record({ requestId: `r-${index}`, service: 'support', version: 'v1' }, 0)
    daemon.advance(400)
  }
  assert.equal(records.writes, ['versions', 'levels/a'])
})

suite('a fleet that starts for the first time stores its versions before streams can have begun', () => {
  const records = createRecords()
  const daemon = createDaemon(records)
  daemon.advance(200)
  assert.ok(records.writes.includes('versions'), String(records.writes))
})

suite('streams that began before a second version are stored once it serves', () => {
  const records = createRecords()
  const daemon = createDaemon(records)
  observe(daemon, ['v1'])
  daemon.advance(2_000)
  daemon.streams.record({ requestId: 'r-1', service: 'support', version: 'v1' }, 0)
  daemon.advance(1_000)
  observe(daemon, ['v1', 'v2'])
  daemon.streams.record({ requestId: 'r-2', service: 'support', version: 'v2' }, 0)
  daemon.advance(3_000)
  const restarted = createDaemon(records, 'b', 8_000)
  restarted.advance(200)
  assert.equal(['r-1', 'r-2', 'r-3'].map((requestId) => restarted.streams.find(requestId, 8_200)?.version), ['v1', 'v2', undefined])
})

suite('many streams are stored in records of bounded size', () => {
  const stored = new Map<string, string>()
  const daemon = createDaemon(createRecords(stored))
  observe(daemon, ['v1', 'v2'])
  for (let index = 0; index < 1_000; index += 1) daemon.streams.record({ requestId: `request-${index}`, service: 'support', version: 'v1' }, 0)
  daemon.advance(4_000)
  const sizes = [...stored].filter(([name]) => name.startsWith('streams/')).map(([, value]) => value.length)
  assert.ok(sizes.length >= 5 && Math.max(...sizes) < 8_000, String(sizes))
  assert.is([...stored.values()].join('').match(/"request-/g)?.length, 1_000)
})

suite('a restarted fleet goes on from what was left of a cap', () => {
  const records = createRecords()
  const daemon = createDaemon(records)
  daemon.caps.admit('maarif', 45_000, 0)
  daemon.advance(4_000)
  const restarted = createDaemon(records, 'b', 6_000)
  restarted.advance(200)
  assert.is(restarted.caps.admit('maarif', 20_000, 6_200).kind, 'over-cap')
  assert.is(restarted.caps.admit('maarif', 5_000, 6_200).kind, 'admitted')
})

suite('a store that is away is tried again, and a resumed stream waits for it for less than a second', () => {
  let loads = 0
  const records = createRecords()
  const daemon = createDaemon({
    ...records,
    load: (done) => {
      loads += 1
      done(loads < 8 ? neverthrow.err(UNAVAILABLE) : neverthrow.ok(new Map()))
    }
  })
  let waitedMs: number | undefined
  let elapsedMs = 0
  daemon.lasting.afterLoading(() => { waitedMs = elapsedMs })
  for (; elapsedMs < 5_000; elapsedMs += 100) daemon.advance(100)
  assert.ok(waitedMs !== undefined && waitedMs < 1_000, String(waitedMs))
  assert.ok(daemon.history.isRestored())
  assert.is(daemon.logged.filter((message) => message === 'lasting state not loaded').length, 7)
})

suite('a store that never answers holds no resumed stream', () => {
  const daemon = createDaemon({ ...createRecords(), load: () => {} })
  let released = 0
  daemon.lasting.afterLoading(() => { released += 1 })
  daemon.lasting.reload(() => { released += 1 })
  daemon.advance(1_000)
  assert.is(released, 2)
})

suite('records of any content are read without failing', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(fastCheck.constantFrom('versions', 'streams/x/0', 'levels/x', 'other'), fastCheck.oneof(fastCheck.string(), fastCheck.json()))), (entries) => {
    const daemon = createDaemon(createRecords(new Map(entries)), 'b', 8_000)
    daemon.advance(200)
    assert.ok(daemon.history.isRestored())
  }), { seed: 29 })
})

const MALFORMED = ['', 'x', 'null', '7', '[]', '{}', '{"storedMs":"1"}', '{"storedMs":1,"streams":{"support":["r-1"]}}', '{"storedMs":1,"streams":{"support":{"v1":[7]}}}', '{"storedMs":1,"levels":{"maarif":"7"}}', '{"storedMs":1,"levels":null}']

for (const text of MALFORMED) {
  suite(`the record ${JSON.stringify(text)} is not used`, () => { assert.is(gateway.lastingRecords.parseCellRecord(text), undefined) })
}

suite.run()
