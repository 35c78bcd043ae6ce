import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('target registry')

const ENGINE_1 = fixtures.targetOf('i-1', 'support', 12)
const ENGINE_2 = fixtures.targetOf('i-2', 'support', 12)

function usableIds (registry: routing.targetRegistry.TargetRegistry, nowMs: number): readonly string[] {
  return registry.usable('support', nowMs).map((target) => target.id)
}

suite('a leaving target gets no new requests, also when an older entry arrives late', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.apply({ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, 0)
  assert.ok(registry.apply({ id: 'i-1', era: 1, revision: 7, target: { ...ENGINE_1, leaving: true } }, 0))
  assert.not.ok(registry.apply({ id: 'i-1', era: 1, revision: 6, target: ENGINE_1 }, 0))
  assert.equal(usableIds(registry, 0), [])
  registry.apply({ id: 'i-1', era: 1, revision: 8, target: undefined }, 0)
  assert.equal(usableIds(registry, 0), [])
})

suite('a target whose entry was removed is a last resort for a short time', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.apply({ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, 0)
  registry.apply({ id: 'i-1', era: 1, revision: 6, target: undefined }, 100)
  assert.equal(usableIds(registry, 1_000), ['i-1'])
  assert.equal(usableIds(registry, 2_000), [])
  registry.apply({ id: 'i-1', era: 1, revision: 9, target: ENGINE_1 }, 2_100)
  assert.equal(usableIds(registry, 2_100), ['i-1'])
})

suite('a target whose entry was removed is not used while another is registered', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.applyListing({ targets: [{ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, { id: 'i-2', era: 1, revision: 6, target: ENGINE_2 }], era: 1, revision: 6, isProvisional: false, isWatched: true }, 0)
  registry.applyListing({ targets: [{ id: 'i-2', era: 1, revision: 6, target: ENGINE_2 }], era: 1, revision: 9, isProvisional: false, isWatched: true }, 10)
  assert.equal(usableIds(registry, 20), ['i-2'])
})

suite('a listing does not restore a target that was removed at a later revision', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.apply({ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, 0)
  registry.apply({ id: 'i-1', era: 1, revision: 8, target: undefined }, 0)
  registry.applyListing({ targets: [{ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }], era: 1, revision: 7, isProvisional: false, isWatched: true }, 5_000)
  assert.equal(usableIds(registry, 5_000), [])
})

const STARTED_MS = 1_796_000_000_000

interface DepartureCase {
  readonly description: string
  /** Starts of the target that have said that they leave, and the states of its entry, in order. */
  readonly steps: readonly (readonly ['departs', startedMs: number] | readonly ['entry', revision: number, startedMs: number, isReady?: boolean])[]
  readonly usable: readonly string[]
  readonly reported: number
}

const DEPARTURES: readonly DepartureCase[] = [
  { description: 'stays closed while its entry is written on', steps: [['entry', 5, 0], ['departs', 0], ['entry', 6, 0]], usable: [], reported: 1 },
  { description: 'stays closed when its entry lapses and comes back', steps: [['entry', 5, 0], ['departs', 0], ['entry', 6, 0, false], ['entry', 7, 0]], usable: [], reported: 1 },
  { description: 'is closed when its departure is heard of before its entry', steps: [['departs', 0], ['entry', 5, 0]], usable: [], reported: 1 },
  { description: 'is open again after its next start', steps: [['entry', 5, 0], ['departs', 0], ['entry', 6, 9]], usable: ['i-1'], reported: 0 },
  { description: 'is not closed by an earlier start', steps: [['entry', 6, 9], ['departs', 0]], usable: ['i-1'], reported: 0 },
  { description: 'is no last resort', steps: [['entry', 5, 0], ['departs', 0], ['entry', 6, 0, false]], usable: [], reported: 0 }
]

for (const { description, steps, usable, reported } of DEPARTURES) {
  suite(`a target that says in a response that it leaves ${description}`, () => {
    const registry = routing.targetRegistry.createTargetRegistry()
    for (const step of steps) {
      if (step[0] === 'departs') registry.depart({ id: 'i-1', startedMs: STARTED_MS + step[1] })
      else registry.applyChange({ id: 'i-1', era: 1, revision: step[1], report: step[3] === false ? undefined : { startedMs: STARTED_MS + step[2], sequence: step[1] }, target: step[3] === false ? undefined : ENGINE_1 }, 0)
    }
    assert.equal([usableIds(registry, 0), registry.departures().length], [usable, reported])
  })
}

suite('the number of recorded departures is bounded', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  for (let index = 0; index < 5_000; index += 1) registry.depart({ id: `i-${index}`, startedMs: STARTED_MS })
  registry.applyChange({ id: 'i-1', era: 1, revision: 5, report: { startedMs: STARTED_MS, sequence: 1 }, target: ENGINE_1 }, 0)
  assert.equal(usableIds(registry, 0), ['i-1'])
})

suite('a listing on demand does not move the position, of which peers would fetch all targets', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  const listing = { targets: [], era: 1, isProvisional: false }
  registry.applyListing({ ...listing, revision: 7, isWatched: true }, 0)
  registry.applyListing({ ...listing, revision: 9, isWatched: false }, 0)
  assert.equal(registry.position(), { era: 1, revision: 7 })
})

suite.run()
