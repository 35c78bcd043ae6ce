/**
 * Targets that start again under their id with other software, after a request was placed there and before its first event.
 */
import type * as http from 'node:http'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

let fixture: fixtureModule.Fixture
const suite = uvu.suite('restarted targets')

suite.before.each(async () => {
  fixture = await fixtureModule.openFixture(2)
  for (const id of ['i-1', 'i-2']) registerStart(id, 'v1', 1_000)
})
suite.after.each(async () => { await fixture.close() })

/** Time for which a caller receives a stream before it leaves, ms. */
const STAY_MS = 150

let revision = 10

/** Registers a start of a target. */
function registerStart (id: string, version: string, startedMs: number): void {
  const target = fixture.gateway.sharedState().targets.find((versioned) => versioned.id === id)?.target
  revision += 1
  if (target !== undefined) fixture.gateway.applyTarget({ id, era: 1, revision, report: { startedMs, sequence: 1 }, target: { ...target, version } }, 'test')
}

function removeEntry (id: string): void {
  revision += 1
  fixture.gateway.applyTarget({ id, era: 1, revision, target: undefined }, 'test')
}

interface Breaks { readonly breaksOff: boolean }

function sendEvent (arrival: fixtureModule.Arrival, response: http.ServerResponse, version: string, { breaksOff }: Breaks): void {
  fixtureModule.beginStream(arrival, response)
  response.write(`id: ${Number(arrival.headers['last-event-id'] ?? 0) + 1}\ndata: ${version}\n\n`)
  if (breaksOff) setTimeout(() => { response.socket?.destroy() }, 20)
}

/** The target of the first arrival has started again as v2 by then; the other one is v1. */
function scriptRestart (breaks: Breaks): void {
  let restarted: string | undefined
  fixture.script((arrival, response) => {
    if (restarted === undefined) registerStart(arrival.target, 'v2', 2_000)
    restarted ??= arrival.target
    sendEvent(arrival, response, arrival.target === restarted ? 'v2' : 'v1', breaks)
  })
}

function versionsIn (...replies: readonly fixtureModule.Reply[]): readonly string[] {
  return [...new Set(replies.flatMap(({ body }) => [...body.matchAll(/data: (\w+)/g)].map(([, version = '']) => version)))]
}

suite('a stream that a restarted target begins is not continued at the version from before its restart', async () => {
  scriptRestart({ breaksOff: true })
  const reply = await fixture.call('/generate/7')
  assert.is(versionsIn(reply).length, 1, reply.body)
})

suite('a stream that is begun again after a restart of its target has its first event', async () => {
  scriptRestart({ breaksOff: false })
  const reply = await fixture.call('/generate/7', { disconnectAfterMs: STAY_MS })
  assert.match(reply.body, /^id: 1\n/)
})

suite('a stream that a restarted target begins is not resumed by its caller at the version from before its restart', async () => {
  scriptRestart({ breaksOff: false })
  const begun = await fixture.call('/generate/7', { headers: { 'request-id': 'begun' }, disconnectAfterMs: STAY_MS })
  const resumed = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: 'begun' }, disconnectAfterMs: STAY_MS })
  assert.is(versionsIn(begun, resumed).length, 1, begun.body + resumed.body)
})

suite('a stream does not end as complete where a restarted target has nothing left of it', async () => {
  fixture.script((arrival, response) => { sendEvent(arrival, response, 'v1', { breaksOff: false }) })
  await fixture.call('/generate/7', { headers: { 'request-id': 'begun' }, disconnectAfterMs: STAY_MS })
  fixture.script((arrival, response) => {
    registerStart(arrival.target, 'v2', 2_000)
    fixtureModule.beginStream(arrival, response)
    response.end()
  })
  const resumed = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: 'begun' } })
  assert.is.not(resumed.status, 200)
})

suite('a resumed stream does not go on at a target without an entry, which may have any version', async () => {
  fixture.script((arrival, response) => { sendEvent(arrival, response, 'v1', { breaksOff: false }) })
  await fixture.call('/generate/7', { headers: { 'request-id': 'begun' }, disconnectAfterMs: STAY_MS })
  for (const id of ['i-1', 'i-2']) removeEntry(id)
  const resumed = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: 'begun' }, disconnectAfterMs: STAY_MS })
  assert.is(resumed.body, '')
})

suite('a resumed stream is not continued by a target that has started again with another version', async () => {
  fixture.script((arrival, response) => { sendEvent(arrival, response, 'v1', { breaksOff: false }) })
  const begun = await fixture.call('/generate/7', { headers: { 'request-id': 'begun' }, disconnectAfterMs: STAY_MS })
  scriptRestart({ breaksOff: false })
  const resumed = await fixture.call('/generate/7', { headers: { 'last-event-id': '1', resumes: 'begun' }, disconnectAfterMs: STAY_MS })
  assert.equal(versionsIn(begun, resumed), ['v1'], begun.body + resumed.body)
})

suite.run()
