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
  registry.applyListing({ targets: [{ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, { id: 'i-2', era: 1, revision: 6, target: ENGINE_2 }], era: 1, revision: 6, isProvisional: false }, 0)
  registry.applyListing({ targets: [{ id: 'i-2', era: 1, revision: 6, target: ENGINE_2 }], era: 1, revision: 9, isProvisional: false }, 10)
  assert.equal(usableIds(registry, 20), ['i-2'])
})

suite('a listing does not restore a target that was removed at a later revision', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.apply({ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }, 0)
  registry.apply({ id: 'i-1', era: 1, revision: 8, target: undefined }, 0)
  registry.applyListing({ targets: [{ id: 'i-1', era: 1, revision: 5, target: ENGINE_1 }], era: 1, revision: 7, isProvisional: false }, 5_000)
  assert.equal(usableIds(registry, 5_000), [])
})

suite.run()
