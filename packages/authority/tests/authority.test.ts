import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixture from './fixture.js'

const grants = uvu.suite('grants')

function fillTargets (driver: fixture.Driver, tier: number, count = 40): readonly number[] {
  const numbers = Array.from({ length: count }, (_, index) => 1_000 + index)
  for (const number of numbers) driver.deliver('e1', fixture.slotRequestOf(number, { tier, round: driver.nowMs }))
  return fixture.messagesOf(driver.sent, 'grant').map((grant) => grant.ask)
}

grants('nothing before the entries have reported their holdings', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')])
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(1)), 'grant'), [])
  assert.equal(fixture.messagesOf(driver.replyToCollects().sent, 'grant').map((grant) => grant.ask), [1])
})

grants('after the settle time when an entry does not reply', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')])
  driver.deliver('e1', fixture.slotRequestOf(1))
  assert.equal(fixture.messagesOf(driver.advance(2_900), 'grant'), [])
  assert.is(fixture.messagesOf(driver.advance(200), 'grant').length, 1)
})

grants('with the highest round received and the figures of the decision', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  driver.deliver('e1', { kind: 'round', round: 9 })
  const [grant] = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(1, { round: 8 })), 'grant')
  assert.is(grant?.round, 9)
  for (const name of ['service', 'target', 'waitedMs', 'expectedMs', 'queueTokens', 'tokensInFlight', 'cachedTokens', 'slowdown']) {
    assert.ok(grant?.figures[name] !== undefined, name)
  }
})

grants('nothing on a stale round, and again once a fresh round arrives', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  const running = fillTargets(driver, 1)
  driver.nowMs += 1_500
  for (const number of running) driver.deliver('e1', fixture.releaseOf(number))
  assert.is(fixture.messagesOf(driver.sent, 'grant').length, running.length)
  driver.deliver('e1', { kind: 'round', round: driver.nowMs })
  assert.ok(fixture.messagesOf(driver.sent, 'grant').length > running.length)
})

grants('a higher tier before a lower one that arrived earlier', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  const running = fillTargets(driver, 1)
  assert.equal(fixture.messagesOf(driver.deliver('e2', fixture.slotRequestOf(1, { tier: 0, round: driver.nowMs })), 'grant'), [])
  driver.deliver('e1', fixture.releaseOf(running[0] ?? 0))
  assert.is(fixture.messagesOf(driver.sent, 'grant').at(-1)?.ask, 1)
})

grants('the headroom only to tiers above the lowest', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  fillTargets(driver, 2)
  assert.is(fixture.messagesOf(driver.deliver('e2', fixture.slotRequestOf(1, { tier: 1, round: driver.nowMs })), 'grant').length, 1)
  assert.is(fixture.messagesOf(driver.deliver('e2', fixture.slotRequestOf(2, { tier: 2, round: driver.nowMs })), 'grant').length, 0)
})

grants('again when the same slot request arrives twice, without a second slot', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  driver.deliver('e1', fixture.slotRequestOf(1))
  const resent = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(1, { round: 5 })), 'grant')
  assert.equal(resent.map((grant) => [grant.ask, grant.round]), [[1, 5]])
  assert.is(driver.core.status().targets.reduce((sum, target) => sum + target.requestsInFlight, 0), 1)
})

grants('nothing for a late copy of a slot request whose request has finished', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  driver.deliver('e1', fixture.slotRequestOf(1))
  driver.deliver('e1', fixture.releaseOf(1))
  assert.equal(driver.deliver('e1', fixture.slotRequestOf(1)), [])
})

grants('nothing on a leaving target, and withdraws grants that may not have been dispatched', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1'] })]).replyToCollects()
  driver.deliver('e1', fixture.slotRequestOf(1))
  const sent = driver.handle({ kind: 'target', update: { kind: 'target', target: 't1', version: 1, state: 'leaving' } })
  assert.equal(fixture.messagesOf(sent, 'revocation'), [{ kind: 'revocation', ask: 1, cause: 'withdrawn' }])
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(2)), 'grant'), [])
  assert.equal(fixture.messagesOf(driver.advance(6_000), 'refusal').map((refusal) => refusal.reason), ['no-target'])
})

const recovery = uvu.suite('recovery')

const HOLDING = { ask: 7, target: 't1', service: 'listings', organisation: 'north', tier: 1, promptTokens: 1_000, answerTokens: 200, nonIdempotent: false, fingerprint: 'f7', runningMs: 500 }

function countTokens (driver: fixture.Driver): number {
  return driver.core.status().targets.reduce((sum, target) => sum + target.tokensInFlight, 0)
}

recovery('counts holdings once, however often the entries report them', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects({ e1: [HOLDING] })
  const tokensBefore = countTokens(driver)
  assert.ok(tokensBefore > 0)
  driver.replyToCollects({ e1: [HOLDING] })
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(7)), 'refusal'), [])
  assert.is(countTokens(driver), tokensBefore)
  driver.deliver('e1', fixture.releaseOf(7))
  driver.replyToCollects({ e1: [HOLDING] })
  assert.is(countTokens(driver), 0)
})

recovery('starts again after the process was suspended, and keeps the slots still held', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects({ e1: [HOLDING] })
  driver.nowMs += 5_000
  assert.is(fixture.messagesOf(driver.handle({ kind: 'resumed' }), 'collect').length, 2)
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(8, { round: driver.nowMs })), 'grant'), [])
  const tokensBefore = countTokens(driver)
  driver.replyToCollects({ e1: [HOLDING] })
  assert.is(fixture.messagesOf(driver.sent, 'grant').length, 1)
  assert.ok(countTokens(driver) > tokensBefore)
})

recovery('keeps the slots of a vanished entry until their longest possible run is over', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  driver.deliver('e2', fixture.slotRequestOf(1, { deadlineMs: 10_000 }))
  driver.handle({ kind: 'members', entries: ['e1'], authorities: new Map([['east', fixture.AUTHORITY]]) })
  const tokensBefore = countTokens(driver)
  assert.ok(tokensBefore > 0)
  driver.advance(60_000)
  assert.is(countTokens(driver), tokensBefore)
  driver.advance(11_000)
  assert.is(countTokens(driver), 0)
})

recovery('ignores messages for other pools, from unknown senders and about unknown requests', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings')]).replyToCollects()
  const before = JSON.stringify(driver.core.status())
  assert.equal(driver.deliver('e1', fixture.slotRequestOf(1, { pool: 'west' })), [])
  assert.equal(driver.deliver('stranger', { kind: 'holdings', pool: 'east', holdings: [HOLDING] }), [])
  assert.equal(driver.deliver('stranger', { kind: 'floor', pool: 'east', tier: 0, holdMs: 4_000 }), [])
  assert.equal(driver.deliver('stranger', { kind: 'floor-reached', pool: 'west', tier: 0, running: 0 }), [])
  assert.equal(driver.deliver('e1', fixture.releaseOf(99)), [])
  assert.equal(driver.deliver('e1', { kind: 'withdraw', ask: 99 }), [])
  assert.is(JSON.stringify(driver.core.status()), before)
})

grants.run()
recovery.run()
