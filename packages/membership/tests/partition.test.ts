import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rendezvous from '../src/rendezvous.js'
import * as network from './network.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const REGIONS = ['region-0', 'region-1', 'region-2']
const partition = uvu.suite('partition')

function hasExactly (daemon: network.SimulatedDaemon, regions: readonly string[], size: number): boolean {
  const members = daemon.core.members()
  return members.length === size && members.every((member) => regions.includes(member.region))
}

for (const seed of [1, 2]) {
  partition(`keeps both sides working during an hour-long partition and merges them after it, seed ${seed}`, () => {
    const net = new network.Network({ size: 24, regions: 3, zonesPerRegion: 3, seed, loss: 0.01, initialSeeds: 'all' })
    net.run(10_000)
    net.isDropped = (a, b) => (a.member.region === 'region-0') !== (b.member.region === 'region-0')
    const sides = [{ regions: ['region-0'], size: 8 }, { regions: ['region-1', 'region-2'], size: 16 }]
    const isSeparated = (): boolean => net.daemons.every((daemon) => {
      const side = sides.find(({ regions }) => regions.includes(daemon.member.region))
      return side !== undefined && hasExactly(daemon, side.regions, side.size)
    })
    const separatedMs = net.runUntil(isSeparated, 2 * MINUTE_MS)
    const [first] = net.daemons
    if (first !== undefined) net.handle(first, { kind: 'update', update: { kind: 'revision', service: 'listings', revision: 7 } })
    net.run(HOUR_MS)
    assert.ok(isSeparated(), 'the sides stay separated')
    net.isDropped = () => false
    const mergedMs = net.runUntil(() => net.hasConverged(), 2 * MINUTE_MS)
    console.log(`24 members, seed ${seed}: separated after ${separatedMs} ms, merged after ${mergedMs} ms`)
    assert.is.not(mergedMs, undefined)
    assert.is.not(net.runUntil(() => net.daemons.every((daemon) => daemon.core.updates().length === 1), MINUTE_MS), undefined)
  })
}

partition('keeps the authorities of each region during a partition', () => {
  const net = new network.Network({ size: 24, regions: 3, zonesPerRegion: 3, seed: 5, loss: 0, initialSeeds: 'all' })
  const pools = REGIONS.map((region) => ({ pool: `pool-${region}`, region }))
  net.run(10_000)
  const before = rendezvous.assignAuthorities(net.daemons[0]?.core.members() ?? [], pools)
  net.isDropped = (a, b) => a.member.region !== b.member.region
  net.run(MINUTE_MS)
  for (const daemon of net.daemons) {
    const pool = `pool-${daemon.member.region}`
    assert.is(rendezvous.assignAuthorities(daemon.core.members(), pools).get(pool), before.get(pool))
  }
})

partition.run()
