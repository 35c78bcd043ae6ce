import type * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as network from './network.js'

const BYTES_PER_SECOND_LIMIT = 20_000
const MEASURED_S = 20
const dissemination = uvu.suite('dissemination')

function start (size: number, loss: number): network.Network {
  const net = new network.Network({ size, regions: size > 8 ? 3 : 1, zonesPerRegion: 4, seed: 1, loss, initialSeeds: 'all' })
  net.run(10_000)
  return net
}

function lastAppliedMs (net: network.Network, key: string, sinceMs: number): number {
  const times = net.daemons.map((daemon) => daemon.applied.find(({ update }) => update.kind === 'target' && update.target === key)?.atMs ?? Infinity)
  return Math.max(...times) - sinceMs
}

dissemination('disseminates a leaving target to all of 320 daemons within 3 s at 5% loss', () => {
  const net = start(320, 0.05)
  for (const index of [17, 200]) {
    const target = `engine-${index}`
    const sinceMs = net.nowMs
    const source = net.daemons[index]
    if (source !== undefined) net.handle(source, { kind: 'update', update: { kind: 'target', target, version: 1, state: 'leaving' } })
    net.run(3_000)
    const tookMs = lastAppliedMs(net, target, sinceMs)
    console.log(`leaving target applied by all 320 daemons after ${tookMs} ms`)
    assert.ok(tookMs <= 3_000)
  }
})

dissemination('disseminates 20 simultaneously leaving targets to all of 320 daemons within 3 s at 5% loss', () => {
  const net = start(320, 0.05)
  const [source] = net.daemons
  for (let index = 0; index < 20; index++) {
    if (source !== undefined) net.handle(source, { kind: 'update', update: { kind: 'target', target: `engine-${index}`, version: 1, state: 'leaving' } })
  }
  net.run(3_000)
  const appliedCounts = net.daemons.map((daemon) => daemon.core.updates().length)
  console.log(`20 simultaneous targets: ${appliedCounts.filter((count) => count === 20).length} of 320 daemons had applied all after 3 s`)
  assert.is(Math.min(...appliedCounts), 20)
})

for (const size of [8, 40, 160, 320]) {
  dissemination(`stays within the limit on control traffic at ${size} daemons`, () => {
    const net = start(size, 0)
    net.isMeasuring = true
    net.run(MEASURED_S * 1_000)
    const rates = net.daemons.map((daemon) => (daemon.sentBytes + daemon.receivedBytes) / MEASURED_S)
    const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / size
    const largest = Math.max(...net.daemons.map((daemon) => daemon.maxMessageBytes))
    console.log(`${size} daemons: mean ${Math.round(meanRate)} B/s, max ${Math.round(Math.max(...rates))} B/s, largest message ${largest} B`)
    assert.ok(Math.max(...rates) < BYTES_PER_SECOND_LIMIT)
  })
}

dissemination('counts down the remaining time of a stored suspect and removes it at the end', () => {
  const net = start(8, 0)
  const update: protocol.SuspectUpdate = { kind: 'suspect', fingerprint: 'f1', version: 1, state: 'suspect', crashes: 1, remainingMs: 20_000 }
  const [source] = net.daemons
  if (source !== undefined) net.handle(source, { kind: 'update', update })
  net.run(10_000)
  for (const daemon of net.daemons) {
    const [stored] = daemon.core.updates()
    assert.ok(stored?.kind === 'suspect' && stored.remainingMs > 9_000 && stored.remainingMs <= 10_500)
  }
  net.run(11_000)
  for (const daemon of net.daemons) assert.is(daemon.core.updates().length, 0)
})

dissemination('synchronises a daemon that missed every message about the updates', () => {
  const net = start(8, 0)
  const [source, disconnected] = net.daemons
  if (source === undefined || disconnected === undefined) throw new Error('start more daemons')
  net.pause(disconnected)
  for (let index = 0; index < 50; index++) {
    net.handle(source, { kind: 'update', update: { kind: 'revision', service: `service-${index}`, revision: 3 } })
  }
  net.run(60_000)
  disconnected.queuedInputs.length = 0
  net.resume(disconnected, true)
  assert.is.not(net.runUntil(() => disconnected.core.updates().length === 50, 30_000), undefined)
})

dissemination.run()
