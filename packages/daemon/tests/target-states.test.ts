import type * as backing from '@persimmonhatch/backing-services'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as targetStates from '../src/tasks/target-states.js'

function vm (state: 'live' | 'leaving'): backing.vmList.Vm {
  return { name: 'engine-1', address: '127.0.0.1:9101', state }
}

const suite = uvu.suite('createTargetStates')

suite('marks a target as leaving at once and yields one update', () => {
  const states = targetStates.createTargetStates()
  assert.equal([...states.applyVmList([vm('leaving')], 0)], [{ kind: 'target', target: 'engine-1', version: 1, state: 'leaving' }])
  assert.equal([...states.applyVmList([vm('leaving')], 100)], [])
  assert.equal(states.leaving(), ['engine-1'])
})

for (const [name, list] of [
  ['an empty list', []],
  ['a list without the target', [{ name: 'engine-2', address: '127.0.0.1:9102', state: 'live' as const }]],
  ['a list that shows both states', [vm('live'), vm('leaving')]],
  ['an outdated list', [vm('live')]]
] as const) {
  suite(`keeps a target leaving with ${name}`, () => {
    const states = targetStates.createTargetStates()
    assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
    for (let nowMs = 0; nowMs < targetStates.MIN_LIVE_MS; nowMs += 1_000) assert.equal([...states.applyVmList(list, nowMs)], [])
    assert.equal(states.leaving(), ['engine-1'])
  })
}

suite('marks a target as serving when the list has shown it live long enough', () => {
  const states = targetStates.createTargetStates()
  assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
  assert.equal([...states.applyVmList([vm('live')], 1_000)], [])
  assert.equal([...states.applyVmList([vm('live')], 1_000 + targetStates.MIN_LIVE_MS)], [{ kind: 'target', target: 'engine-1', version: 2, state: 'serving' }])
})

suite('restarts the wait when the list shows the target leaving again', () => {
  const states = targetStates.createTargetStates()
  assert.is([...states.applyVmList([vm('leaving')], 0)].length, 1)
  assert.equal([...states.applyVmList([vm('live')], 1_000)], [])
  assert.equal([...states.applyVmList([vm('leaving')], 2_000)], [])
  assert.equal([...states.applyVmList([vm('live')], 1_000 + targetStates.MIN_LIVE_MS)], [])
})

suite('applies only newer updates from other daemons', () => {
  const states = targetStates.createTargetStates()
  states.applyUpdate({ kind: 'target', target: 'engine-1', version: 3, state: 'leaving' })
  states.applyUpdate({ kind: 'target', target: 'engine-1', version: 2, state: 'serving' })
  assert.equal(states.leaving(), ['engine-1'])
})

suite.run()
