import type * as document from '@persimmonhatch/document'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as call from '../src/call.js'
import type * as callers from '../src/callers.js'
import * as deployment from '../src/deployment.js'
import * as engineSpeeds from '../src/engine-speeds.js'
import * as systemModule from '../src/system.js'
import * as waitUntil from '../src/wait-until.js'
import * as fixtureModule from './fixture.js'

const VM_LIST_LAG_MS = 500
const LEAVING_SETTLE_MS = 3_000
const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6', 'engine-7', 'engine-8'] as const
/** An engine that checks fencing numbers, and one that does not. */
const FENCED_ENGINE = 'engine-1'
const UNFENCED_ENGINE = 'engine-2'
const STREAMS = 16

let fixture: fixtureModule.Fixture
const suite = uvu.suite('failures of targets')

function withFencing (serviceDocument: document.serviceDocument.ServiceDocument): document.serviceDocument.ServiceDocument {
  return { ...serviceDocument, targets: serviceDocument.targets.map((target) => ({ ...target, checksFencing: target.name === FENCED_ENGINE })) }
}

suite.before(async () => {
  const example = await deployment.readDeployment('atlasrenew')
  fixture = await fixtureModule.startFixture({ vmListLagMs: VM_LIST_LAG_MS, deployment: { ...example, documents: example.documents.map(withFencing) } })
})
suite.after(async () => { await fixtureModule.closeFixture(fixture) })

async function setFaultsOfAll (targets: readonly string[], faults: object): Promise<void> {
  for (const target of targets) await fixture.faults.setFaults(target, faults)
}

/** Sends requests with distinct content through all daemons. */
async function sendAll (request: call.Request, prefix: string, count: number): Promise<readonly call.Result[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => {
    const name = `${prefix}-${index}`
    const daemon = fixtureModule.daemonAt(fixture, index % fixture.system.daemons().length)
    const named = fixtureModule.registerRequest(fixture, { ...request, promptText: `${name}: ${request.promptText}` }, name)
    return await fixture.callers.send(named, request.nonIdempotent ? await fixtureModule.awaitDestination(fixture, daemon, request.service) : { daemon, identity: undefined })
  }))
}

function targetAddress (target: string): string {
  return fixture.system.standin(target).address
}

async function sendOrder (target: string, fencing: string, version: string): Promise<number> {
  const response = await fetch(`http://${targetAddress(target)}/orders`, { method: 'POST', body: JSON.stringify({ fencing, model: 'refurbish-8b', version, adapters: ['listings'], role: 'mixed' }) })
  return response.status
}

async function readVersion (target: string): Promise<string | undefined> {
  const loaded = await (await fetch(`http://${targetAddress(target)}/orders`)).json() as { readonly version?: string }
  return loaded.version
}

async function awaitVersion (target: string): Promise<void> {
  await waitUntil.waitUntil(`${target} has loaded the version of its document`, fixtureModule.WAIT_TIMEOUT_MS, async () => await readVersion(target) === '1' ? true : undefined)
}

// Daemons correct orders at intervals of many seconds, so the last test checks the outcome of these.
suite('orders without a lease reach two engines', async () => {
  assert.is(await sendOrder(FENCED_ENGINE, '0', 'old'), 200)
  assert.is(await sendOrder(UNFENCED_ENGINE, '0', 'old'), 200)
})

suite('cut streams are resumed until the response is complete', async () => {
  await setFaultsOfAll(ENGINES, { cutNextStreams: 1 })
  const results = await sendAll({ ...fixtureModule.QUESTION, answerTokens: 30 }, 'cut', STREAMS)
  assert.is(fixtureModule.countOutcomes(results), `${STREAMS} answered`)
  await setFaultsOfAll(ENGINES, { cutNextStreams: 0 })
})

suite('bytes after the end of a stream are not forwarded', async () => {
  await setFaultsOfAll(ENGINES, { extraBytes: 1 })
  assert.is(fixtureModule.countOutcomes(await sendAll(fixtureModule.QUESTION, 'extra', STREAMS)), `${STREAMS} answered`)
  await setFaultsOfAll(ENGINES, { extraBytes: 0 })
})

suite('a stream that is closed early is reported as incomplete', async () => {
  await setFaultsOfAll(ENGINES, { closeEarly: 100 })
  assert.is(fixtureModule.countOutcomes(await sendAll(fixtureModule.QUESTION, 'early', STREAMS)), `${STREAMS} refused answer-incomplete`)
  await setFaultsOfAll(ENGINES, { closeEarly: 0 })
})

suite('a stalled stream delays no other stream, and is cancelled when its caller disconnects', async () => {
  await setFaultsOfAll(ENGINES, { stallNextStreams: 100 })
  const disconnecting = new AbortController()
  const request = fixtureModule.registerRequest(fixture, { ...fixtureModule.QUESTION, answerTokens: 40 }, 'stalled')
  const stalled = fixture.callers.send(request, { daemon: fixtureModule.daemonAt(fixture, 0), identity: undefined }, disconnecting.signal)
  await fixtureModule.awaitRun(fixture, 'stalled')
  await fixtureModule.wait(500)
  await setFaultsOfAll(ENGINES, { stallNextStreams: 0 })
  assert.is(fixtureModule.countOutcomes(await sendAll(fixtureModule.QUESTION, 'beside', STREAMS)), `${STREAMS} answered`)
  disconnecting.abort()
  assert.is((await stalled).outcome, 'disconnected')
  await waitUntil.waitUntil('the stalled run is cancelled', fixtureModule.WAIT_TIMEOUT_MS, async () => (await fixtureModule.readRuns(fixture, 'stalled')).every((run) => run.endedAtMs !== undefined) ? true : undefined)
})

suite('connections reset before, during and after a reservation lead to no second run', async () => {
  const results: call.Result[] = []
  for (const reset of ['before', 'during', 'after'] as const) {
    await setFaultsOfAll(fixtureModule.STOCK, { resetNext: [reset] })
    results.push(...await sendAll(fixtureModule.RESERVATION, `reset-${reset}`, 8))
    await setFaultsOfAll(fixtureModule.STOCK, { resetNext: [] })
  }
  console.log(fixtureModule.countOutcomes(results))
  assert.ok(results.every((result) => result.outcome === 'answered' || result.outcome === 'refused'))
})

/** Waits until a daemon returns its own address, with an identity of its own. */
async function awaitOwnDestination (daemonIndex: number): Promise<callers.Destination> {
  const daemon = fixtureModule.daemonAt(fixture, daemonIndex)
  return await waitUntil.waitUntil(`daemon ${daemonIndex} returns its own address`, fixtureModule.WAIT_TIMEOUT_MS, async () => {
    const destination = await fixture.callers.findDestination(daemon, fixtureModule.QUESTION.service)
    return destination?.daemon === daemon ? destination : undefined
  })
}

suite('a request that crashes its targets is refused by every daemon, and requests in flight beside it are cleared', async () => {
  const innocent: call.Request = { ...fixtureModule.QUESTION, answerTokens: 150 }
  const crashing: call.Request = { ...fixtureModule.QUESTION, promptText: engineSpeeds.CRASH_MARKER, omitsBodyMarker: true }
  const inFlight = sendAll(innocent, 'innocent', STREAMS)
  const identities: string[] = []
  /** Sends the crashing content; the owner of the identity refuses or runs it. */
  async function crash (daemonIndex: number): Promise<call.Result> {
    const destination = await awaitOwnDestination(daemonIndex)
    identities.push(destination.identity)
    return await fixture.callers.send(fixtureModule.registerRequest(fixture, crashing, destination.identity), destination)
  }
  for (const index of [0, 1, 2]) {
    await waitUntil.waitUntil(`daemon ${index} refuses the content`, fixtureModule.WAIT_TIMEOUT_MS, async () => (await crash(index)).reason === 'suspect-refused' ? true : undefined)
  }
  const runs = (await Promise.all(identities.map((name) => fixtureModule.readRuns(fixture, name)))).flat().length
  console.log(`sent ${identities.length} times, crashed ${runs} targets; in flight beside it: ${fixtureModule.countOutcomes(await inFlight)}`)
  // The innocent content is sent again, as its callers would do.
  const resent = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    const content = fixture.requests.get(`innocent-${index}`) ?? innocent
    return await fixture.callers.send(fixtureModule.registerRequest(fixture, content, `again-${index}`), { daemon: fixtureModule.daemonAt(fixture, index % 3), identity: undefined })
  }))
  assert.is(fixtureModule.countOutcomes(resent), `${STREAMS} answered`)
  for (const index of [0, 1, 2]) assert.is((await crash(index)).reason, 'suspect-refused')
})

suite('a leaving target gets no new requests, whatever the VM list contains afterwards', async () => {
  const traffic = fixtureModule.startTraffic(fixture, 'leaving-', 25)
  await fixtureModule.wait(1_500)
  await fixture.faults.setLeavingTargets(new Set(['engine-6', 'stock-1']))
  await fixtureModule.wait(LEAVING_SETTLE_MS)
  for (const answer of ['empty', 'short', 'true'] as const) {
    await fixture.faults.setFaults('vm-list', { answer })
    await fixtureModule.wait(1_500)
  }
  await traffic.stop()
  const statuses = await Promise.all(fixture.system.daemons().map(fixtureModule.readStatus))
  for (const status of statuses) assert.equal([...status?.leavingTargets ?? []].sort(), ['engine-6', 'stock-1'])
  assert.ok(traffic.results().filter((result) => result.outcome === 'answered').length > 0)
  await fixtureModule.assertNoViolations(fixture)
  console.log(fixtureModule.countOutcomes(traffic.results()))
})

suite('no target gets new requests when the VM list contains all targets in both states', async () => {
  for (const target of systemModule.loggedTargets(fixture.system)) fixture.recorder.record({ kind: 'target-leaving', target: target.name })
  await fixture.faults.setFaults('vm-list', { answer: 'contradictory' })
  await fixtureModule.wait(LEAVING_SETTLE_MS)
  const results = await sendAll({ ...fixtureModule.QUESTION, deadlineMs: 1_000 }, 'contradicted', 6)
  assert.ok(results.every((result) => result.outcome === 'refused'), fixtureModule.countOutcomes(results))
  await fixtureModule.assertNoViolations(fixture)
})

suite('late orders are refused by an engine that checks fencing numbers, and corrected at one that does not', async () => {
  await awaitVersion(FENCED_ENGINE)
  assert.is(await sendOrder(FENCED_ENGINE, '0', 'late'), 409)
  assert.is(await readVersion(FENCED_ENGINE), '1')
  await awaitVersion(UNFENCED_ENGINE)
})

suite.run()
