import type * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as targetStates from '../src/tasks/target-states.js'

function vm (state: 'live' | 'leaving'): backing.vmList.Vm {
  return { name: 'engine-1', address: '127.0.0.1:9101', state }
}

const suite = uvu.suite('createTargetStates')

suite('believes a leaving at once and says it once', () => {
  const states = targetStates.createTargetStates()
  assert.equal([...states.applyVmList([vm('leaving')], 0)], [{ kind: 'target', target: 'engine-1', version: 1, state: 'leaving' }])
  assert.equal([...states.applyVmList([vm('leaving')], 100)], [])
  assert.equal(states.leaving(), ['engine-1'])
})

for (const [name, list] of [
  ['an empty list', []],
  ['a short list', [{ name: 'engine-2', address: '127.0.0.1:9102', state: 'live' as const }]],
  ['a list that says both', [vm('live'), vm('leaving')]],
  ['a list that lags', [vm('live')]]
] as const) {
  suite(`keeps a target leaving under ${name}`, () => {
    const states = targetStates.createTargetStates()
    assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
    for (let nowMs = 0; nowMs < targetStates.MIN_LIVE_MS; nowMs += 1_000) assert.equal([...states.applyVmList(list, nowMs)], [])
    assert.equal(states.leaving(), ['engine-1'])
  })
}

suite('takes a target back when the list has shown it live for a while', () => {
  const states = targetStates.createTargetStates()
  assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
  assert.equal([...states.applyVmList([vm('live')], 1_000)], [])
  assert.equal([...states.applyVmList([vm('live')], 1_000 + targetStates.MIN_LIVE_MS)], [{ kind: 'target', target: 'engine-1', version: 2, state: 'serving' }])
})

suite('starts the wait again when the target is seen leaving again', () => {
  const states = targetStates.createTargetStates()
  assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
  assert.equal([...states.applyVmList([vm('live')], 1_000)], [])
  assert.equal([...states.applyVmList([vm('leaving')], 2_000)], [])
  assert.equal([...states.applyVmList([vm('live')], 1_000 + targetStates.MIN_LIVE_MS)], [])
})

suite('takes only newer news from other daemons', () => {
  const states = targetStates.createTargetStates()
  states.applyUpdate({ kind: 'target', target: 'engine-1', version: 3, state: 'leaving' })
  states.applyUpdate({ kind: 'target', target: 'engine-1', version: 2, state: 'serving' })
  assert.equal(states.leaving(), ['engine-1'])
})

suite.run()
