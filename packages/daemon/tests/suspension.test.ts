import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as suspension from '../src/tasks/suspension.js'
import * as task from '../src/tasks/task.js'

const watching = uvu.suite('watchSuspension')

watching('tells of a suspension before the next event is handled', () => {
  let nowMs = 0
  const seen: string[] = []
  const watch = suspension.watchSuspension(() => nowMs, () => { started.post('resumed') })
  const core = { handle: function * (event: string): Generator<never, void> { seen.push(event) } }
  const started = task.startTask<string, never>({ core, clock: () => nowMs, perform: () => {}, beforeEvent: watch.check })
  started.post('grant 1')
  nowMs = suspension.SUSPENSION_MS * 10
  started.post('grant 2')
  assert.equal(seen, ['grant 1', 'resumed', 'grant 2'])
})

watching('keeps quiet while ticks come', () => {
  let nowMs = 0
  let told = 0
  const watch = suspension.watchSuspension(() => nowMs, () => { told += 1 })
  for (; nowMs < 10_000; nowMs += 100) watch.tick()
  watch.check()
  assert.is(told, 0)
})

const tasks = uvu.suite('startTask')

tasks('never enters a core twice', () => {
  const seen: string[] = []
  const core = {
    handle: function * (event: string): Generator<string, void> {
      seen.push(`${event} begins`)
      yield event
      seen.push(`${event} ends`)
    }
  }
  const started = task.startTask<string, string>({ core, clock: () => 0, beforeEvent: () => {}, perform: (output) => { if (output === 'a') started.post('b') } })
  started.post('a')
  assert.equal(seen, ['a begins', 'a ends', 'b begins', 'b ends'])
})

watching.run()
tasks.run()
