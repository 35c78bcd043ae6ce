import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as reason from '../src/reason.js'

const explain = uvu.suite('explain')

explain('fills in the figures', () => {
  assert.is(reason.explain('unknown-service', { service: 'listings' }), 'No service named listings is in force.')
})

explain('writes "unknown" for a missing figure', () => {
  assert.match(reason.explain('unknown-service', {}), /named unknown/)
})

explain('rounds numeric figures', () => {
  assert.match(reason.explain('finished', { target: 'engine-1', waitedMs: 3050.932 }), /waiting 3051 ms/)
})

for (const [id, entry] of Object.entries(reason.EXPLANATIONS)) {
  explain(`${id} has a remedy and a complete sentence`, () => {
    assert.ok(entry.remedy.length > 0)
    assert.ok(entry.text.endsWith('.'))
  })
}

explain.run()
