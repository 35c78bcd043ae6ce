import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as outcome from '../src/outcome.js'

const suite = uvu.suite('slotOutcome')

suite('accuses a content only when its target went down', () => {
  assert.is(outcome.slotOutcome({ outcome: 'crashed' }), 'crashed')
  assert.is(outcome.slotOutcome({ outcome: 'crashed', isTargetUp: false }), 'crashed')
  assert.is(outcome.slotOutcome({ outcome: 'crashed', isTargetUp: true }), 'failed')
})

suite('tells the authority of an incomplete answer as of a failed one', () => {
  assert.is(outcome.slotOutcome({ outcome: 'incomplete' }), 'failed')
})

suite.run()
