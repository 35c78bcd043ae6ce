/**
 * Targets that name a limit of requests per second, at a large fleet of daemons.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as limitedLoad from './limited-load.js'

const suite = uvu.suite('limited large fleet')

for (const [description, scenario] of limitedLoad.SCENARIOS.filter(([, { daemons }]) => daemons > limitedLoad.SMALL.daemons)) {
  suite(`targets in need get no more requests than their limit allows: ${description}`, () => {
    const { worst } = limitedLoad.play(scenario, 23)
    assert.ok(worst.excess <= 0, worst.description)
  })
}

suite.run()
