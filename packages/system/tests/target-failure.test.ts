import type * as document from '@persimmonhatch/document'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as call from '../src/call.js'
import type * as callers from '../src/callers.js'
import * as deployment from '../src/deployment.js'
import * as engineSpeeds from '../src/engine-speeds.js'
import * as systemModule from '../src/system.js'
import * as waitUntil from '../src/wait-until.js'
import * as sceneModule from './scene.js'

const LIST_LAG_MS = 500
const LEAVING_LIMIT_MS = 3_000
const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6', 'engine-7', 'engine-8'] as const
/** An engine that checks fencing numbers, and one that does not. */
const CHECKING = 'engine-1'
const UNCHECKING = 'engine-2'
const STREAMS = 16

let scene: sceneModule.Scene
const suite = uvu.suite('failures of targets')

function withFencing (one: document.serviceDocument.ServiceDocument): document.serviceDocument.ServiceDocument {
  return { ...one, targets: one.targets.map((target) => ({ ...target, checksFencing: target.name === CHECKING })) }
}

suite.before(async () => {
  const example = await deployment.readDeployment('atlasrenew')
  scene = await sceneModule.startScene({ vmListLagMs: LIST_LAG_MS, deployment: { ...example, documents: example.documents.map(withFencing) } })
})
suite.after(async () => { await sceneModule.closeScene(scene) })

async function setAll (targets: readonly string[], faults: object): Promise<void> {
  for (const target of targets) await scene.faults.set(target, faults)
}

/** Sends requests through all daemons, each with a content of its own. */
async function sendAll (request: call.Request, prefix: string, count: number): Promise<readonly call.Result[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => {
    const name = `${prefix}-${index}`
    const daemon = sceneModule.daemonAt(scene, index % scene.system.daemons().length)
    const one = sceneModule.named(scene, { ...request, promptText: `${name}: ${request.promptText}` }, name)
    return await scene.callers.send(one, request.nonIdempotent ? await sceneModule.steerFrom(scene, daemon, request.service) : { daemon, identity: undefined })
  }))
}

function addressOf (target: string): string {
  return scene.system.standin(target).address
}

async function order (target: string, fencing: string, version: string): Promise<number> {
  const response = await fetch(`http://${addressOf(target)}/orders`, { method: 'POST', body: JSON.stringify({ fencing, model: 'refurbish-8b', version, adapters: ['listings'], role: 'mixed' }) })
  return response.status
}

async function versionOf (target: string): Promise<string | undefined> {
  const loaded = await (await fetch(`http://${addressOf(target)}/orders`)).json() as { readonly version?: string }
  return loaded.version
}

async function awaitVersion (target: string): Promise<void> {
  await waitUntil.waitUntil(`${target} has loaded what its document says`, sceneModule.LIMIT_MS, async () => await versionOf(target) === '1' ? true : undefined)
}

// Daemons correct orders in rounds of many seconds, so the last test looks at what became of these.
suite('orders without a lease reach two engines', async () => {
  assert.is(await order(CHECKING, '0', 'old'), 200)
  assert.is(await order(UNCHECKING, '0', 'old'), 200)
})

suite('cut streams are resumed to their whole answer', async () => {
  await setAll(ENGINES, { cutNextStreams: 1 })
  const results = await sendAll({ ...sceneModule.QUESTION, answerTokens: 30 }, 'cut', STREAMS)
  assert.is(sceneModule.countOutcomes(results), `${STREAMS} answered`)
  await setAll(ENGINES, { cutNextStreams: 0 })
})

suite('bytes after the end are not passed on', async () => {
  await setAll(ENGINES, { extraBytes: 1 })
  assert.is(sceneModule.countOutcomes(await sendAll(sceneModule.QUESTION, 'extra', STREAMS)), `${STREAMS} answered`)
  await setAll(ENGINES, { extraBytes: 0 })
})

suite('a stream closed early is never passed off as whole', async () => {
  await setAll(ENGINES, { closeEarly: 100 })
  assert.is(sceneModule.countOutcomes(await sendAll(sceneModule.QUESTION, 'early', STREAMS)), `${STREAMS} refused answer-incomplete`)
  await setAll(ENGINES, { closeEarly: 0 })
})

suite('a stalled stream harms no other, and ends with its caller', async () => {
  await setAll(ENGINES, { stallNextStreams: 100 })
  const leaving = new AbortController()
  const request = sceneModule.named(scene, { ...sceneModule.QUESTION, answerTokens: 40 }, 'stalled')
  const stalled = scene.callers.send(request, { daemon: sceneModule.daemonAt(scene, 0), identity: undefined }, leaving.signal)
  await sceneModule.awaitRun(scene, 'stalled')
  await sceneModule.wait(500)
  await setAll(ENGINES, { stallNextStreams: 0 })
  assert.is(sceneModule.countOutcomes(await sendAll(sceneModule.QUESTION, 'beside', STREAMS)), `${STREAMS} answered`)
  leaving.abort()
  assert.is((await stalled).outcome, 'disconnected')
  await waitUntil.waitUntil('the stalled run is cancelled', sceneModule.LIMIT_MS, async () => (await sceneModule.runsOf(scene, 'stalled')).every((run) => run.endedAtMs !== undefined) ? true : undefined)
})

suite('connections reset before, during and after a reservation lead to no second run', async () => {
  const results: call.Result[] = []
  for (const reset of ['before', 'during', 'after'] as const) {
    await setAll(sceneModule.STOCK, { resetNext: [reset] })
    results.push(...await sendAll(sceneModule.RESERVATION, `reset-${reset}`, 8))
    await setAll(sceneModule.STOCK, { resetNext: [] })
  }
  console.log(sceneModule.countOutcomes(results))
  assert.ok(results.every((result) => result.outcome === 'answered' || result.outcome === 'refused'))
})

/** An identity of the daemon itself, wherever it sends other callers. */
async function ownIdentity (daemonIndex: number): Promise<callers.Steer> {
  const daemon = sceneModule.daemonAt(scene, daemonIndex)
  return await waitUntil.waitUntil(`daemon ${daemonIndex} names itself`, sceneModule.LIMIT_MS, async () => {
    const steer = await scene.callers.steer(daemon, sceneModule.QUESTION.service)
    return steer?.daemon === daemon ? steer : undefined
  })
}

suite('a request that crashes its targets is refused everywhere, and innocent ones are cleared', async () => {
  const innocent: call.Request = { ...sceneModule.QUESTION, answerTokens: 150 }
  const crashing: call.Request = { ...sceneModule.QUESTION, promptText: engineSpeeds.CRASH_MARKER, unnamedBody: true }
  const inFlight = sendAll(innocent, 'innocent', STREAMS)
  const identities: string[] = []
  /** Sends the content once more; the owner of the identity refuses or runs it. */
  async function crash (daemonIndex: number): Promise<call.Result> {
    const steer = await ownIdentity(daemonIndex)
    identities.push(steer.identity)
    return await scene.callers.send(sceneModule.named(scene, crashing, steer.identity), steer)
  }
  for (const index of [0, 1, 2]) {
    await waitUntil.waitUntil(`daemon ${index} refuses the content`, sceneModule.LIMIT_MS, async () => (await crash(index)).reason === 'suspect-refused' ? true : undefined)
  }
  const runs = (await Promise.all(identities.map((name) => sceneModule.runsOf(scene, name)))).flat().length
  console.log(`sent ${identities.length} times, crashed ${runs} targets; in flight beside it: ${sceneModule.countOutcomes(await inFlight)}`)
  // The same innocent contents are sent again, as their callers do.
  const again = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    const content = scene.requests.get(`innocent-${index}`) ?? innocent
    return await scene.callers.send(sceneModule.named(scene, content, `again-${index}`), { daemon: sceneModule.daemonAt(scene, index % 3), identity: undefined })
  }))
  assert.is(sceneModule.countOutcomes(again), `${STREAMS} answered`)
  for (const index of [0, 1, 2]) assert.is((await crash(index)).reason, 'suspect-refused')
})

suite('a leaving target gets nothing new, whatever the list says afterwards', async () => {
  const traffic = sceneModule.startTraffic(scene, 'leaving-', 25)
  await sceneModule.wait(1_500)
  await scene.faults.listTargets(new Set(['engine-6', 'stock-1']))
  await sceneModule.wait(LEAVING_LIMIT_MS)
  for (const answer of ['empty', 'short', 'true'] as const) {
    await scene.faults.set('vm-list', { answer })
    await sceneModule.wait(1_500)
  }
  await traffic.stop()
  const statuses = await Promise.all(scene.system.daemons().map(sceneModule.readStatus))
  for (const status of statuses) assert.equal([...status?.leavingTargets ?? []].sort(), ['engine-6', 'stock-1'])
  assert.ok(traffic.results().filter((result) => result.outcome === 'answered').length > 0)
  await sceneModule.assertKept(scene)
  console.log(sceneModule.countOutcomes(traffic.results()))
})

suite('under a list that says both of all targets, none gets anything new', async () => {
  for (const target of systemModule.loggedTargets(scene.system)) scene.recorder.record({ kind: 'target-leaving', target: target.name })
  await scene.faults.set('vm-list', { answer: 'contradictory' })
  await sceneModule.wait(LEAVING_LIMIT_MS)
  const results = await sendAll({ ...sceneModule.QUESTION, deadlineMs: 1_000 }, 'contradicted', 6)
  assert.ok(results.every((result) => result.outcome === 'refused'), sceneModule.countOutcomes(results))
  await sceneModule.assertKept(scene)
})

suite('late orders are refused by an engine that checks, and corrected at one that does not', async () => {
  await awaitVersion(CHECKING)
  assert.is(await order(CHECKING, '0', 'late'), 409)
  assert.is(await versionOf(CHECKING), '1')
  await awaitVersion(UNCHECKING)
})

suite.run()
