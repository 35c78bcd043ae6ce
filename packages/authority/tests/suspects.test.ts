import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as protocol from '@persimmonhatch/protocol'
import * as fixture from './fixture.js'

const suspects = uvu.suite('suspects')

function createDriver (): fixture.Driver {
  return new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2'] })]).replyToCollects()
}

function releaseCrashed (driver: fixture.Driver, ...numbers: readonly number[]): void {
  for (const number of numbers) driver.deliver('e1', fixture.releaseOf(number, { outcome: 'crashed' }))
}

function suspectUpdates (driver: fixture.Driver): readonly (readonly [string, string, number])[] {
  return driver.updates.filter((update): update is protocol.SuspectUpdate => update.kind === 'suspect').map((update) => [update.fingerprint, update.state, update.crashes])
}

/** Submits requests until two run on the same target; returns their numbers. */
function submitUntilPair (driver: fixture.Driver): readonly [number, number] {
  const targets = new Map<string, number>()
  for (let number = 1; number < 10; number++) {
    const [grant] = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(number, { round: driver.nowMs })), 'grant')
    const other = targets.get(grant?.target ?? '')
    if (other !== undefined) return [other, number]
    targets.set(grant?.target ?? '', number)
  }
  throw new Error('no two requests run on the same target')
}

suspects('marks each request in flight at a crash once, however many of them are reported as crashed', () => {
  const driver = createDriver()
  const [first, second] = submitUntilPair(driver)
  releaseCrashed(driver, first, second)
  assert.equal([...suspectUpdates(driver)].sort(), [[`f${first}`, 'suspect', 1], [`f${second}`, 'suspect', 1]].sort())
})

suspects('clears the suspect that finishes, and refuses everywhere the one that crashes a target while running alone', () => {
  const driver = createDriver()
  const [first, second] = submitUntilPair(driver)
  releaseCrashed(driver, first, second)
  driver.advance(1_500)
  for (const fingerprint of [`f${first}`, `f${second}`]) driver.deliver('e2', fixture.slotRequestOf(first === Number(fingerprint.slice(1)) ? 50 : 51, { fingerprint, round: driver.nowMs }))
  driver.advance(200)
  const granted = fixture.messagesOf(driver.sent, 'grant').filter((grant) => grant.ask >= 50)
  assert.equal(granted.map((grant) => grant.ask), [50])
  driver.deliver('e2', fixture.releaseOf(50))
  driver.advance(200)
  driver.deliver('e2', fixture.releaseOf(51, { outcome: 'crashed' }))
  assert.equal(suspectUpdates(driver).slice(2), [[`f${first}`, 'cleared', 0], [`f${second}`, 'refused', 2]])
  const [refusal] = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(60, { fingerprint: `f${second}`, round: driver.nowMs })), 'refusal')
  assert.equal([refusal?.reason, refusal?.figures.crashes, refusal?.figures.remainingS], ['suspect-refused', 2, 600])
})

suspects('applies updates of other pools, but only newer versions', () => {
  const driver = createDriver()
  const update = { kind: 'suspect' as const, fingerprint: 'f7', version: 3, state: 'refused' as const, crashes: 2, remainingMs: 60_000 }
  driver.handle({ kind: 'suspect', update })
  driver.handle({ kind: 'suspect', update: { ...update, version: 2, state: 'cleared' } })
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(7)), 'refusal').map((refusal) => refusal.reason), ['suspect-refused'])
  driver.advance(60_100)
  assert.is(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(8, { fingerprint: 'f7', round: driver.nowMs })), 'grant').length, 1)
})

suspects('probes a failed target with one request at a time, later after each failure', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1'] })]).replyToCollects()
  driver.deliver('e1', fixture.slotRequestOf(1, { round: driver.nowMs }))
  driver.deliver('e1', fixture.releaseOf(1, { outcome: 'unreachable' }))
  for (const number of [2, 3]) driver.deliver('e1', fixture.slotRequestOf(number, { round: driver.nowMs }))
  assert.equal(fixture.messagesOf(driver.advance(900), 'grant'), [])
  assert.equal(fixture.messagesOf(driver.advance(300), 'grant').map((grant) => grant.ask), [2])
  driver.deliver('e1', fixture.releaseOf(2, { outcome: 'unreachable' }))
  assert.equal(fixture.messagesOf(driver.advance(1_800), 'grant'), [])
  assert.equal(fixture.messagesOf(driver.advance(300), 'grant').map((grant) => grant.ask), [3])
  driver.deliver('e1', fixture.releaseOf(3))
  assert.is(driver.core.status().targets[0]?.state, 'serving')
})

suspects.run()
