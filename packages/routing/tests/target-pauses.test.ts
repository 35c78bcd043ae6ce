import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('target pauses')

const TOLD = '10.1.0.25:7600'

interface Case {
  readonly description: string
  readonly pauses: readonly (readonly [atMs: number, durationMs: number])[]
  readonly maxInFlight: readonly (readonly [atMs: number, requests: number])[]
}

const CASES: readonly Case[] = [
  { description: 'a target without a pause', pauses: [], maxInFlight: [[0, Infinity]] },
  { description: 'a pause and the ramp after it', pauses: [[0, 4_000]], maxInFlight: [[0, 0], [3_999, 0], [4_400, 1], [4_700, 2], [5_300, 8], [5_900, Infinity]] },
  { description: 'a pause that is extended', pauses: [[0, 1_000], [500, 4_000]], maxInFlight: [[1_500, 0], [4_499, 0], [4_950, 1]] },
  { description: 'a shorter pause within a longer one', pauses: [[0, 4_000], [500, 100]], maxInFlight: [[3_999, 0]] },
  { description: 'a pause without duration', pauses: [[0, 0]], maxInFlight: [[0, Infinity]] },
  { description: 'a pause of a century', pauses: [[0, 3_000_000_000_000]], maxInFlight: [[119_999, 0], [122_100, Infinity]] }
]

for (const { description, pauses, maxInFlight } of CASES) {
  suite(`requests at ${description}`, () => {
    const targetPauses = routing.targetPauses.createTargetPauses(() => 0.5)
    for (const [atMs, durationMs] of pauses) targetPauses.record({ target: 'i-1', durationMs, told: TOLD }, atMs)
    assert.equal(maxInFlight.map(([atMs]) => [atMs, targetPauses.maxInFlight('i-1', atMs)]), maxInFlight)
  })
}

suite('pauses are listed with what is left of them', () => {
  const targetPauses = routing.targetPauses.createTargetPauses(() => 0)
  assert.ok(targetPauses.record({ target: 'i-1', durationMs: 4_000, told: TOLD }, 0))
  assert.not.ok(targetPauses.record({ target: 'i-1', durationMs: 100, told: TOLD }, 0))
  assert.equal(targetPauses.list(1_000), [{ target: 'i-1', durationMs: 3_000, told: TOLD }])
  assert.equal(targetPauses.list(4_000), [])
})

const OPEN: routing.obstacle.TargetState = { isRemoved: false, isEjected: false, pauseMs: 0, allowedSends: 4, freeSlots: 4 }

const OBSTACLES: readonly (readonly [state: Partial<routing.obstacle.TargetState>, obstacle: routing.obstacle.Obstacle | undefined])[] = [
  [{}, undefined],
  [{ freeSlots: 0 }, 'full'],
  [{ allowedSends: 0, freeSlots: 0 }, 'rate-limited'],
  [{ isEjected: true, freeSlots: 0 }, 'ejected'],
  [{ pauseMs: 10, isEjected: true }, 'paused'],
  [{ isRemoved: true, pauseMs: 10 }, 'leaving']
]

for (const [state, expected] of OBSTACLES) {
  suite(`a target with ${JSON.stringify(state)} is ${expected ?? 'open'}`, () => { assert.is(routing.obstacle.obstacleOf({ ...OPEN, ...state }), expected) })
}

suite('targets are counted by what keeps them from getting requests', () => {
  assert.equal(routing.obstacle.countObstacles([OPEN, { ...OPEN, pauseMs: 5 }, { ...OPEN, pauseMs: 9 }, { ...OPEN, freeSlots: 0 }]), { paused: 2, full: 1 })
})

suite.run()
