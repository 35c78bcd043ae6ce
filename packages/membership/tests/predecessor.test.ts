/**
 * A daemon that has started again at its address, while its predecessor is still registered or reported as alive.
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as event from '../src/event.js'
import * as membership from '../src/membership.js'

const suite = uvu.suite('predecessor')

const LOCAL: protocol.MemberUpdate = {
  kind: 'member', incarnation: 'entry00000002', address: '10.0.0.2:7400', peerAddress: '10.0.0.2:7500', availabilityZone: 'a', region: 'r', beat: 0, state: 'alive', load: 0
}
const PREDECESSOR: protocol.MemberUpdate = { ...LOCAL, incarnation: 'entry00000001', beat: 40 }
const OTHER: protocol.MemberUpdate = { ...LOCAL, incarnation: 'entry00000003', address: '10.0.0.3:7400', peerAddress: '10.0.0.3:7500' }

const INPUTS: readonly (readonly [description: string, input: event.Event])[] = [
  ['registered in the store', { kind: 'members-discovered', members: [PREDECESSOR, OTHER] }],
  ['reported by another daemon', { kind: 'update', update: PREDECESSOR }]
]

for (const [description, input] of INPUTS) {
  suite(`a predecessor at the same address that is ${description} is gone, so that its callers are not redirected to this daemon`, () => {
    const core = membership.createMembership({ localMember: LOCAL, random: () => 0.5 })
    for (const _output of core.handle(input, 1_000)) assert.ok(_output)
    assert.equal([core.findMember(PREDECESSOR.incarnation)?.state, core.findMember(LOCAL.incarnation)?.state], ['gone', 'alive'])
    if (input.kind === 'members-discovered') assert.is(core.findMember(OTHER.incarnation)?.state, 'alive')
  })
}

suite.run()
