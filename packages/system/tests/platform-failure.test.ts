import type * as document from '@persimmonhatch/document'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as operators from '../src/operators.js'
import * as revisions from '../src/revisions.js'
import * as waitUntil from '../src/wait-until.js'
import * as fixtureModule from './fixture.js'

const DONE_CODE = 0
const CONFLICT_CODE = 4
const PLATFORM_UNREACHABLE_CODE = 5
const NOT_IN_FORCE_CODE = 8

let fixture: fixtureModule.Fixture
let observation: revisions.Observation
const suite = uvu.suite('failures of the platform')

suite.before(async () => {
  fixture = await fixtureModule.startFixture({})
  observation = revisions.observeRevisions(fixture.system, fixture.recorder)
})
suite.after(async () => { await fixtureModule.closeFixture(fixture) })

/** Returns the document of a service with another wait limit, so that every change differs. */
function withMaxWait (service: string, maxWaitMs: number): document.serviceDocument.ServiceDocument {
  const current = fixture.system.documents.find((each) => each.service === service)
  if (current === undefined) throw new Error(`There is no service ${service}.`)
  return { ...current, tiers: current.tiers.map((tier) => ({ ...tier, maxWaitMs })) }
}

function apply (service: string, maxWaitMs: number, overrides: Partial<operators.Change> = {}): Promise<operators.ToolResult> {
  return operators.applyChange(fixture.system, fixture.recorder, { document: withMaxWait(service, maxWaitMs), operator: 'ana', ...overrides })
}

async function acceptedRevision (service: string): Promise<number> {
  const accepted = await revisions.readAcceptedChanges(fixture.system)
  return Math.max(...accepted.filter((fact) => fact.service === service).map((fact) => fact.revision))
}

async function awaitInForce (service: string, revision: number): Promise<void> {
  await waitUntil.waitUntil(`revision ${revision} of ${service} is in force everywhere`, fixtureModule.WAIT_TIMEOUT_MS, async () => {
    const statuses = await Promise.all(fixture.system.daemons().map(fixtureModule.readStatus))
    const inForce = statuses.map((status) => status?.services.find((each) => each.service === service)?.revision ?? 0)
    return inForce.every((each) => each === revision) ? true : undefined
  })
}

suite('apply reports a change as done when the response to its write was lost', async () => {
  await fixture.faults.setFaults('key-value', { loseNextAnswers: 1 })
  const { code, text } = await apply('support', 9_001)
  assert.is(code, DONE_CODE, text)
  assert.is(await acceptedRevision('support'), 2)
  await awaitInForce('support', 2)
})

for (const [name, outage] of [['refuses connections', 'refuse'], ['hangs', 'hang'], ['responds with errors', 'error']] as const) {
  suite(`apply reports that nothing was written while the platform ${name}, and requests are still served`, async () => {
    await fixture.faults.setFaults('key-value', { outage })
    const { code, text } = await apply('support', 9_002)
    assert.is(code, PLATFORM_UNREACHABLE_CODE, text)
    const result = await fixture.callers.send(fixtureModule.registerRequest(fixture, fixtureModule.QUESTION, `outage-${outage}`), { daemon: fixtureModule.daemonAt(fixture, 0), identity: undefined })
    assert.is(result.outcome, 'answered')
    await fixture.faults.setFaults('key-value', { outage: 'none' })
    assert.is(await acceptedRevision('support'), 2)
  })
}

suite('a change through a slow platform takes effect', async () => {
  await fixture.faults.setFaults('key-value', { delayMs: 500 })
  const { code, text } = await apply('support', 9_003)
  await fixture.faults.setFaults('key-value', { delayMs: 0 })
  assert.is(code, DONE_CODE, text)
  await awaitInForce('support', 3)
})

suite('one of two concurrent changes to the same revision gets a conflict', async () => {
  const reports = await Promise.all([
    apply('listings', 50_001, { operator: 'ana', expectedRevision: 1 }),
    apply('listings', 50_002, { operator: 'berta', expectedRevision: 1 })
  ])
  assert.equal(reports.map((report) => report.code).sort(), [DONE_CODE, CONFLICT_CODE], reports.map((report) => report.text).join('\n'))
  assert.is(await acceptedRevision('listings'), 2)
  await awaitInForce('listings', 2)
})

suite('apply names a suspended daemon, which catches up when it resumes', async () => {
  const daemon = fixtureModule.daemonAt(fixture, 2)
  // Suspended until the tool has ended, however long the tool takes to start.
  const resume = fixture.faults.suspend(daemon)
  const { code, text } = await apply('support', 9_004, { waitS: 1 })
  resume()
  assert.is(code, NOT_IN_FORCE_CODE, text)
  assert.match(text, daemon.address)
  await awaitInForce('support', 4)
})

suite('a daemon that starts during an outage fetches the documents from other daemons and serves', async () => {
  const { name } = fixtureModule.daemonAt(fixture, 2)
  await fixture.faults.setFaults('key-value', { outage: 'refuse' })
  await fixture.faults.kill(fixtureModule.daemonAt(fixture, 2))
  await fixture.faults.restart(name)
  const started = fixtureModule.daemonAt(fixture, 2)
  for (const [index, request] of [fixtureModule.QUESTION, fixtureModule.STOCK_CHECK].entries()) {
    const result = await fixture.callers.send(fixtureModule.registerRequest(fixture, request, `started-${index}`), { daemon: started, identity: undefined })
    assert.is(result.outcome, 'answered', result.reason)
  }
  await awaitInForce('support', 4)
  await awaitInForce('listings', 2)
  await fixture.faults.setFaults('key-value', { outage: 'none' })
})

suite('daemons keep the newer documents when the platform is restored to older content', async () => {
  const { writes } = await (await fetch(`http://${fixture.system.standin('key-value').controlAddress}/standin/log`)).json() as { readonly writes: readonly { readonly revision: number, readonly key: string }[] }
  const previousWrite = writes.filter((write) => write.key.endsWith('/support')).at(-2)
  await fixture.faults.setFaults('key-value', { restoreOlder: previousWrite?.revision ?? 1 })
  await fixtureModule.wait(3_000)
  await awaitInForce('support', 4)
  const { code, text } = await apply('support', 9_005)
  assert.is(code, DONE_CODE, text)
  await awaitInForce('support', 5)
})

suite('the history violates no guarantee', async () => {
  await observation.stop()
  for (const fact of await revisions.readAcceptedChanges(fixture.system)) fixture.recorder.recordAt(fact)
  await fixtureModule.assertNoViolations(fixture)
})

suite.run()
