import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as waitUntil from '../src/wait-until.js'
import * as sceneModule from './scene.js'

/** Longer than every limit between daemons, milliseconds. */
const FREEZE_MS = 5_000
const SLOW_MS = 1_500
const WAITING_REQUESTS = 60

const suite = uvu.suite('failures of daemons')

async function slowStock (scene: sceneModule.Scene, slowMs: number): Promise<void> {
  for (const target of sceneModule.STOCK) await scene.faults.set(target, { slowMs })
}

suite('an entry killed under traffic leads to no second run, and unknown outcomes are said', sceneModule.inScene({}, async (scene) => {
  const traffic = sceneModule.startTraffic(scene, 'killed-', 25)
  await sceneModule.wait(2_000)
  await slowStock(scene, SLOW_MS)
  const steer = await sceneModule.steerFrom(scene, sceneModule.daemonAt(scene, 0), 'stock')
  const request = sceneModule.named(scene, sceneModule.RESERVATION, 'cut-off')
  const first = scene.callers.send(request, steer)
  await sceneModule.awaitRun(scene, 'cut-off')
  await scene.faults.kill(steer.daemon)
  assert.is((await first).outcome, 'disconnected')
  for (const other of scene.system.daemons().filter((daemon) => daemon !== steer.daemon)) {
    const said = await waitUntil.waitUntil('the outcome is said to be unknown', sceneModule.LIMIT_MS, async () => {
      const result = await scene.callers.send(request, { daemon: other, identity: steer.identity })
      return result.outcome === 'refused' ? result : undefined
    })
    assert.is(said.reason, 'outcome-unknown')
  }
  await scene.faults.restart(steer.daemon.name)
  const restarted = scene.system.daemons().find((daemon) => daemon.name === steer.daemon.name) ?? steer.daemon
  assert.is((await scene.callers.send(request, { daemon: restarted, identity: steer.identity })).reason, 'outcome-unknown')
  await traffic.stop()
  assert.is((await sceneModule.runsOf(scene, 'cut-off')).length, 1)
  await sceneModule.assertKept(scene)
  console.log(sceneModule.countOutcomes(traffic.results()))
}))

suite('requests that wait at a killed authority are served by the next', sceneModule.inScene({}, async (scene) => {
  const { authority, other } = await sceneModule.findAuthority(scene, 'stock')
  await slowStock(scene, SLOW_MS)
  const results = Array.from({ length: WAITING_REQUESTS }, (_, index) =>
    scene.callers.send(sceneModule.named(scene, sceneModule.STOCK_CHECK, `waits-${index}`), { daemon: other, identity: undefined }))
  await waitUntil.waitUntil('requests wait', sceneModule.LIMIT_MS, async () => ((await sceneModule.readStatus(authority))?.pools.find((one) => one.pool === 'stock')?.waiting ?? 0) > 0 ? true : undefined)
  await scene.faults.kill(authority)
  await slowStock(scene, 0)
  assert.is(sceneModule.countOutcomes(await Promise.all(results)), `${WAITING_REQUESTS} answered`)
  await sceneModule.assertKept(scene)
}))

suite('an entry frozen past every limit with a granted request runs nothing twice', sceneModule.inScene({}, async (scene) => {
  const traffic = sceneModule.startTraffic(scene, 'frozen-entry-', 20)
  await sceneModule.wait(1_000)
  await slowStock(scene, SLOW_MS)
  const steer = await sceneModule.steerFrom(scene, sceneModule.daemonAt(scene, 0), 'stock')
  const request = sceneModule.named(scene, sceneModule.RESERVATION, 'frozen')
  const first = scene.callers.send(request, steer)
  await sceneModule.awaitRun(scene, 'frozen')
  const frozen = scene.faults.freeze(steer.daemon, FREEZE_MS)
  const resent = scene.callers.send(request, steer)
  await frozen
  assert.equal([(await first).outcome, (await resent).outcome], ['answered', 'answered'])
  await sceneModule.wait(1_000)
  await traffic.stop()
  assert.is((await sceneModule.runsOf(scene, 'frozen')).length, 1)
  await sceneModule.assertKept(scene)
  console.log(sceneModule.countOutcomes(traffic.results()))
}))

suite('an authority frozen past every limit grants nothing stale when it wakes', sceneModule.inScene({}, async (scene) => {
  const { authority, other } = await sceneModule.findAuthority(scene, 'stock')
  const traffic = sceneModule.startTraffic(scene, 'frozen-authority-', 20)
  await slowStock(scene, SLOW_MS)
  const results = Array.from({ length: WAITING_REQUESTS }, (_, index) =>
    scene.callers.send(sceneModule.named(scene, sceneModule.STOCK_CHECK, `frozen-${index}`), { daemon: other, identity: undefined }))
  await waitUntil.waitUntil('requests wait', sceneModule.LIMIT_MS, async () => ((await sceneModule.readStatus(authority))?.pools.find((one) => one.pool === 'stock')?.waiting ?? 0) > 0 ? true : undefined)
  const frozen = scene.faults.freeze(authority, FREEZE_MS)
  await slowStock(scene, 0)
  assert.is(sceneModule.countOutcomes(await Promise.all(results)), `${WAITING_REQUESTS} answered`)
  await frozen
  await sceneModule.wait(1_000)
  await traffic.stop()
  await sceneModule.assertKept(scene)
  console.log(sceneModule.countOutcomes(traffic.results()))
}))

suite.run()
