import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rendezvous from '../src/rendezvous.js'
import * as network from './network.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const REGIONS = ['region-0', 'region-1', 'region-2']
const partition = uvu.suite('partition')

function knowsExactly (node: network.Node, regions: readonly string[], size: number): boolean {
  const members = node.core.members()
  return members.length === size && members.every((member) => regions.includes(member.region))
}

for (const seed of [1, 2]) {
  partition(`lets each side of an hour's partition work on, and merges after it, seed ${seed}`, () => {
    const net = new network.Network({ size: 24, regions: 3, zonesPerRegion: 3, seed, loss: 0.01, introductions: 'all' })
    net.run(10_000)
    net.isCut = (a, b) => (a.news.region === 'region-0') !== (b.news.region === 'region-0')
    const sides = [{ regions: ['region-0'], size: 8 }, { regions: ['region-1', 'region-2'], size: 16 }]
    const isApart = (): boolean => net.nodes.every((node) => {
      const side = sides.find(({ regions }) => regions.includes(node.news.region))
      return side !== undefined && knowsExactly(node, side.regions, side.size)
    })
    const apartMs = net.runUntil(isApart, 2 * MINUTE_MS)
    const [one] = net.nodes
    if (one !== undefined) net.give(one, { kind: 'news', news: { kind: 'revision', service: 'listings', revision: 7 } })
    net.run(HOUR_MS)
    assert.ok(isApart(), 'the sides stay apart')
    net.isCut = () => false
    const mergedMs = net.runUntil(() => net.agrees(), 2 * MINUTE_MS)
    console.log(`24 members, seed ${seed}: apart after ${apartMs} ms, merged after ${mergedMs} ms`)
    assert.is.not(mergedMs, undefined)
    assert.is.not(net.runUntil(() => net.nodes.every((node) => node.core.news().length === 1), MINUTE_MS), undefined)
  })
}

partition('leaves the authorities of each region in place', () => {
  const net = new network.Network({ size: 24, regions: 3, zonesPerRegion: 3, seed: 5, loss: 0, introductions: 'all' })
  const pools = REGIONS.map((region) => ({ pool: `pool-${region}`, region }))
  net.run(10_000)
  const before = rendezvous.assignAuthorities(net.nodes[0]?.core.members() ?? [], pools)
  net.isCut = (a, b) => a.news.region !== b.news.region
  net.run(MINUTE_MS)
  for (const node of net.nodes) {
    const pool = `pool-${node.news.region}`
    assert.is(rendezvous.assignAuthorities(node.core.members(), pools).get(pool), before.get(pool))
  }
})

partition.run()
