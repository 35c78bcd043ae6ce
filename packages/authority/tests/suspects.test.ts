import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as protocol from '@persimmonhatch/protocol'
import * as fixture from './fixture.js'

const suspects = uvu.suite('suspects')

function driverOf (): fixture.Driver {
  return new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2'] })]).settle()
}

function crash (driver: fixture.Driver, ...asks: readonly number[]): void {
  for (const ask of asks) driver.deliver('e1', fixture.releaseOf(ask, { outcome: 'crashed' }))
}

function states (driver: fixture.Driver): readonly (readonly [string, string, number])[] {
  return driver.news.filter((news): news is protocol.SuspectNews => news.kind === 'suspect').map((news) => [news.fingerprint, news.state, news.crashes])
}

/** Asks until two requests run on the same target; gives their numbers. */
function pairOnOneTarget (driver: fixture.Driver): readonly [number, number] {
  const targets = new Map<string, number>()
  for (let ask = 1; ask < 10; ask++) {
    const [grant] = fixture.only(driver.deliver('e1', fixture.askOf(ask, { round: driver.nowMs })), 'grant')
    const other = targets.get(grant?.target ?? '')
    if (other !== undefined) return [other, ask]
    targets.set(grant?.target ?? '', ask)
  }
  throw new Error('no pair')
}

suspects('counts all requests in flight at a crash once, whatever number of them is reported', () => {
  const driver = driverOf()
  const [first, second] = pairOnOneTarget(driver)
  crash(driver, first, second)
  assert.equal([...states(driver)].sort(), [[`f${first}`, 'suspect', 1], [`f${second}`, 'suspect', 1]].sort())
})

suspects('clears the innocent, and refuses the one that crashes a target alone, everywhere', () => {
  const driver = driverOf()
  const [first, second] = pairOnOneTarget(driver)
  crash(driver, first, second)
  driver.pass(1_500)
  for (const fingerprint of [`f${first}`, `f${second}`]) driver.deliver('e2', fixture.askOf(first === Number(fingerprint.slice(1)) ? 50 : 51, { fingerprint, round: driver.nowMs }))
  driver.pass(200)
  const granted = fixture.only(driver.sent, 'grant').filter((grant) => grant.ask >= 50)
  assert.equal(granted.map((grant) => grant.ask), [50])
  driver.deliver('e2', fixture.releaseOf(50))
  driver.pass(200)
  driver.deliver('e2', fixture.releaseOf(51, { outcome: 'crashed' }))
  assert.equal(states(driver).slice(2), [[`f${first}`, 'cleared', 0], [`f${second}`, 'refused', 2]])
  const [refusal] = fixture.only(driver.deliver('e1', fixture.askOf(60, { fingerprint: `f${second}`, round: driver.nowMs })), 'refusal')
  assert.equal([refusal?.reason, refusal?.figures.crashes, refusal?.figures.remainingS], ['suspect-refused', 2, 600])
})

suspects('takes news of other pools, newer versions alone', () => {
  const driver = driverOf()
  const news = { kind: 'suspect' as const, fingerprint: 'f7', version: 3, state: 'refused' as const, crashes: 2, remainingMs: 60_000 }
  driver.handle({ kind: 'suspect', news })
  driver.handle({ kind: 'suspect', news: { ...news, version: 2, state: 'cleared' } })
  assert.equal(fixture.only(driver.deliver('e1', fixture.askOf(7)), 'refusal').map((refusal) => refusal.reason), ['suspect-refused'])
  driver.pass(60_100)
  assert.is(fixture.only(driver.deliver('e1', fixture.askOf(8, { fingerprint: 'f7', round: driver.nowMs })), 'grant').length, 1)
})

suspects('probes a failed target with one request at a time, later after each failure', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1'] })]).settle()
  driver.deliver('e1', fixture.askOf(1, { round: driver.nowMs }))
  driver.deliver('e1', fixture.releaseOf(1, { outcome: 'unreachable' }))
  for (const ask of [2, 3]) driver.deliver('e1', fixture.askOf(ask, { round: driver.nowMs }))
  assert.equal(fixture.only(driver.pass(900), 'grant'), [])
  assert.equal(fixture.only(driver.pass(300), 'grant').map((grant) => grant.ask), [2])
  driver.deliver('e1', fixture.releaseOf(2, { outcome: 'unreachable' }))
  assert.equal(fixture.only(driver.pass(1_800), 'grant'), [])
  assert.equal(fixture.only(driver.pass(300), 'grant').map((grant) => grant.ask), [3])
  driver.deliver('e1', fixture.releaseOf(3))
  assert.is(driver.core.status().targets[0]?.state, 'serving')
})

suspects.run()
