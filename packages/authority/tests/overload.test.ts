import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as protocol from '@persimmonhatch/protocol'
import * as fixture from './fixture.js'

const overload = uvu.suite('overload')

const OPTIONS = { targets: ['t1'], maxWaitMs: 2_000 }

/** Returns the driver of an authority whose only target is measured at 2 s per request, with `count` slot requests of a tier. */
function createLoadedDriver (tier: number, count: number, fields: Partial<protocol.SlotRequest> = {}, options: fixture.DocumentOptions = {}, otherAuthorities: readonly (readonly [string, string])[] = []): fixture.Driver {
  const driver = new fixture.Driver([fixture.documentOf('listings', { ...OPTIONS, ...options })], undefined, otherAuthorities).replyToCollects()
  driver.advance(5_000)
  for (let number = 1; number <= 10; number++) {
    driver.deliver('e1', fixture.slotRequestOf(number, { tier: 0, round: driver.nowMs }))
    driver.deliver('e1', fixture.releaseOf(number))
  }
  driver.advance(200)
  for (let number = 100; number < 100 + count; number++) driver.deliver('e1', fixture.slotRequestOf(number, { tier, round: driver.nowMs, ...fields }))
  return driver
}

function submitBurst (driver: fixture.Driver, count: number, fields: Partial<protocol.SlotRequest>): readonly protocol.Outbound[] {
  return Array.from({ length: count }, (_, index) => driver.deliver('e2', fixture.slotRequestOf(5_000 + index, { round: driver.nowMs, ...fields }))).flat()
}

function releaseRevoked (driver: fixture.Driver, sent: readonly protocol.Outbound[]): readonly protocol.Outbound[] {
  return fixture.messagesOf(sent, 'revocation').flatMap(({ ask: number }) => driver.deliver('e1', fixture.releaseOf(number, { outcome: 'cancelled' })))
}

overload('refuses a request that would wait too long, with figures and a retry time', () => {
  const driver = createLoadedDriver(1, 100)
  const [refusal] = fixture.messagesOf(driver.sent, 'refusal')
  assert.is(refusal?.reason, 'shed')
  assert.ok(Number(refusal?.figures.expectedWaitMs) > Number(refusal?.figures.maxWaitMs))
  assert.ok(Number(refusal?.figures.ahead) > 0)
  assert.ok((refusal?.retryAfterMs ?? 0) >= 1_000)
})

overload('stops lower tiers before it refuses a higher one, those with the least prefill first', () => {
  const driver = createLoadedDriver(2, 40)
  const sent = [...submitBurst(driver, 100, { tier: 0 }), ...driver.advance(500)]
  assert.ok(fixture.messagesOf(sent, 'revocation').length > 0)
  assert.equal(fixture.messagesOf(sent, 'refusal').filter((refusal) => refusal.ask >= 5_000), [])
  const after = releaseRevoked(driver, sent)
  assert.ok(fixture.messagesOf(after, 'grant').every((grant) => grant.ask >= 5_000))
  const refused = fixture.messagesOf(driver.advance(1_000), 'refusal').map((refusal) => refusal.ask)
  assert.ok(refused.some((number) => number >= 5_000), 'no lower tier runs any more, so the rest is refused')
})

overload('waits for non-idempotent requests of a lower tier and never stops them', () => {
  const driver = createLoadedDriver(2, 8, { nonIdempotent: true })
  const sent = [...submitBurst(driver, 100, { tier: 0 }), ...driver.advance(3_000)]
  assert.equal(fixture.messagesOf(sent, 'revocation'), [])
  assert.equal(fixture.messagesOf(sent, 'refusal').filter((refusal) => refusal.ask >= 5_000), [])
  for (let number = 100; number < 108; number++) driver.deliver('e1', fixture.releaseOf(number))
  assert.ok(fixture.messagesOf(driver.advance(500), 'refusal').length > 0)
})

overload('refuses nothing while the authority of another pool is missing', () => {
  const driver = createLoadedDriver(0, 200, {}, { otherPool: 'west' })
  driver.advance(10_000)
  assert.equal(fixture.messagesOf(driver.sent, 'refusal'), [])
})

overload('raises the floor in another pool and waits for it', () => {
  const driver = createLoadedDriver(1, 200, {}, { otherPool: 'west' }, [['west', 'other']])
  const floor = fixture.messagesOf(driver.sent, 'floor')[0]
  assert.equal([floor?.pool, floor?.tier], ['west', 1])
  assert.equal(fixture.messagesOf(driver.sent, 'refusal'), [])
  driver.deliver('other', { kind: 'floor-reached', pool: 'west', tier: 1, running: 1 })
  assert.equal(fixture.messagesOf(driver.advance(200), 'refusal'), [])
  driver.deliver('other', { kind: 'floor-reached', pool: 'west', tier: 1, running: 0 })
  assert.ok(fixture.messagesOf(driver.advance(200), 'refusal').length > 0)
})

overload('refuses nothing before every entry has reported its holdings', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', OPTIONS)])
  driver.deliver('e1', { kind: 'holdings', pool: 'east', holdings: [] })
  driver.handle({ kind: 'target', update: { kind: 'target', target: 't1', version: 1, state: 'leaving' } })
  driver.deliver('e1', fixture.slotRequestOf(1, { deadlineMs: 1_000, round: driver.nowMs }))
  assert.equal(fixture.messagesOf(driver.advance(20_000), 'refusal'), [])
  driver.replyToCollects()
  assert.is(fixture.messagesOf(driver.advance(500), 'refusal').length, 1)
})

overload('starts only the top tier while floors raised with the previous authority may be active', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { otherPool: 'west' })]).replyToCollects()
  assert.is(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(1, { tier: 0 })), 'grant').length, 1)
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(2, { tier: 1 })), 'grant'), [])
  assert.equal(fixture.messagesOf(driver.advance(3_900), 'grant'), [])
  assert.is(fixture.messagesOf(driver.advance(200), 'grant').length, 1)
})

overload('enforces another pool\'s floor: stops lower tiers, starts none, and reports', () => {
  const driver = createLoadedDriver(2, 4, {}, { otherPool: 'west' }, [['west', 'other']])
  driver.advance(2_000)
  const sent = driver.deliver('other', { kind: 'floor', pool: 'east', tier: 0, holdMs: 4_000 })
  assert.is(fixture.messagesOf(sent, 'revocation').length, 4)
  assert.equal(fixture.messagesOf(sent, 'floor-reached'), [])
  const reached = fixture.messagesOf(releaseRevoked(driver, sent), 'floor-reached')
  assert.equal(reached.map(({ tier, running }) => [tier, running]), [[0, 0]])
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(900, { tier: 1, round: driver.nowMs })), 'grant'), [])
  assert.is(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(901, { tier: 0, round: driver.nowMs })), 'grant').length, 1)
  assert.is(fixture.messagesOf(driver.advance(4_200), 'grant').length, 1)
})

overload('stops lower tiers beyond the objective only where the document prefers goodput', () => {
  for (const [prefer, isStopped] of [['goodput-by-tier', true], ['wasted-prefill', false]] as const) {
    const driver = createLoadedDriver(2, 40, {}, { prefer, maxWaitMs: 10_000 })
    const sent = [...submitBurst(driver, 15, { tier: 0 }), ...driver.advance(5_200)]
    assert.is(fixture.messagesOf(sent, 'revocation').length > 0, isStopped, prefer)
  }
})

overload('refuses at once a deadline that no idle target could meet', () => {
  const driver = createLoadedDriver(1, 1)
  const [refusal] = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(900, { deadlineMs: 500, round: driver.nowMs })), 'refusal')
  assert.is(refusal?.reason, 'deadline-unreachable')
  assert.ok(Number(refusal?.figures.expectedMs) > 500)
})

overload('does not call a deadline unreachable because the only target is leaving', () => {
  const driver = createLoadedDriver(1, 1)
  driver.deliver('e1', fixture.slotRequestOf(900, { round: driver.nowMs }))
  driver.handle({ kind: 'target', update: { kind: 'target', target: 't1', version: 1, state: 'leaving' } })
  assert.equal(fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(901, { round: driver.nowMs })), 'refusal'), [])
  for (const number of [100, 900]) driver.deliver('e1', fixture.releaseOf(number))
  assert.is(fixture.messagesOf(driver.advance(6_000), 'refusal').find((refusal) => refusal.ask === 901)?.reason, 'no-target')
})

overload('refuses at once a deadline that the queue makes unreachable', () => {
  const driver = createLoadedDriver(1, 20, {}, { maxWaitMs: 60_000 })
  const [refusal] = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(900, { deadlineMs: 2_500, round: driver.nowMs })), 'refusal')
  assert.is(refusal?.reason, 'deadline-unreachable')
})

overload('does not refuse a small organisation because of the backlog of a large one', () => {
  const driver = createLoadedDriver(1, 100)
  assert.ok(fixture.messagesOf(driver.sent, 'refusal').length > 0)
  assert.equal(fixture.messagesOf(driver.deliver('e2', fixture.slotRequestOf(900, { tier: 1, organisation: 'west', round: driver.nowMs })), 'refusal'), [])
})

overload.run()
