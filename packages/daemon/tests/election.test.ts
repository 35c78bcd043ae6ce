import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as election from '../src/tasks/election.js'

function member (incarnation: string, heartbeat: number, state: protocol.MemberUpdate['state'] = 'alive'): protocol.MemberUpdate {
  return { kind: 'member', incarnation, address: '', peerAddress: '', availabilityZone: 'z', region: 'r', beat: heartbeat, state, load: 0 }
}

function elected (members: readonly protocol.MemberUpdate[]): string {
  return election.electableMembers(members).map((candidate) => candidate.incarnation).join('')
}

const suite = uvu.suite('electableMembers')

suite('excludes a daemon that joins a running fleet until it is established', () => {
  assert.is(elected([member('a', 100), member('b', 90), member('c', election.ESTABLISHED_HEARTBEATS - 1)]), 'ab')
  assert.is(elected([member('a', 100), member('b', 90), member('c', election.ESTABLISHED_HEARTBEATS)]), 'abc')
})

suite('includes all daemons of a fleet that starts at the same time', () => {
  assert.is(elected([member('a', 0), member('b', 1), member('c', 0)]), 'abc')
  assert.is(elected([member('a', 6), member('b', 4), member('c', 3)]), 'abc')
})

suite('includes a joining daemon when all others are leaving', () => {
  assert.is(elected([member('a', 100, 'leaving'), member('b', 1)]), 'b')
})

suite('includes leaving daemons when there are no others', () => {
  assert.equal(election.electableMembers([member('a', 100, 'leaving')]).map((candidate) => candidate.state), ['alive'])
})

suite.run()
