import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixture from './fixture.js'

const suspicion = uvu.suite('suspicion')

function crashTargetWithTwo (): fixture.Driver {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1'] })]).replyToCollects()
  driver.deliver('e1', fixture.slotRequestOf(1, { fingerprint: 'a', promptTokens: 100 }))
  driver.deliver('e1', fixture.slotRequestOf(2, { fingerprint: 'b', promptTokens: 100 }))
  assert.is(fixture.messagesOf(driver.sent, 'grant').length, 2)
  driver.deliver('e1', fixture.releaseOf(1, { outcome: 'crashed' }))
  return driver
}

function statesOf (driver: fixture.Driver, fingerprint: string): readonly string[] {
  return driver.updates.flatMap((update) => update.kind === 'suspect' && update.fingerprint === fingerprint ? [update.state] : [])
}

suspicion('is raised for every content in flight at a crash', () => {
  const driver = crashTargetWithTwo()
  assert.equal([statesOf(driver, 'a'), statesOf(driver, 'b')], [['suspect'], ['suspect']])
})

suspicion('is cleared for a request that was not dispatched', () => {
  const driver = crashTargetWithTwo()
  driver.deliver('e1', fixture.releaseOf(2, { outcome: 'unreachable' }))
  assert.equal([statesOf(driver, 'a'), statesOf(driver, 'b')], [['suspect'], ['suspect', 'cleared']])
})

suspicion('remains for a content that was in flight at an earlier crash, too', () => {
  const driver = crashTargetWithTwo()
  driver.handle({ kind: 'suspect', update: { kind: 'suspect', fingerprint: 'b', version: 9, state: 'suspect', crashes: 2, remainingMs: 60_000 } })
  driver.deliver('e1', fixture.releaseOf(2, { outcome: 'unreachable' }))
  assert.equal(statesOf(driver, 'b'), ['suspect'])
})

suspicion.run()
