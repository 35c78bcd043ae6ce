import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as daemonProcess from '../src/daemon-process.js'
import * as waitUntil from '../src/wait-until.js'
import * as fixtureModule from './fixture.js'

const DRAIN_MS = 1_000
const HELD_REQUESTS = 40

let fixture: fixtureModule.Fixture
const suite = uvu.suite('planned stops')

suite.before(async () => { fixture = await fixtureModule.startFixture({ drainMs: DRAIN_MS }) })
suite.after(async () => { await fixtureModule.closeFixture(fixture) })

interface Refusal {
  readonly error: { readonly reason: string, readonly execution: string, readonly addresses?: readonly string[] }
}

const SHORT_DEADLINE_MS = 300

/** Calls a draining daemon at its address until it refuses new requests. */
async function awaitRefusal (daemon: daemonProcess.DaemonProcess): Promise<Refusal> {
  return await waitUntil.waitUntil('a new request is refused', fixtureModule.WAIT_TIMEOUT_MS, async () => {
    const headers = { [protocol.HEADERS.organisation]: 'maarif', [protocol.HEADERS.deadline]: String(SHORT_DEADLINE_MS) }
    const response = await fetch(`http://${daemon.address}/s/stock/stock/item`, { headers })
    const body = await response.json() as Refusal
    return response.headers.get(protocol.HEADERS.reason) === 'draining' ? body : undefined
  })
}

async function setHeldPrefix (heldPrefix: string): Promise<void> {
  for (const target of fixtureModule.STOCK) await fixture.faults.setFaults(target, { heldPrefix })
}

suite('stopping each daemon in turn cuts off no request, and refusals contain other addresses', async () => {
  const traffic = fixtureModule.startTraffic(fixture, 'stop-', 20)
  for (const { name } of fixture.system.daemons()) {
    const daemon = fixture.system.daemons().find((each) => each.name === name)
    if (daemon === undefined) throw new Error(`There is no ${name}.`)
    await fixtureModule.wait(1_000)
    // Held requests keep the daemon draining until its refusal is received, however slow the machine is.
    await setHeldPrefix('held-')
    const held = Array.from({ length: HELD_REQUESTS }, (_, index) =>
      fixture.callers.send(fixtureModule.registerRequest(fixture, fixtureModule.STOCK_CHECK, `held-${name}-${index}`), { daemon, identity: undefined }))
    const reservation = fixtureModule.registerRequest(fixture, fixtureModule.RESERVATION, `held-reservation-${name}`)
    const reservationResult = fixture.callers.send(reservation, await fixtureModule.awaitDestination(fixture, daemon, 'stock'))
    const stopped = fixture.faults.stop(daemon)
    // A second signal must not turn the planned stop into an immediate one.
    await fixtureModule.wait(100)
    daemon.child.signal('SIGTERM')
    const { error } = await awaitRefusal(daemon)
    assert.equal([error.reason, error.execution], ['draining', 'not-run'])
    assert.ok((error.addresses ?? []).length > 0)
    assert.not.ok(error.addresses?.includes(daemon.address))
    await setHeldPrefix('')
    assert.is(fixtureModule.countOutcomes(await Promise.all(held)), `${HELD_REQUESTS} answered`)
    assert.is((await reservationResult).outcome, 'answered')
    await stopped
    assert.equal(await daemon.child.ended, { code: 0 })
    await fixture.faults.restart(name)
  }
  await traffic.stop()
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
})

suite('stopping all daemons at once cuts off no request', async () => {
  const traffic = fixtureModule.startTraffic(fixture, 'stop-all-', 20)
  await fixtureModule.wait(2_000)
  await Promise.all(fixture.system.daemons().map((daemon) => fixture.faults.stop(daemon)))
  await traffic.stop()
  for (const daemon of fixture.system.daemons()) assert.equal(await daemon.child.ended, { code: 0 })
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
})

suite.run()
