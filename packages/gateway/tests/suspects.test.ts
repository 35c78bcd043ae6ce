/**
 * Requests that crash the targets which begin to answer them.
 */
import type * as http from 'node:http'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('suspects at the gateway')

const TARGETS = 4

let fixture: fixtureModule.Fixture

/** Ends the connection at a request with a tainted segment or body, and answers all others. */
function crashOnTainted (arrival: fixtureModule.Arrival, response: http.ServerResponse): void {
  if (String(arrival.headers['prompt-parts']).includes('tainted') || arrival.body === 'tainted') response.socket?.destroy()
  else response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: 'p' }).end('answer')
}

suite.before.each(async () => {
  fixture = await fixtureModule.openFixture(TARGETS)
  fixture.script(crashOnTainted)
})
suite.after.each(async () => { await fixture.close() })

async function statusOf (promptParts: string, body: string): Promise<number> {
  return (await fixture.call('/answer/7', { method: 'POST', headers: { 'prompt-parts': promptParts, tokens: '1,1' }, body })).status
}

suite('a segment that crashes targets in different requests is refused before it reaches another, and sound requests are not', async () => {
  for (const body of ['1', '2', '3']) assert.is(await statusOf(`shared:1,tainted:2,own${body}:3`, body), 502)
  const arrivals = fixture.arrivals.length
  assert.is(await statusOf('shared:1,tainted:2,own4:3', '4'), 503)
  assert.is(fixture.arrivals.length, arrivals)
  assert.is(await statusOf('shared:1,own5:3', '5'), 200)
})

suite('the last segment of a prompt is no evidence', async () => {
  for (const body of ['1', '2', '3', '4']) assert.is(await statusOf(`first${body}:1,tainted:3`, body), 502)
  assert.is(await statusOf('first1:1,own:3', '5'), 200)
})

suite('a content that crashes targets is refused when it comes again, whatever request it is', async () => {
  for (let call = 1; call <= 3; call += 1) assert.is(await statusOf('', 'tainted'), 502)
  assert.is(await statusOf('', 'tainted'), 503)
  assert.is(await statusOf('', 'sound'), 200)
})

suite('a request that waits for a slot while one of its segments becomes refused is not sent', async () => {
  const held: http.ServerResponse[] = []
  fixture.script((arrival, response) => {
    if (arrival.body === 'held') held.push(response)
    else crashOnTainted(arrival, response)
  })
  const holding = Array.from({ length: TARGETS * 6 }, () => statusOf('other:1,own:1', 'held'))
  while (held.length < TARGETS * 6) await fixtureModule.wait(5)
  const waiting = statusOf('shared:1,tainted:2,own9:3', '9')
  const crashes = [1, 2, 3].map((index) => [`i-${index}`, 1_100 - 300 * index, 1_000 - 300 * index, `c${index}`, 'shared', 'tainted'])
  await fixtureModule.sendDatagram(fixture.peerAddress, fixtureModule.reportOf({ suspects: { crashes } }))
  await fixtureModule.wait(50)
  for (const response of held) response.writeHead(200, { 'request-id': String(response.req.headers['request-id']), proof: 'p' }).end('answer')
  assert.is(await waiting, 503)
  assert.not.ok(fixture.arrivals.some(({ body }) => body === '9'))
  await Promise.all(holding)
})

suite.run()
