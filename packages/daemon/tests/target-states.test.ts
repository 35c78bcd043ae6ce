import type * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as targetStates from '../src/tasks/target-states.js'

function vm (state: 'live' | 'leaving'): backing.vmList.Vm {
  return { name: 'engine-1', address: '127.0.0.1:9101', state }
}

const states = uvu.suite('createTargetStates')

states('believes a leaving at once and says it once', () => {
  const known = targetStates.createTargetStates()
  assert.equal([...known.read([vm('leaving')], 0)], [{ kind: 'target', target: 'engine-1', version: 1, state: 'leaving' }])
  assert.equal([...known.read([vm('leaving')], 100)], [])
  assert.equal(known.leaving(), ['engine-1'])
})

for (const [name, list] of [
  ['an empty list', []],
  ['a short list', [{ name: 'engine-2', address: '127.0.0.1:9102', state: 'live' as const }]],
  ['a list that says both', [vm('live'), vm('leaving')]],
  ['a list that lags', [vm('live')]]
] as const) {
  states(`keeps a target leaving under ${name}`, () => {
    const known = targetStates.createTargetStates()
    assert.is([...known.read([vm('leaving')], 0)].length, 1)
    for (let nowMs = 0; nowMs < targetStates.RETURN_MS; nowMs += 1_000) assert.equal([...known.read(list, nowMs)], [])
    assert.equal(known.leaving(), ['engine-1'])
  })
}

states('takes a target back when the list has shown it live for a while', () => {
  const known = targetStates.createTargetStates()
  assert.is([...known.read([vm('leaving')], 0)].length, 1)
  assert.equal([...known.read([vm('live')], 1_000)], [])
  assert.equal([...known.read([vm('live')], 1_000 + targetStates.RETURN_MS)], [{ kind: 'target', target: 'engine-1', version: 2, state: 'serving' }])
})

states('starts the wait again when the target is seen leaving again', () => {
  const known = targetStates.createTargetStates()
  assert.is([...known.read([vm('leaving')], 0)].length, 1)
  assert.equal([...known.read([vm('live')], 1_000)], [])
  assert.equal([...known.read([vm('leaving')], 2_000)], [])
  assert.equal([...known.read([vm('live')], 1_000 + targetStates.RETURN_MS)], [])
})

states('takes only newer news from other daemons', () => {
  const known = targetStates.createTargetStates()
  known.learn({ kind: 'target', target: 'engine-1', version: 3, state: 'leaving' })
  known.learn({ kind: 'target', target: 'engine-1', version: 2, state: 'serving' })
  assert.equal(known.leaving(), ['engine-1'])
})

states.run()
