import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as addresses from '../src/addresses.js'
import * as network from './network.js'

const selectAddresses = uvu.suite('selectAddresses')

function listMembers (loads: readonly number[]): readonly ReturnType<typeof network.describe>[] {
  return loads.map((load, index) => ({ ...network.describe(index, 1, 3), beat: 120, load }))
}

function select (loads: readonly number[], seed: number): addresses.AddressSelection {
  return addresses.selectAddresses({ members: listMembers(loads), availabilityZone: 'region-0-1', region: 'region-0', random: network.seededRandom(seed) })
}

selectAddresses("lists the caller's availability zone first", () => {
  const zones = select([0, 0.5, 0, 0, 0.5, 0, 0, 0.5, 0], 1).addresses.map((choice) => choice.availabilityZone)
  assert.equal(zones.slice(0, 3), ['region-0-1', 'region-0-1', 'region-0-1'])
  assert.is(zones.length, 8)
})

selectAddresses("lists an overloaded availability zone after the others, even the caller's own", () => {
  assert.is.not(select([0, 0.95, 0, 0, 0.95, 0], 1).addresses[0]?.availabilityZone, 'region-0-1')
})

selectAddresses('excludes leaving and dead daemons', () => {
  const members = listMembers([0, 0, 0, 0]).map((member, index) => ({ ...member, state: (['leaving', 'gone', 'alive', 'alive'] as const)[index] ?? 'alive' }))
  const selection = addresses.selectAddresses({ members, availabilityZone: undefined, region: 'region-0', random: network.seededRandom(1) })
  assert.equal(selection.addresses.map((choice) => choice.address).sort(), members.slice(2).map((member) => member.address).sort())
})

selectAddresses('distributes a burst of callers by spare capacity', () => {
  const random = network.seededRandom(7)
  const members = listMembers([0, 0.1, 0, 0, 0.4, 0, 0, 0.8, 0])
  const firsts = new Map<string, number>()
  for (let call = 0; call < 3_000; call++) {
    const first = addresses.selectAddresses({ members, availabilityZone: 'region-0-1', region: 'region-0', random }).addresses[0]
    firsts.set(first?.address ?? '', (firsts.get(first?.address ?? '') ?? 0) + 1)
  }
  const [light = 0, middle = 0, heavy = 0] = [1, 4, 7].map((index) => firsts.get(members[index]?.address ?? ''))
  assert.ok(light > middle && middle > heavy && heavy > 150, `${light}, ${middle}, ${heavy}`)
  assert.ok(light < 2_000, `${light}`)
})

selectAddresses('returns distinct identities that name their owner', () => {
  const choices = select([0, 0, 0, 0, 0, 0], 3).addresses
  const identities = choices.flatMap((choice) => choice.identities)
  assert.is(new Set(identities).size, identities.length)
  for (const identity of identities) assert.match(identity, /^[a-z0-9]{13}\.120\.[A-Za-z0-9_-]{16}$/)
})

selectAddresses('returns no nonce that is reserved for the owner', () => {
  const nonces = Array.from({ length: 200 }, (_, seed) => select([0], seed)).flatMap((selection) => selection.addresses.flatMap((choice) => choice.identities))
  assert.equal(nonces.filter((identity) => identity.split('.')[2]?.startsWith(protocol.INTERNAL_NONCE_PREFIX)), [])
})

selectAddresses.run()
