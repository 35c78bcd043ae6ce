import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as burnCounter from '../src/burn-counter.js'
import * as burnRate from '../src/burn-rate.js'
import * as burnRecord from '../src/burn-record.js'
import * as classifyRequest from '../src/classify-request.js'
import * as parseServiceDocument from '../src/parse-service-document.js'
import * as fixtures from './fixtures.js'

const burn = uvu.suite('burn')

const MINUTE_MS = 60_000
const WINDOWS = { shortMinutes: 5, longMinutes: 60 }

const tiers = [{ name: 'urgent', rank: 0, objectives: { firstTokenMs: 1_000, completionMs: 10_000, percent: 90, refusedPercent: 1 } }]
const document = parseServiceDocument.parseServiceDocument(fixtures.listings({ tiers, requests: [] }))._unsafeUnwrap()
const [tier] = document.tiers
if (tier === undefined) throw new Error('the fixture has a tier')

const COMPLETE_REQUEST: classifyRequest.EndedRequest = { service: 'listings', organisation: 'fes', outcome: 'complete', waitedMs: 0, firstTokenMs: 500, betweenTokensMs: 50, completionMs: 5_000 }

const CLASSIFIED_REQUESTS: ReadonlyArray<readonly [name: string, ended: Partial<classifyRequest.EndedRequest>, counts: readonly burnRecord.CountName[]]> = [
  ['a request within its objectives', {}, ['total']],
  ['a response without tokens', { firstTokenMs: undefined, betweenTokensMs: undefined }, ['total']],
  ['a long wait', { waitedMs: 800, firstTokenMs: 1_300, completionMs: 5_800 }, ['total', 'firstToken', 'causeWaited']],
  ['a slow target', { waitedMs: 100, firstTokenMs: 1_500, completionMs: 12_000 }, ['total', 'firstToken', 'completion', 'causeStraggler']],
  ['an interrupted response', { outcome: 'cut' }, ['total', 'completion', 'causeCut']],
  ['a shed request', { outcome: 'shed', completionMs: 20_000 }, ['total', 'refused', 'causeShed']],
  ['a refused request', { outcome: 'refused' }, ['total', 'refused', 'causeRefused']]
]

for (const [name, ended, counts] of CLASSIFIED_REQUESTS) {
  burn(`counts ${name}`, () => {
    assert.equal(classifyRequest.classifyRequest(tier, { ...COMPLETE_REQUEST, ...ended }).counts, counts)
  })
}

function countRequests (counter: burnCounter.BurnCounter, minute: number, requests: readonly Partial<classifyRequest.EndedRequest>[]): void {
  for (const ended of requests) counter.count(classifyRequest.classifyRequest(tier as NonNullable<typeof tier>, { ...COMPLETE_REQUEST, ...ended }), minute * MINUTE_MS)
}

function createCounter (incarnation: string): burnCounter.BurnCounter {
  return burnCounter.createBurnCounter({ availabilityZone: 'zone-a', incarnation })
}

burn('keeps the current and the previous window, and reads back what it writes', () => {
  const counter = createCounter('inc-1')
  for (const minute of [5, 19, 20, 21]) countRequests(counter, minute, [{}, { outcome: 'shed' }])
  const records = counter.records(21 * MINUTE_MS)
  assert.equal(records.map((record) => record.window), [10, 20])
  assert.equal(records.map((record) => record.series[0]?.buckets.map((bucket) => bucket.minute)), [[19], [20, 21]])
  for (const record of records) {
    const key = burnRecord.recordKey(record)
    assert.equal(burnRecord.readRecord(key, burnRecord.writeRecord(record))._unsafeUnwrap(), record)
  }
})

burn('rejects a record of another format or under another key', () => {
  assert.match(burnRecord.readRecord('/persimmonhatch/burn/0/a/b', '{"format":2}')._unsafeUnwrapErr().message, /format is 2/)
  const record = { format: 1, window: 10, availabilityZone: 'a', incarnation: 'b', series: [] } as const
  assert.match(burnRecord.readRecord('/persimmonhatch/burn/0/a/b', burnRecord.writeRecord(record))._unsafeUnwrapErr().message, /does not belong/)
})

burn('returns the windows that cover a range of minutes', () => {
  assert.equal(burnRecord.windowsBetween(18, 25), [10, 20])
  assert.equal(burnRecord.windowsBetween(20, 20), [20])
})

// 100 requests an hour ago and 10 now, from two daemons; budgets of 10 % and 1 %.
function createSums (): readonly burnRate.Sum[] {
  const [firstCounter, secondCounter] = [createCounter('inc-1'), createCounter('inc-2')]
  countRequests(firstCounter, 100, [...Array.from({ length: 99 }, () => ({})), { outcome: 'shed' as const }])
  const earlyRecords = firstCounter.records(100 * MINUTE_MS)
  countRequests(firstCounter, 155, [...Array.from({ length: 4 }, () => ({})), { outcome: 'shed' as const }])
  countRequests(secondCounter, 159, [...Array.from({ length: 4 }, () => ({ organisation: 'rabat' })), { organisation: 'rabat', outcome: 'cut' as const }])
  return burnRate.sumRecords([...earlyRecords, ...secondCounter.records(159 * MINUTE_MS), ...firstCounter.records(159 * MINUTE_MS)], 159, WINDOWS)
}

burn('sums the records of all daemons by organisation and over all organisations', () => {
  const sums = createSums()
  assert.equal(sums.map((sum) => sum.organisation), [undefined, 'fes', 'rabat'])
  assert.equal(sums.map((sum) => sum.short.total), [10, 5, 5])
  assert.equal(sums.map((sum) => sum.long.total), [110, 105, 5])
})

burn('divides the share of missed requests by the budget', () => {
  const rows = [...burnRate.burnRows([document], createSums(), WINDOWS)].filter((row) => row.organisation === undefined)
  assert.equal(rows.map((row) => row.objective), ['firstToken', 'completion', 'refused'])
  const [, completion, refused] = rows
  assert.equal(completion?.short, { eligible: 9, missed: 1, rate: (1 / 9) / 0.1 })
  assert.equal(refused?.short, { eligible: 10, missed: 1, rate: 10 })
  assert.equal(refused?.long, { eligible: 110, missed: 2, rate: (2 / 110) / 0.01 })
  assert.is(refused?.isBurning, false)
})

burn('marks a budget as burning only if both windows are over the limit', () => {
  const withinBudget = { ...burnRecord.ZERO_COUNTS, total: 100 }
  const overBudget = { ...burnRecord.ZERO_COUNTS, total: 100, refused: 30 }
  const isBurning = (short: burnRecord.Counts, long: burnRecord.Counts): boolean | undefined => {
    const sum = { service: 'listings', tier: 'urgent', organisation: undefined, short, long }
    return [...burnRate.burnRows([document], [sum], WINDOWS)].find((row) => row.objective === 'refused')?.isBurning
  }
  assert.is(isBurning(overBudget, overBudget), true)
  assert.is(isBurning(withinBudget, overBudget), false)
  assert.is(isBurning(overBudget, withinBudget), false)
  assert.is(isBurning(burnRecord.ZERO_COUNTS, overBudget), false)
})

burn('uses the limits of the published method', () => {
  assert.is(Number(burnRate.rateLimit(60).toFixed(6)), 14.4)
  assert.is(Number(burnRate.rateLimit(360).toFixed(6)), 6)
})

burn.run()
