/**
 * Which versions the requests of one daemon may go to.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rollout from '@persimmonhatch/rollout'

const suite = uvu.suite('versions of a service')

const OLD = ['i-1', 'i-2', 'i-3'].map((id) => ({ id, version: 'v1', startedMs: 1 }))
const NEW = ['i-4', 'i-5', 'i-6'].map((id) => ({ id, version: 'v2', startedMs: 2 }))

function createVersions (): rollout.versions.Versions {
  return new rollout.versions.Versions({ bounds: () => ({ exposureShare: 0.1 }), random: () => 0.5 })
}

function grantOf (fields: Partial<rollout.grants.Grant>): rollout.grants.Grant {
  return { order: 7, to: 'v2', sequence: 1, stage: 'trial', isHeld: false, remainingMs: 3_000, ...fields }
}

/** Returns how many of some requests go to the new version. */
function countNew (versions: rollout.versions.Versions, requests: number, nowMs: number): number {
  let count = 0
  for (let request = 0; request < requests; request += 1) {
    versions.arrived(nowMs)
    if (!versions.isPreferred('v2', nowMs)) continue
    versions.sent('v2', nowMs)
    count += 1
  }
  return count
}

suite('a version without an order gets the share of a trial beside a whole old one', () => {
  const versions = createVersions()
  versions.observe(OLD, 0)
  versions.observe([...OLD, ...NEW], 100)
  assert.is(countNew(versions, 1_000, 200), 30)
  assert.is(versions.isWithheld('v1', false, 200), false)
})

/** Guards against a replacement of targets in which the successors stay unused while capacity is short. */
suite('a version that replaces targets one after the other is served in full, whichever comes first', () => {
  const startsFirst = createVersions()
  startsFirst.observe([...OLD, ...NEW.slice(0, 1)], 0)
  assert.is(startsFirst.isWithheld('v2', false, 0), true)
  startsFirst.observe([...OLD.slice(1), ...NEW.slice(0, 1)], 1_000)
  assert.is(startsFirst.isWithheld('v2', false, 1_000), false)
  const leavesFirst = createVersions()
  leavesFirst.observe(OLD, 0)
  leavesFirst.observe(OLD.slice(1), 1_000)
  leavesFirst.observe([...OLD.slice(1), ...NEW.slice(0, 1)], 4_000)
  leavesFirst.observe([...OLD.slice(1), ...NEW.slice(0, 1)], 60_000)
  assert.is(leavesFirst.isWithheld('v2', false, 60_000), false)
})

suite('an order takes the version from replacement to nothing until a grant arrives', () => {
  const versions = createVersions()
  versions.observe(OLD, 0)
  versions.observe([...OLD.slice(1), ...NEW], 100)
  versions.expect(7, 'v2')
  assert.is(countNew(versions, 1_000, 200), 0)
  versions.applyGrant(grantOf({}), 300)
  assert.is(countNew(versions, 1_000, 400), 30)
})

suite('a permission expires, and grants that waited while the process was suspended give none', () => {
  const versions = createVersions()
  versions.observe([...OLD, ...NEW], 0)
  versions.applyGrant(grantOf({}), 0)
  assert.is(countNew(versions, 100, 500), 3)
  assert.is(countNew(versions, 100, 3_001), 0)
  versions.applyGrant(grantOf({ sequence: 2 }), 3_100)
  assert.is(countNew(versions, 100, 3_150), 0)
  versions.applyGrant(grantOf({ sequence: 3 }), 4_000)
  assert.is(countNew(versions, 100, 4_050), 3)
})

/** Guards against an exposure that grows while an order is replaced by another. */
suite('a later order ends the permission of the one before', () => {
  const versions = createVersions()
  const third = { id: 'i-9', version: 'v3', startedMs: 3 }
  versions.observe([...OLD, ...NEW, third], 0)
  versions.applyGrant(grantOf({ stage: 'full' }), 0)
  assert.is(versions.isWithheld('v1', false, 100), true)
  versions.expect(8, 'v3')
  assert.is(versions.isWithheld('v3', false, 100), true)
  assert.is(versions.isWithheld('v2', false, 100), true)
  assert.is(versions.isWithheld('v1', false, 100), false)
})

suite('after a completed order the old targets get nothing, and the next version is new again', () => {
  const versions = createVersions()
  versions.observe([...OLD, ...NEW], 0)
  versions.applyGrant(grantOf({ stage: 'full' }), 0)
  assert.is(versions.hasMoved(100), true)
  assert.is(versions.isWithheld('v1', true, 100), false)
  versions.applyGrant(grantOf({ stage: 'completed', sequence: 2 }), 100)
  assert.is(versions.isWithheld('v1', false, 200), true)
  versions.observe(NEW, 300)
  versions.observe([...NEW, { id: 'i-9', version: 'v3', startedMs: 3 }], 40_000)
  assert.is(versions.isWithheld('v2', false, 40_000), false)
})

suite('after a roll-back the version gets nothing, streams included, as long as another serves', () => {
  const versions = createVersions()
  versions.observe([...OLD, ...NEW], 0)
  versions.applyGrant(grantOf({ stage: 'rolled_back' }), 0)
  assert.is(versions.isWithheld('v2', true, 60_000), true)
  versions.observe(NEW, 61_000)
  assert.is(versions.isWithheld('v2', false, 61_000), false)
})

suite.run()
