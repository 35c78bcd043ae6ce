import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as network from './network.js'

const BYTES_PER_SECOND_LIMIT = 20_000
const MEASURED_S = 20
const spread = uvu.suite('spread')

function start (size: number, loss: number): network.Network {
  const net = new network.Network({ size, regions: size > 8 ? 3 : 1, zonesPerRegion: 4, seed: 1, loss, introductions: 'all' })
  net.run(10_000)
  return net
}

function lastLearnedMs (net: network.Network, key: string, sinceMs: number): number {
  const times = net.nodes.map((node) => node.learned.find(({ news }) => news.kind === 'target' && news.target === key)?.atMs ?? Infinity)
  return Math.max(...times) - sinceMs
}

spread('brings a leaving target to all of 320 daemons within 3 s at 5% loss', () => {
  const net = start(320, 0.05)
  for (const index of [17, 200]) {
    const target = `engine-${index}`
    const sinceMs = net.nowMs
    const source = net.nodes[index]
    if (source !== undefined) net.give(source, { kind: 'news', news: { kind: 'target', target, version: 1, state: 'leaving' } })
    net.run(3_000)
    const tookMs = lastLearnedMs(net, target, sinceMs)
    console.log(`leaving target known to all 320 after ${tookMs} ms`)
    assert.ok(tookMs <= 3_000)
  }
})

spread('brings 20 targets that leave at once to all of 320 daemons within 3 s at 5% loss', () => {
  const net = start(320, 0.05)
  const [source] = net.nodes
  for (let index = 0; index < 20; index++) {
    if (source !== undefined) net.give(source, { kind: 'news', news: { kind: 'target', target: `engine-${index}`, version: 1, state: 'leaving' } })
  }
  net.run(3_000)
  const known = net.nodes.map((node) => node.core.news().length)
  console.log(`20 targets at once: ${known.filter((count) => count === 20).length} of 320 daemons knew all after 3 s`)
  assert.is(Math.min(...known), 20)
})

for (const size of [8, 40, 160, 320]) {
  spread(`stays within the bytes for control at ${size} daemons`, () => {
    const net = start(size, 0)
    net.isMeasuring = true
    net.run(MEASURED_S * 1_000)
    const rates = net.nodes.map((node) => (node.sentBytes + node.receivedBytes) / MEASURED_S)
    const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / size
    const largest = Math.max(...net.nodes.map((node) => node.maxMessageBytes))
    console.log(`${size} daemons: mean ${Math.round(meanRate)} B/s, most ${Math.round(Math.max(...rates))} B/s, largest message ${largest} B`)
    assert.ok(Math.max(...rates) < BYTES_PER_SECOND_LIMIT)
  })
}

spread('counts a suspect down while it is stored, and forgets it', () => {
  const net = start(8, 0)
  const news: protocol.SuspectUpdate = { kind: 'suspect', fingerprint: 'f1', version: 1, state: 'suspect', crashes: 1, remainingMs: 20_000 }
  const [source] = net.nodes
  if (source !== undefined) net.give(source, { kind: 'news', news })
  net.run(10_000)
  for (const node of net.nodes) {
    const [held] = node.core.news()
    assert.ok(held?.kind === 'suspect' && held.remainingMs > 9_000 && held.remainingMs <= 10_500)
  }
  net.run(11_000)
  for (const node of net.nodes) assert.is(node.core.news().length, 0)
})

spread('brings all news to a daemon that missed every message about it', () => {
  const net = start(8, 0)
  const [source, deaf] = net.nodes
  if (source === undefined || deaf === undefined) throw new Error('start more nodes')
  net.pause(deaf)
  for (let index = 0; index < 50; index++) {
    net.give(source, { kind: 'news', news: { kind: 'revision', service: `service-${index}`, revision: 3 } })
  }
  net.run(60_000)
  deaf.waiting.length = 0
  net.wake(deaf, true)
  assert.is.not(net.runUntil(() => deaf.core.news().length === 50, 30_000), undefined)
})

spread.run()
