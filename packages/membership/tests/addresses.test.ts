import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as addresses from '../src/addresses.js'
import * as network from './network.js'

const answerAddresses = uvu.suite('answerAddresses')

function listMembers (loads: readonly number[]): readonly ReturnType<typeof network.describe>[] {
  return loads.map((load, index) => ({ ...network.describe(index, 1, 3), beat: 120, load }))
}

function answer (loads: readonly number[], seed: number): addresses.Answer {
  return addresses.answerAddresses({ members: listMembers(loads), availabilityZone: 'region-0-1', region: 'region-0', random: network.createRandom(seed) })
}

answerAddresses('puts the own availability zone first', () => {
  const zones = answer([0, 0.5, 0, 0, 0.5, 0, 0, 0.5, 0], 1).addresses.map((choice) => choice.availabilityZone)
  assert.equal(zones.slice(0, 3), ['region-0-1', 'region-0-1', 'region-0-1'])
  assert.is(zones.length, 8)
})

answerAddresses('puts an overloaded own availability zone behind the others', () => {
  assert.is.not(answer([0, 0.95, 0, 0, 0.95, 0], 1).addresses[0]?.availabilityZone, 'region-0-1')
})

answerAddresses('never names a leaving or gone daemon', () => {
  const members = listMembers([0, 0, 0, 0]).map((member, index) => ({ ...member, state: (['leaving', 'gone', 'alive', 'alive'] as const)[index] ?? 'alive' }))
  const answered = addresses.answerAddresses({ members, availabilityZone: undefined, region: 'region-0', random: network.createRandom(1) })
  assert.equal(answered.addresses.map((choice) => choice.address).sort(), members.slice(2).map((member) => member.address).sort())
})

answerAddresses('spreads a burst of callers by spare capacity', () => {
  const random = network.createRandom(7)
  const members = listMembers([0, 0.1, 0, 0, 0.4, 0, 0, 0.8, 0])
  const firsts = new Map<string, number>()
  for (let call = 0; call < 3_000; call++) {
    const first = addresses.answerAddresses({ members, availabilityZone: 'region-0-1', region: 'region-0', random }).addresses[0]
    firsts.set(first?.address ?? '', (firsts.get(first?.address ?? '') ?? 0) + 1)
  }
  const [light = 0, middle = 0, heavy = 0] = [1, 4, 7].map((index) => firsts.get(members[index]?.address ?? ''))
  assert.ok(light > middle && middle > heavy && heavy > 150, `${light}, ${middle}, ${heavy}`)
  assert.ok(light < 2_000, `${light}`)
})

answerAddresses('gives identities that name their owner and are all different', () => {
  const choices = answer([0, 0, 0, 0, 0, 0], 3).addresses
  const identities = choices.flatMap((choice) => choice.identities)
  assert.is(new Set(identities).size, identities.length)
  for (const identity of identities) assert.match(identity, /^[a-z0-9]{13}\.120\.[A-Za-z0-9_-]{16}$/)
})

answerAddresses('hands out no nonce that owners keep for themselves', () => {
  const nonces = Array.from({ length: 200 }, (_, seed) => answer([0], seed)).flatMap((one) => one.addresses.flatMap((choice) => choice.identities))
  assert.equal(nonces.filter((identity) => identity.split('.')[2]?.startsWith(protocol.INTERNAL_NONCE_PREFIX)), [])
})

answerAddresses.run()
