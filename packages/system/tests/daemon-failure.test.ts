import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as waitUntil from '../src/wait-until.js'
import * as fixtureModule from './fixture.js'

/** Longer than every timeout between daemons, milliseconds. */
const SUSPENSION_MS = 5_000
const SLOW_MS = 1_500
const WAITING_REQUESTS = 60

const suite = uvu.suite('failures of daemons')

async function setStockDelay (fixture: fixtureModule.Fixture, slowMs: number): Promise<void> {
  for (const target of fixtureModule.STOCK) await fixture.faults.setFaults(target, { slowMs })
}

suite('killing an entry under traffic leads to no second run, and unknown outcomes are reported', fixtureModule.withFixture({}, async (fixture) => {
  const traffic = fixtureModule.startTraffic(fixture, 'killed-', 25)
  await fixtureModule.wait(2_000)
  await setStockDelay(fixture, SLOW_MS)
  const destination = await fixtureModule.awaitDestination(fixture, fixtureModule.daemonAt(fixture, 0), 'stock')
  const request = fixtureModule.registerRequest(fixture, fixtureModule.RESERVATION, 'cut-off')
  const first = fixture.callers.send(request, destination)
  await fixtureModule.awaitRun(fixture, 'cut-off')
  await fixture.faults.kill(destination.daemon)
  assert.is((await first).outcome, 'disconnected')
  for (const other of fixture.system.daemons().filter((daemon) => daemon !== destination.daemon)) {
    const refusal = await waitUntil.waitUntil('the outcome is reported as unknown', fixtureModule.WAIT_TIMEOUT_MS, async () => {
      const result = await fixture.callers.send(request, { daemon: other, identity: destination.identity })
      return result.outcome === 'refused' ? result : undefined
    })
    assert.is(refusal.reason, 'outcome-unknown')
  }
  await fixture.faults.restart(destination.daemon.name)
  const restarted = fixture.system.daemons().find((daemon) => daemon.name === destination.daemon.name) ?? destination.daemon
  assert.is((await fixture.callers.send(request, { daemon: restarted, identity: destination.identity })).reason, 'outcome-unknown')
  await traffic.stop()
  assert.is((await fixtureModule.readRuns(fixture, 'cut-off')).length, 1)
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
}))

suite('requests that wait at a killed authority are served by its successor', fixtureModule.withFixture({}, async (fixture) => {
  const { authority, other } = await fixtureModule.findAuthority(fixture, 'stock')
  await setStockDelay(fixture, SLOW_MS)
  const results = Array.from({ length: WAITING_REQUESTS }, (_, index) =>
    fixture.callers.send(fixtureModule.registerRequest(fixture, fixtureModule.STOCK_CHECK, `waits-${index}`), { daemon: other, identity: undefined }))
  await waitUntil.waitUntil('requests wait', fixtureModule.WAIT_TIMEOUT_MS, async () => ((await fixtureModule.readStatus(authority))?.pools.find((each) => each.pool === 'stock')?.waiting ?? 0) > 0 ? true : undefined)
  await fixture.faults.kill(authority)
  await setStockDelay(fixture, 0)
  assert.is(fixtureModule.countOutcomes(await Promise.all(results)), `${WAITING_REQUESTS} answered`)
  await fixtureModule.assertNoViolations(fixture)
}))

suite('an entry that is suspended past every timeout with a granted request runs nothing twice', fixtureModule.withFixture({}, async (fixture) => {
  const traffic = fixtureModule.startTraffic(fixture, 'frozen-entry-', 20)
  await fixtureModule.wait(1_000)
  await setStockDelay(fixture, SLOW_MS)
  const destination = await fixtureModule.awaitDestination(fixture, fixtureModule.daemonAt(fixture, 0), 'stock')
  const request = fixtureModule.registerRequest(fixture, fixtureModule.RESERVATION, 'frozen')
  const first = fixture.callers.send(request, destination)
  await fixtureModule.awaitRun(fixture, 'frozen')
  const suspended = fixture.faults.suspendFor(destination.daemon, SUSPENSION_MS)
  const resent = fixture.callers.send(request, destination)
  await suspended
  assert.equal([(await first).outcome, (await resent).outcome], ['answered', 'answered'])
  await fixtureModule.wait(1_000)
  await traffic.stop()
  assert.is((await fixtureModule.readRuns(fixture, 'frozen')).length, 1)
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
}))

suite('an authority that is suspended past every timeout grants nothing stale when it resumes', fixtureModule.withFixture({}, async (fixture) => {
  const { authority, other } = await fixtureModule.findAuthority(fixture, 'stock')
  const traffic = fixtureModule.startTraffic(fixture, 'frozen-authority-', 20)
  await setStockDelay(fixture, SLOW_MS)
  const results = Array.from({ length: WAITING_REQUESTS }, (_, index) =>
    fixture.callers.send(fixtureModule.registerRequest(fixture, fixtureModule.STOCK_CHECK, `frozen-${index}`), { daemon: other, identity: undefined }))
  await waitUntil.waitUntil('requests wait', fixtureModule.WAIT_TIMEOUT_MS, async () => ((await fixtureModule.readStatus(authority))?.pools.find((each) => each.pool === 'stock')?.waiting ?? 0) > 0 ? true : undefined)
  const suspended = fixture.faults.suspendFor(authority, SUSPENSION_MS)
  await setStockDelay(fixture, 0)
  assert.is(fixtureModule.countOutcomes(await Promise.all(results)), `${WAITING_REQUESTS} answered`)
  await suspended
  await fixtureModule.wait(1_000)
  await traffic.stop()
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
}))

suite.run()
