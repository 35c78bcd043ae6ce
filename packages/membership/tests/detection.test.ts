import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as network from './network.js'

const MINUTE_MS = 60_000
const detection = uvu.suite('detection')

function start (size: number, seed: number, loss: number): network.Network {
  const net = new network.Network({ size, regions: 3, zonesPerRegion: 4, seed, loss, introductions: 4 })
  assert.is.not(net.runUntil(() => net.agrees(), MINUTE_MS), undefined, `seed ${seed} did not join`)
  return net
}

function pick (net: network.Network, index: number): network.Node {
  const node = net.nodes[index]
  if (node === undefined) throw new Error(`no node ${index}: start more`)
  return node
}

for (const seed of [1, 2, 3]) {
  detection(`finds a killed member at 5% loss, and no other, seed ${seed}`, () => {
    const net = start(24, seed, 0.05)
    net.run(5_000)
    pick(net, 7).state = 'dead'
    const tookMs = net.runUntil(() => net.agrees(), MINUTE_MS)
    console.log(`killed 1 of 24, seed ${seed}: all others knew after ${tookMs} ms`)
    assert.is.not(tookMs, undefined)
    net.run(MINUTE_MS)
    assert.ok(net.agrees())
    const wrong = net.running().flatMap((node) => node.learned).filter(({ news }) => (
      news.kind === 'member' && news.state === 'gone' && news.incarnation !== pick(net, 7).news.incarnation
    ))
    assert.is(wrong.length, 0)
  })

  detection(`gives no death verdict in 10 minutes at 5% loss, seed ${seed}`, () => {
    const net = start(24, seed, 0.05)
    net.run(10 * MINUTE_MS)
    assert.is(net.total('membership.gone'), 0)
    assert.ok(net.agrees())
  })

  for (const tellsResumed of [true, false]) {
    detection(`takes a paused member back, which declares nobody gone (told of it: ${tellsResumed}), seed ${seed}`, () => {
      const net = start(24, seed, 0.02)
      net.run(5_000)
      const sleeper = pick(net, 5)
      net.pause(sleeper)
      net.run(30_000)
      assert.ok(net.agrees(), 'the others hold it for gone')
      const verdicts = sleeper.counts.get('membership.gone') ?? 0
      net.wake(sleeper, tellsResumed)
      assert.not.ok(sleeper.core.isConfirmed())
      assert.is.not(net.runUntil(() => net.agrees(), MINUTE_MS), undefined)
      net.run(30_000)
      assert.is(sleeper.counts.get('membership.gone') ?? 0, verdicts)
      assert.ok(sleeper.core.isConfirmed())
      assert.ok(net.agrees())
    })
  }

  detection(`gives no verdict before the first acks after a pause, seed ${seed}`, () => {
    const net = start(24, seed, 0)
    net.run(5_000)
    const sleeper = pick(net, 5)
    net.pause(sleeper)
    net.run(30_000)
    sleeper.waiting.length = 0
    net.isCut = (_from, to, message) => to === sleeper && (message.kind === 'ack' || message.kind === 'indirect-ack')
    net.wake(sleeper, false)
    net.run(9_000)
    assert.is(sleeper.counts.get('membership.gone') ?? 0, 0)
    net.isCut = () => false
    assert.is.not(net.runUntil(() => net.agrees(), MINUTE_MS), undefined)
  })

  detection(`learns of a planned stop at once, seed ${seed}`, () => {
    const net = start(24, seed, 0.02)
    const stopping = pick(net, 3)
    net.give(stopping, { kind: 'drain' })
    const isLeaving = (node: network.Node): boolean => node.core.findMember(stopping.news.incarnation)?.state === 'leaving'
    assert.is.not(net.runUntil(() => net.running().every(isLeaving), 3_000), undefined)
    net.give(stopping, { kind: 'gone' })
    stopping.state = 'dead'
    assert.is.not(net.runUntil(() => net.agrees(), 3_000), undefined)
  })
}

detection('does not revive a gone member by its older beats, and keeps beats fresh, at 160 members', () => {
  const net = new network.Network({ size: 160, regions: 3, zonesPerRegion: 4, seed: 1, loss: 0.01, introductions: 'all' })
  net.run(2 * MINUTE_MS)
  const lags = net.nodes.flatMap((node) => node.core.members().map((member) => Math.floor(net.nowMs / protocol.HEARTBEAT_INTERVAL_MS) - member.beat))
  console.log(`160 members: largest lag ${Math.max(...lags)} beats`)
  assert.ok(Math.max(...lags) < protocol.IDENTITY_RETENTION_HEARTBEATS / 2)
  const killed = pick(net, 7)
  killed.state = 'dead'
  net.run(MINUTE_MS)
  assert.ok(net.agrees())
  const revivals = net.running().flatMap((node) => node.learned).filter(({ atMs, news }) => (
    atMs > 2 * MINUTE_MS && news.kind === 'member' && news.incarnation === killed.news.incarnation && news.state === 'alive'
  ))
  assert.is(revivals.length, 0)
})

detection('takes in a newcomer and gives it all members and news', () => {
  const net = start(24, 9, 0.02)
  const [first] = net.nodes
  if (first !== undefined) net.give(first, { kind: 'news', news: { kind: 'revision', service: 'listings', revision: 7 } })
  net.run(MINUTE_MS)
  const newcomer = net.add(24, [pick(net, 1).news, pick(net, 2).news])
  assert.is.not(net.runUntil(() => net.agrees(), 15_000), undefined)
  assert.equal(newcomer.core.news(), [{ kind: 'revision', service: 'listings', revision: 7 }])
})

detection('takes introduced daemons for members only when they are heard of', () => {
  const net = new network.Network({ size: 2, regions: 1, zonesPerRegion: 1, seed: 1, loss: 0, introductions: 2 })
  pick(net, 1).state = 'dead'
  net.run(MINUTE_MS)
  assert.is(pick(net, 0).core.members().length, 1)
})

detection.run()
