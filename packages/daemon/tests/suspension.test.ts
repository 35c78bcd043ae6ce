import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as suspension from '../src/tasks/suspension.js'
import * as task from '../src/tasks/task.js'

const detectors = uvu.suite('createSuspensionDetector')

detectors('reports a suspension before the next event is handled', () => {
  let nowMs = 0
  const handled: string[] = []
  const detector = suspension.createSuspensionDetector(() => nowMs, () => { started.post('resumed') })
  const core = { handle: function * (event: string): Generator<never, void> { handled.push(event) } }
  const started = task.startTask<string, never>({ core, clock: () => nowMs, perform: () => {}, beforeEvent: detector.check })
  started.post('grant 1')
  nowMs = suspension.SUSPENSION_THRESHOLD_MS * 10
  started.post('grant 2')
  assert.equal(handled, ['grant 1', 'resumed', 'grant 2'])
})

detectors('reports nothing while ticks arrive', () => {
  let nowMs = 0
  let notifications = 0
  const detector = suspension.createSuspensionDetector(() => nowMs, () => { notifications += 1 })
  for (; nowMs < 10_000; nowMs += 100) detector.tick()
  detector.check()
  assert.is(notifications, 0)
})

const tasks = uvu.suite('startTask')

tasks('never calls a core reentrantly', () => {
  const handled: string[] = []
  const core = {
    handle: function * (event: string): Generator<string, void> {
      handled.push(`${event} begins`)
      yield event
      handled.push(`${event} ends`)
    }
  }
  const started = task.startTask<string, string>({ core, clock: () => 0, beforeEvent: () => {}, perform: (output) => { if (output === 'a') started.post('b') } })
  started.post('a')
  assert.equal(handled, ['a begins', 'a ends', 'b begins', 'b ends'])
})

detectors.run()
tasks.run()
