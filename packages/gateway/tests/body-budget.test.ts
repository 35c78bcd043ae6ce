/**
 * Memory for the bodies of requests.
 */
import * as http from 'node:http'
import * as gateway from '@persimmonhatch/gateway'
import * as fastCheck from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as bodyBudget from '../src/body-budget.js'
import * as fixtureModule from './fixture.js'

const suite = uvu.suite('body budget')

const SEED = 36
const MAX_BYTES = 1_000
const CHUNK_BYTES = 100

/** One body of the simulation; `leftBytes` are still to be read. */
interface Body {
  readonly account: bodyBudget.Account
  readonly isPaused: () => boolean
  readonly leftBytes: number
}

/** Reads bodies of these sizes, in an order that the choices decide, and returns the most bytes that were held. */
function simulate (sizes: readonly number[], choices: readonly number[]): number {
  const budget = bodyBudget.createBodyBudget(MAX_BYTES)
  const held = new Map<number, number>()
  let most = 0
  let bodies: ReadonlyMap<number, Body> = new Map(sizes.map((leftBytes, id) => {
    let isPaused = false
    const account = budget.open({ pause: () => { isPaused = true }, resume: () => { isPaused = false } })
    return [id, { account, isPaused: () => isPaused, leftBytes }]
  }))
  for (let step = 0; bodies.size > 0; step += 1) {
    const movable = [...bodies].filter(([, { leftBytes, isPaused }]) => leftBytes === 0 || !isPaused())
    const [id, body] = movable[(choices[step % choices.length] ?? 0) % movable.length] ?? []
    if (id === undefined || body === undefined) throw new Error('No body can be read and none can end.')
    if (body.leftBytes === 0) {
      body.account.end()
      held.delete(id)
      bodies = new Map([...bodies].filter(([other]) => other !== id))
      continue
    }
    const bytes = Math.min(CHUNK_BYTES, body.leftBytes)
    held.set(id, (held.get(id) ?? 0) + bytes)
    most = Math.max(most, [...held.values()].reduce((sum, each) => sum + each, 0))
    bodies = new Map(bodies).set(id, { ...body, leftBytes: body.leftBytes - bytes })
    body.account.count(bytes)
    if (body.leftBytes === bytes) body.account.complete()
  }
  return most
}

// Bodies within the limit drove every daemon over its memory, as nothing bounded their sum (review/5).
suite('bodies of any sizes are all read, and hold no more than the bound, one body and a chunk of each', () => {
  const sizes = fastCheck.array(fastCheck.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 30 })
  fastCheck.assert(fastCheck.property(sizes, fastCheck.array(fastCheck.nat(), { minLength: 1, maxLength: 50 }), (bodies, choices) => {
    assert.ok(simulate(bodies, choices) <= MAX_BYTES + 400 + CHUNK_BYTES * bodies.length)
  }), { seed: SEED })
})

const BODY_BYTES = 4_000_000
const CALLERS = 30

function send (frontAddress: string, id: number): Promise<number> {
  const { host, port } = gateway.endpoint.parseEndpoint(frontAddress)
  return new Promise((resolve) => {
    const request = http.request({ host, port, path: '/write/7', method: 'POST', headers: { host: 'shop.example', key: 'k-1', 'request-id': `large-${id}`, 'remaining-ms': '60000', 'content-length': BODY_BYTES }, agent: false })
    request.on('response', (response) => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    request.on('error', () => { resolve(0) })
    request.end(Buffer.alloc(BODY_BYTES))
  })
}

suite('requests for whose bodies there is no room for a second are refused as not run; those with room are served', async () => {
  const routes = fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: 60_000, targetLatencyMs: 60_000 }))
  const fixture = await fixtureModule.openFixture(1, { ...fixtureModule.DOCUMENT, routes, limits: { ...fixtureModule.DOCUMENT.limits, bodyBytes: BODY_BYTES } })
  const release: (() => void)[] = []
  fixture.script((arrival, response) => { release.push(() => { fixtureModule.respondComplete(arrival, response) }) })
  const replies = Array.from({ length: CALLERS }, (_, id) => send(fixture.frontAddress, id))
  assert.is(await Promise.race(replies), 503)
  const timer = setInterval(() => { for (const respond of release.splice(0)) respond() }, 20)
  const statuses = await Promise.all(replies)
  clearInterval(timer)
  assert.equal([...new Set(statuses)].sort(), [200, 503])
  assert.is(statuses.filter((status) => status === 200).length, fixture.arrivals.length)
  fixture.script((arrival, response) => { fixtureModule.respondComplete(arrival, response) })
  assert.is(await send(fixture.frontAddress, CALLERS), 200)
  await fixture.close()
})

suite.run()
