import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as network from './network.js'

const MINUTE_MS = 60_000
const detection = uvu.suite('detection')

function start (size: number, seed: number, loss: number): network.Network {
  const net = new network.Network({ size, regions: 3, zonesPerRegion: 4, seed, loss, initialSeeds: 4 })
  assert.is.not(net.runUntil(() => net.hasConverged(), MINUTE_MS), undefined, `seed ${seed} did not join`)
  return net
}

function pick (net: network.Network, index: number): network.SimulatedDaemon {
  const daemon = net.daemons[index]
  if (daemon === undefined) throw new Error(`daemon ${index} does not exist: start more`)
  return daemon
}

for (const seed of [1, 2, 3]) {
  detection(`detects a killed member at 5% loss, and declares no other dead, seed ${seed}`, () => {
    const net = start(24, seed, 0.05)
    net.run(5_000)
    pick(net, 7).state = 'dead'
    const tookMs = net.runUntil(() => net.hasConverged(), MINUTE_MS)
    console.log(`killed 1 of 24, seed ${seed}: detected by all others after ${tookMs} ms`)
    assert.is.not(tookMs, undefined)
    net.run(MINUTE_MS)
    assert.ok(net.hasConverged())
    const falseDeaths = net.running().flatMap((daemon) => daemon.applied).filter(({ update }) => (
      update.kind === 'member' && update.state === 'gone' && update.incarnation !== pick(net, 7).member.incarnation
    ))
    assert.is(falseDeaths.length, 0)
  })

  detection(`declares no member dead in 10 minutes at 5% loss, seed ${seed}`, () => {
    const net = start(24, seed, 0.05)
    net.run(10 * MINUTE_MS)
    assert.is(net.totalCount('membership.gone'), 0)
    assert.ok(net.hasConverged())
  })

  for (const isNotified of [true, false]) {
    detection(`accepts a resumed member, which declares no member dead (notified of the resumption: ${isNotified}), seed ${seed}`, () => {
      const net = start(24, seed, 0.02)
      net.run(5_000)
      const paused = pick(net, 5)
      net.pause(paused)
      net.run(30_000)
      assert.ok(net.hasConverged(), 'the others consider the paused member dead')
      const deathsBefore = paused.counts.get('membership.gone') ?? 0
      net.resume(paused, isNotified)
      assert.not.ok(paused.core.isConfirmed())
      assert.is.not(net.runUntil(() => net.hasConverged(), MINUTE_MS), undefined)
      net.run(30_000)
      assert.is(paused.counts.get('membership.gone') ?? 0, deathsBefore)
      assert.ok(paused.core.isConfirmed())
      assert.ok(net.hasConverged())
    })
  }

  detection(`declares no member dead before the first acks after a pause, seed ${seed}`, () => {
    const net = start(24, seed, 0)
    net.run(5_000)
    const paused = pick(net, 5)
    net.pause(paused)
    net.run(30_000)
    paused.queuedInputs.length = 0
    net.isDropped = (_from, to, message) => to === paused && (message.kind === 'ack' || message.kind === 'indirect-ack')
    net.resume(paused, false)
    net.run(9_000)
    assert.is(paused.counts.get('membership.gone') ?? 0, 0)
    net.isDropped = () => false
    assert.is.not(net.runUntil(() => net.hasConverged(), MINUTE_MS), undefined)
  })

  detection(`disseminates a planned stop within 3 s, seed ${seed}`, () => {
    const net = start(24, seed, 0.02)
    const stopping = pick(net, 3)
    net.handle(stopping, { kind: 'drain' })
    const isLeaving = (daemon: network.SimulatedDaemon): boolean => daemon.core.findMember(stopping.member.incarnation)?.state === 'leaving'
    assert.is.not(net.runUntil(() => net.running().every(isLeaving), 3_000), undefined)
    net.handle(stopping, { kind: 'exit' })
    stopping.state = 'dead'
    assert.is.not(net.runUntil(() => net.hasConverged(), 3_000), undefined)
  })
}

detection('does not revive a dead member by its older heartbeats, and keeps heartbeats fresh, at 160 members', () => {
  const net = new network.Network({ size: 160, regions: 3, zonesPerRegion: 4, seed: 1, loss: 0.01, initialSeeds: 'all' })
  net.run(2 * MINUTE_MS)
  const lags = net.daemons.flatMap((daemon) => daemon.core.members().map((member) => Math.floor(net.nowMs / protocol.HEARTBEAT_INTERVAL_MS) - member.beat))
  console.log(`160 members: largest lag ${Math.max(...lags)} heartbeats`)
  assert.ok(Math.max(...lags) < protocol.IDENTITY_RETENTION_HEARTBEATS / 2)
  const killed = pick(net, 7)
  killed.state = 'dead'
  net.run(MINUTE_MS)
  assert.ok(net.hasConverged())
  const revivals = net.running().flatMap((daemon) => daemon.applied).filter(({ atMs, update }) => (
    atMs > 2 * MINUTE_MS && update.kind === 'member' && update.incarnation === killed.member.incarnation && update.state === 'alive'
  ))
  assert.is(revivals.length, 0)
})

detection('synchronises a joining member with all members and updates', () => {
  const net = start(24, 9, 0.02)
  const [first] = net.daemons
  if (first !== undefined) net.handle(first, { kind: 'update', update: { kind: 'revision', service: 'listings', revision: 7 } })
  net.run(MINUTE_MS)
  const joining = net.add(24, [pick(net, 1).member, pick(net, 2).member])
  assert.is.not(net.runUntil(() => net.hasConverged(), 15_000), undefined)
  assert.equal(joining.core.updates(), [{ kind: 'revision', service: 'listings', revision: 7 }])
})

detection('adds a discovered daemon as a member only when an update about it is received', () => {
  const net = new network.Network({ size: 2, regions: 1, zonesPerRegion: 1, seed: 1, loss: 0, initialSeeds: 2 })
  pick(net, 1).state = 'dead'
  net.run(MINUTE_MS)
  assert.is(pick(net, 0).core.members().length, 1)
})

detection.run()
