import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const { targetSpeed } = routing
const suite = uvu.suite('speed of a target')

const USUAL: routing.targetSpeed.SampledFactor = { factor: 1, isRecent: true }

/** Records responses of an engine that takes `slowdown` times as long as one with 30 ms, 0.016 ms per prompt token and 3.4 ms per token. */
function measure (slowdown: number, samples: number, factor = USUAL): routing.targetSpeed.TargetSpeed {
  const speed = targetSpeed.createTargetSpeed()
  for (let index = 0; index < samples; index += 1) {
    const tokens = [628, 1_800, 6_610][index % 3] ?? 0
    speed.recordFirst(slowdown * factor.factor * (30 + 0.016 * tokens), tokens, factor)
    speed.recordInterval(slowdown * factor.factor * 9 * 3.4, 9, factor)
  }
  return speed
}

function isClose (actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) <= 0.1 * expected, `${actual} instead of ${expected}`)
}

for (const slowdown of [0.3, 1, 4.4]) {
  suite(`a speed that is ${slowdown} times the usual is learned from a few responses, whatever the prompts`, () => {
    const speed = targetSpeed.speedOf(measure(slowdown, 9).sums(), targetSpeed.NO_SAMPLES)
    isClose(targetSpeed.firstEventMs(speed, 628), slowdown * (30 + 0.016 * 628))
    isClose(targetSpeed.firstEventMs(speed, 6_610), slowdown * (30 + 0.016 * 6_610))
    isClose(speed.decodeMsPerToken, slowdown * 3.4)
  })
}

suite('responses of a disturbed host do not count as its usual speed', () => {
  const speed = targetSpeed.speedOf(measure(1, 12, { factor: 2.5, isRecent: true }).sums(), targetSpeed.NO_SAMPLES)
  isClose(targetSpeed.firstEventMs(speed, 6_610), 30 + 0.016 * 6_610)
})

suite('without samples nothing is expected to be late', () => {
  const speed = targetSpeed.speedOf(targetSpeed.NO_SAMPLES, targetSpeed.NO_SAMPLES)
  assert.is(targetSpeed.slotMs(speed, { promptTokens: 6_610, outputTokens: 378 }), 0)
})

suite('a new target starts with the mean of its service and leaves it with its own responses', () => {
  const service = measure(1, 20).sums()
  isClose(targetSpeed.firstEventMs(targetSpeed.speedOf(targetSpeed.NO_SAMPLES, service), 6_610), 30 + 0.016 * 6_610)
  const slow = targetSpeed.speedOf(measure(4.4, 12).sums(), service)
  assert.ok(targetSpeed.firstEventMs(slow, 6_610) > 3 * (30 + 0.016 * 6_610))
})

suite('a new daemon starts with what its peers have measured', () => {
  const speed = targetSpeed.createTargetSpeed()
  for (const peer of ['d-1', 'd-2']) speed.applyPeer(peer, measure(4.4, 6).report() ?? [0, 0, 0, 0, 0, 0, 0])
  isClose(targetSpeed.firstEventMs(targetSpeed.speedOf(speed.sums(), measure(1, 20).sums()), 6_610), 4.4 * (30 + 0.016 * 6_610) * 0.92)
  assert.is(speed.report(), undefined)
})

suite('a peer with absurd figures does not outweigh the others', () => {
  const speed = measure(1, 30)
  speed.applyPeer('d-1', [2 ** 50, 0, 0, 0, 0, 2 ** 50, 0])
  assert.ok(targetSpeed.speedOf(speed.sums(), targetSpeed.NO_SAMPLES).decodeMsPerToken > 0.1)
  assert.ok(Number.isFinite(targetSpeed.firstEventMs(targetSpeed.speedOf(speed.sums(), targetSpeed.NO_SAMPLES), 628)))
})

suite.run()
