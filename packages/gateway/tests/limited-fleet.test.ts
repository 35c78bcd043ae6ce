/**
 * Targets that name a limit of requests per second, at a small fleet of daemons.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rawHeaders from '../src/raw-headers.js'
import * as limitedLoad from './limited-load.js'

const suite = uvu.suite('limited fleet')

for (const [description, scenario] of limitedLoad.SCENARIOS.filter(([, { daemons }]) => daemons <= limitedLoad.SMALL.daemons)) {
  suite(`targets in need get no more requests than their limit allows: ${description}`, () => {
    const { worst } = limitedLoad.play(scenario, 23)
    assert.ok(worst.excess <= 0, worst.description)
  })
}

suite('requests go to the other targets while one is limited', () => {
  const { replies } = limitedLoad.play({ ...limitedLoad.SMALL, limitOf: limitedLoad.onlyBelow(1, 0.4) }, 23)
  assert.is(limitedLoad.servedShare(replies), 1)
})

for (const limit of [0.4, 2.8, 10]) {
  suite(`targets that are all limited to ${limit} a second are used, and the rest is refused with a Retry-After`, () => {
    const { replies, receivedBetween } = limitedLoad.play({ ...limitedLoad.SMALL, limitOf: limitedLoad.onlyBelow(8, limit) }, 23)
    for (let target = 0; target < limitedLoad.SMALL.targets; target += 1) {
      const requests = receivedBetween(target, 4_000, 14_000)
      // Two thirds of what the limit allows in 10 s, which is above the demand for the highest one.
      assert.ok(requests >= Math.min(limit, limitedLoad.SMALL.perS / limitedLoad.SMALL.targets) * 10 * 2 / 3 - 1, `target ${target}: ${requests} requests`)
    }
    for (const reply of replies.filter((each) => each.status() === 503)) assert.ok(Number(rawHeaders.findHeader(reply.headers(), 'retry-after')) > 0)
  })
}

for (const limit of [0, 0.05, 2.8]) {
  suite(`a target is used again after its limit of ${limit} a second has ended`, () => {
    const { receivedBetween } = limitedLoad.play({ ...limitedLoad.SMALL, durationMs: 24_000, limitOf: (target, sinceMs) => target === 0 && sinceMs < 8_000 ? limit : undefined }, 23)
    const others = receivedBetween(1, 16_000, 24_000)
    assert.ok(receivedBetween(0, 16_000, 24_000) >= others / 2, `${receivedBetween(0, 16_000, 24_000)} requests, ${others} at another target`)
  })
}

suite.run()
