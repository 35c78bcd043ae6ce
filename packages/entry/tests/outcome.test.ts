import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as outcome from '../src/outcome.js'

const suite = uvu.suite('slotOutcome')

suite('reports a crash only when the target went down', () => {
  assert.is(outcome.slotOutcome({ outcome: 'crashed' }), 'crashed')
  assert.is(outcome.slotOutcome({ outcome: 'crashed', isTargetUp: false }), 'crashed')
  assert.is(outcome.slotOutcome({ outcome: 'crashed', isTargetUp: true }), 'failed')
})

suite('reports an incomplete response as failed', () => {
  assert.is(outcome.slotOutcome({ outcome: 'incomplete' }), 'failed')
})

suite.run()
