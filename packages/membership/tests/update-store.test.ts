import * as fc from 'fast-check'
import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as memberTable from '../src/member-table.js'
import * as updateStore from '../src/update-store.js'
import * as settings from '../src/settings.js'
import * as network from './network.js'

const SEED = 11
const updateTests = uvu.suite('updates')

const target = fc.record({
  kind: fc.constant('target' as const),
  target: fc.constantFrom('engine-1', 'engine-2'),
  version: fc.integer({ min: 1, max: 6 })
}).map((update) => ({ ...update, state: update.version % 2 === 1 ? 'leaving' as const : 'serving' as const }))

const member = fc.record({
  beat: fc.integer({ min: 0, max: 5 }),
  state: fc.constantFrom('alive' as const, 'leaving' as const, 'gone' as const)
}).map((changes): protocol.MemberUpdate => ({ ...network.describe(1, 1, 1), ...changes }))

updateTests('are stored equally whatever their order', () => {
  fc.assert(fc.property(fc.array(target, { maxLength: 12 }).chain((updates) => fc.tuple(fc.constant(updates), fc.shuffledSubarray(updates, { minLength: updates.length }))), ([updates, shuffled]) => {
    const [inOrder, reordered] = [updates, shuffled].map((order) => {
      const store = updateStore.createUpdateStore()
      for (const update of order) store.accept(update, 0)
      return [...store.list(0)].map((update) => JSON.stringify(update)).sort()
    })
    assert.equal(inOrder, reordered)
  }), { seed: SEED, numRuns: 500 })
})

updateTests('lead to the same state of a member whatever their order', () => {
  fc.assert(fc.property(fc.array(member, { minLength: 1, maxLength: 12 }).chain((updates) => fc.tuple(fc.constant(updates), fc.shuffledSubarray(updates, { minLength: updates.length }))), ([updates, shuffled]) => {
    const [inOrder, reordered] = [updates, shuffled].map((order) => {
      const table = memberTable.createMemberTable()
      for (const update of order) table.accept(update, 0)
      return table.find(network.describe(1, 1, 1).incarnation)?.member
    })
    assert.equal(inOrder, reordered)
  }), { seed: SEED, numRuns: 500 })
})

updateTests('about an expired suspect are rejected when received again', () => {
  const store = updateStore.createUpdateStore()
  const suspect = { kind: 'suspect' as const, fingerprint: 'f1', version: 2, state: 'refused' as const, crashes: 3, remainingMs: 1_000 }
  assert.ok(store.accept(suspect, 0))
  store.purge(1_000)
  assert.not.ok(store.accept({ ...suspect, remainingMs: 20 }, 1_000))
  assert.ok(store.accept({ ...suspect, version: 3 }, 1_000))
})

updateTests('are retained up to a limit, the newest ones', () => {
  const store = updateStore.createUpdateStore()
  for (let index = 0; index < settings.MAX_UPDATES_PER_KIND + 10; index++) {
    store.accept({ kind: 'revision', service: `service-${index}`, revision: 1 }, 0)
  }
  store.purge(0)
  assert.is(store.list(0).length, settings.MAX_UPDATES_PER_KIND)
  assert.is(store.find('revision:service-0', 0), undefined)
})

updateTests('about a dead member are removed after its retention time', () => {
  const table = memberTable.createMemberTable()
  table.accept({ ...network.describe(1, 1, 1), state: 'gone' }, 0)
  table.purge(settings.DEAD_RETENTION_MS - 1)
  assert.is(table.dead().length, 1)
  table.purge(settings.DEAD_RETENTION_MS)
  assert.is(table.dead().length, 0)
})

updateTests.run()
