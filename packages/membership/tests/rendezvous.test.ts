import * as fc from 'fast-check'
import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rendezvous from '../src/rendezvous.js'
import * as network from './network.js'

const SEED = 4
const assignAuthorities = uvu.suite('assignAuthorities')

function listMembers (size: number, regions: number): readonly protocol.MemberUpdate[] {
  const random = network.seededRandom(size)
  return Array.from({ length: size }, (_, index) => ({
    ...network.describe(index, regions, 4),
    incarnation: Array.from({ length: 13 }, () => Math.floor(random() * 36).toString(36)).join('')
  }))
}

function listPools (count: number, regions: number): readonly rendezvous.Pool[] {
  return Array.from({ length: count }, (_, index) => ({ pool: `pool-${index}`, region: `region-${index % regions}` }))
}

function countMoved (before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): number {
  return [...before].filter(([pool, incarnation]) => after.get(pool) !== incarnation).length
}

assignAuthorities('gives each pool to a live member of its region and no member two more than another', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 3 }), (size, count, regions) => {
    const members = listMembers(size, regions)
    const assigned = rendezvous.assignAuthorities(members, listPools(count, regions))
    for (const region of new Set(members.map((member) => member.region))) {
      const loads = members.filter((member) => member.region === region).map((member) => (
        [...assigned.values()].filter((incarnation) => incarnation === member.incarnation).length
      ))
      assert.ok(Math.max(...loads) - Math.min(...loads) <= 1)
    }
    for (const [pool, incarnation] of assigned) {
      const member = members.find((candidate) => candidate.incarnation === incarnation)
      assert.is(member?.region, `region-${Number(pool.slice('pool-'.length)) % regions}`)
    }
  }), { seed: SEED, numRuns: 200 })
})

assignAuthorities('does not depend on the order of members and pools', () => {
  fc.assert(fc.property(fc.shuffledSubarray([...listMembers(30, 2)], { minLength: 30 }), fc.shuffledSubarray([...listPools(17, 2)], { minLength: 17 }), (members, pools) => {
    const expected = [...rendezvous.assignAuthorities(listMembers(30, 2), listPools(17, 2))].sort()
    assert.equal([...rendezvous.assignAuthorities(members, pools)].sort(), expected)
  }), { seed: SEED, numRuns: 50 })
})

assignAuthorities('leaves out members that are leaving or gone, and pools without a member', () => {
  const members = listMembers(4, 1).map((member, index) => ({ ...member, state: index === 0 ? 'leaving' as const : 'alive' as const }))
  const assigned = rendezvous.assignAuthorities(members, [...listPools(3, 1), { pool: 'far', region: 'elsewhere' }])
  assert.not.ok([...assigned.values()].includes(members[0]?.incarnation ?? ''))
  assert.not.ok(assigned.has('far'))
})

for (const { size, count, limit } of [{ size: 8, count: 3, limit: 0.35 }, { size: 8, count: 11, limit: 0.45 }, { size: 107, count: 15, limit: 0.03 }]) {
  assignAuthorities(`moves few of ${count} pools when one of ${size} members is removed`, () => {
    const members = listMembers(size, 1)
    const pools = listPools(count, 1)
    const before = rendezvous.assignAuthorities(members, pools)
    const moved = members.map((removed) => countMoved(before, rendezvous.assignAuthorities(members.filter((member) => member !== removed), pools)) / count)
    const mean = moved.reduce((sum, share) => sum + share, 0) / moved.length
    console.log(`share of ${count} pools moved when one of ${size} members is removed: mean ${mean.toFixed(3)}, max ${Math.max(...moved).toFixed(3)}`)
    assert.ok(mean <= limit)
  })
}

assignAuthorities.run()
