/**
 * The cached assignment must be recomputed whenever anything that it depends on changes.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'
import * as assignment from '../src/tasks/assignment.js'

const test = uvu.suite('assignment')

function member (name: string, change: Partial<protocol.MemberUpdate> = {}): protocol.MemberUpdate {
  return { kind: 'member', incarnation: name.padEnd(13, '0'), address: '10.0.0.1:1', peerAddress: '10.0.0.1:2', availabilityZone: 'a', region: 'south', beat: 1, state: 'alive', load: 0, ...change }
}

const POOLS = ['p', 'q', 'r', 's'].map((pool) => ({ pool, region: 'south' }))

test('equals a newly computed assignment after every kind of change', () => {
  const assign = assignment.createCachedAssign()
  const views = [
    { members: [member('a'), member('b')], pools: POOLS },
    { members: [member('b'), member('a')], pools: POOLS },
    { members: [member('a'), member('b'), member('c')], pools: POOLS },
    { members: [member('a'), member('b', { region: 'north' }), member('c')], pools: POOLS },
    { members: [member('a', { state: 'leaving' }), member('b'), member('c')], pools: POOLS },
    { members: [member('a'), member('b')], pools: POOLS.slice(1) },
    { members: [member('a'), member('b')], pools: POOLS.map((pool) => ({ ...pool, region: 'north' })) }
  ]
  for (const { members, pools } of views) {
    assert.equal(assign(members, pools), membership.rendezvous.assignAuthorities(members, pools))
  }
})

test('is reused when only heartbeats and loads changed', () => {
  const assign = assignment.createCachedAssign()
  const first = assign([member('a'), member('b')], POOLS)
  assert.is(assign([member('b', { beat: 9, load: 0.5 }), member('a', { beat: 9 })], POOLS), first)
})

test.run()
