import * as fc from 'fast-check'
import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as memberTable from '../src/member-table.js'
import * as newsStore from '../src/news-store.js'
import * as settings from '../src/settings.js'
import * as network from './network.js'

const SEED = 11
const store = uvu.suite('news')

const target = fc.record({
  kind: fc.constant('target' as const),
  target: fc.constantFrom('engine-1', 'engine-2'),
  version: fc.integer({ min: 1, max: 6 })
}).map((news) => ({ ...news, state: news.version % 2 === 1 ? 'leaving' as const : 'serving' as const }))

const member = fc.record({
  beat: fc.integer({ min: 0, max: 5 }),
  state: fc.constantFrom('alive' as const, 'leaving' as const, 'gone' as const)
}).map((changes): protocol.MemberUpdate => ({ ...network.describe(1, 1, 1), ...changes }))

store('is the same whatever the order in which news comes', () => {
  fc.assert(fc.property(fc.array(target, { maxLength: 12 }).chain((items) => fc.tuple(fc.constant(items), fc.shuffledSubarray(items, { minLength: items.length }))), ([items, shuffled]) => {
    const [one, other] = [items, shuffled].map((order) => {
      const created = newsStore.createNewsStore()
      for (const item of order) created.accept(item, 0)
      return [...created.list(0)].map((news) => JSON.stringify(news)).sort()
    })
    assert.equal(one, other)
  }), { seed: SEED, numRuns: 500 })
})

store('holds the same of a member whatever the order in which news comes', () => {
  fc.assert(fc.property(fc.array(member, { minLength: 1, maxLength: 12 }).chain((items) => fc.tuple(fc.constant(items), fc.shuffledSubarray(items, { minLength: items.length }))), ([items, shuffled]) => {
    const [one, other] = [items, shuffled].map((order) => {
      const table = memberTable.createMemberTable()
      for (const item of order) table.accept(item, 0)
      return table.find(network.describe(1, 1, 1).incarnation)?.news
    })
    assert.equal(one, other)
  }), { seed: SEED, numRuns: 500 })
})

store('does not learn an expired suspect again', () => {
  const created = newsStore.createNewsStore()
  const suspect = { kind: 'suspect' as const, fingerprint: 'f1', version: 2, state: 'refused' as const, crashes: 3, remainingMs: 1_000 }
  assert.ok(created.accept(suspect, 0))
  created.purge(1_000)
  assert.not.ok(created.accept({ ...suspect, remainingMs: 20 }, 1_000))
  assert.ok(created.accept({ ...suspect, version: 3 }, 1_000))
})

store('bounds what it keeps, newest first', () => {
  const created = newsStore.createNewsStore()
  for (let index = 0; index < settings.MAX_NEWS_PER_KIND + 10; index++) {
    created.accept({ kind: 'revision', service: `service-${index}`, revision: 1 }, 0)
  }
  created.purge(0)
  assert.is(created.list(0).length, settings.MAX_NEWS_PER_KIND)
  assert.is(created.find('revision:service-0', 0), undefined)
})

store('forgets a gone member after its retention', () => {
  const table = memberTable.createMemberTable()
  table.accept({ ...network.describe(1, 1, 1), state: 'gone' }, 0)
  table.purge(settings.GONE_RETENTION_MS - 1)
  assert.is(table.gone().length, 1)
  table.purge(settings.GONE_RETENTION_MS)
  assert.is(table.gone().length, 0)
})

store.run()
