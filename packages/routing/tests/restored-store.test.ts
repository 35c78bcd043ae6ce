/**
 * States of targets before and after the store was restored from a copy.
 */
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformInt'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('target registry and a restored store')

const ENGINE = fixtures.targetOf('i-1', 'support', 12)
const LEAVING = { ...ENGINE, leaving: true }
const MOVED = { ...ENGINE, address: '10.0.0.2:8001' }

type State = Omit<routing.targetRegistry.VersionedTarget, 'id'>

function stateOf (era: number, revision: number, [startedMs, sequence]: readonly [startedMs: number, sequence: number], target: routing.targetRegistry.Target | undefined): State {
  return { era, revision, report: { startedMs, sequence }, target }
}

function usableAddresses (registry: routing.targetRegistry.TargetRegistry): readonly string[] {
  return registry.usable('support', 10_000).map((target) => target.address)
}

const PROVISIONAL: readonly (readonly [description: string, held: State, listed: State | undefined, usable: readonly string[]])[] = [
  ['a leaving target stays leaving though the copy lists it as ready', stateOf(1, 90, [5, 30], LEAVING), stateOf(2, 20, [5, 10], ENGINE), []],
  ['a removed target stays removed though the copy lists it', stateOf(1, 90, [5, 30], undefined), stateOf(2, 20, [5, 30], ENGINE), []],
  ['a target that has written again at a lower revision is moved', stateOf(1, 90, [5, 30], ENGINE), stateOf(2, 41, [5, 31], MOVED), [MOVED.address]],
  ['a target that has started again at a lower revision is ready', stateOf(1, 90, [5, 30], LEAVING), stateOf(2, 41, [7, 1], ENGINE), [ENGINE.address]],
  ['a target that leaves at a lower revision is leaving', stateOf(1, 90, [5, 30], ENGINE), stateOf(2, 41, [5, 31], LEAVING), []],
  ['a target that the copy lacks is kept until it had time to write again', stateOf(1, 90, [5, 30], ENGINE), undefined, [ENGINE.address]]
]

for (const [description, held, listed, usable] of PROVISIONAL) {
  suite(description, () => {
    const registry = routing.targetRegistry.createTargetRegistry()
    registry.applyChange({ id: 'i-1', ...held }, 0)
    registry.applyListing({ era: 2, revision: 41, targets: listed === undefined ? [] : [{ id: 'i-1', ...listed }], isProvisional: true, isWatched: true }, 0)
    assert.equal(usableAddresses(registry), usable)
  })
}

suite('once targets had time to write again, the listing decides', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.applyChange({ id: 'i-1', ...stateOf(1, 90, [5, 30], undefined) }, 0)
  registry.applyChange({ id: 'i-2', ...stateOf(1, 91, [5, 30], MOVED) }, 0)
  registry.applyListing({ era: 2, revision: 45, targets: [{ id: 'i-1', ...stateOf(2, 20, [5, 30], ENGINE) }], isProvisional: false, isWatched: true }, 0)
  assert.equal(usableAddresses(registry), [ENGINE.address])
})

suite('a change written after a restoration is applied though its revision is lower', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.applyChange({ id: 'i-1', ...stateOf(1, 90, [5, 30], ENGINE) }, 0)
  assert.ok(registry.applyChange({ id: 'i-1', ...stateOf(2, 42, [5, 31], LEAVING) }, 0))
  assert.not.ok(registry.applyChange({ id: 'i-1', ...stateOf(1, 95, [5, 32], ENGINE) }, 0))
  assert.equal(usableAddresses(registry), [])
})

const FROM_PEERS: readonly (readonly [description: string, held: State, reported: State, usable: readonly string[]])[] = [
  ['a peer that has not noticed the restoration tells that a target is leaving', stateOf(2, 20, [5, 10], ENGINE), stateOf(1, 90, [5, 30], LEAVING), []],
  ['a peer that has not noticed the restoration holds an outdated state', stateOf(2, 41, [5, 31], LEAVING), stateOf(1, 90, [5, 30], ENGINE), []],
  ['a peer that has just started holds the state of the copy', stateOf(1, 90, [5, 30], LEAVING), stateOf(2, 20, [5, 10], ENGINE), []],
  ['a peer tells that a target was removed in the later era', stateOf(1, 90, [5, 30], ENGINE), stateOf(2, 45, [5, 30], undefined), []]
]

for (const [description, held, reported, usable] of FROM_PEERS) {
  suite(description, () => {
    const registry = routing.targetRegistry.createTargetRegistry()
    registry.applyChange({ id: 'i-1', ...held }, 0)
    registry.apply({ id: 'i-1', ...reported }, 0)
    assert.equal(usableAddresses(registry), usable)
  })
}

suite('the position of a later era is later, whatever its revision', () => {
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.advanceTo({ era: 1, revision: 90 })
  registry.advanceTo({ era: 2, revision: 41 })
  registry.advanceTo({ era: 1, revision: 95 })
  assert.equal(registry.position(), { era: 2, revision: 41 })
})

interface Replica { readonly startedMs: number, readonly sequence: number, readonly state: 'ready' | 'leaving' }

const IDS = ['i-1', 'i-2', 'i-3', 'i-4']

/** Store with replicas that write their state, and that can be restored from a copy. */
class SimulatedStore {
  private era = 1
  private revision = 1
  private items = new Map<string, routing.targetRegistry.VersionedTarget>()
  private copied = this.items
  private copiedRevision = this.revision
  private readonly replicas = new Map<string, Replica>()

  private write (id: string, replica: Replica): void {
    this.replicas.set(id, replica)
    this.revision += 1
    const { startedMs, sequence, state } = replica
    const target = { ...fixtures.targetOf(id, 'support', 12), leaving: state === 'leaving' }
    this.items = new Map([...this.items, [id, { id, era: this.era, revision: this.revision, report: { startedMs, sequence }, target }]])
  }

  /** Starts a replica, lets it leave, or ends it, whichever comes next. */
  advance (id: string, startedMs: number): void {
    const replica = this.replicas.get(id)
    if (replica === undefined) this.write(id, { startedMs, sequence: 1, state: 'ready' })
    else if (replica.state === 'ready') this.write(id, { ...replica, sequence: replica.sequence + 1, state: 'leaving' })
    else this.leave(id)
  }

  private leave (id: string): void {
    this.replicas.delete(id)
    this.revision += 1
    this.items = new Map([...this.items].filter(([key]) => key !== id))
  }

  copy (): void {
    this.copied = this.items
    this.copiedRevision = this.revision
  }

  restore (): void {
    this.era += 1
    this.items = this.copied
    this.revision = this.copiedRevision
  }

  /** Replicas whose entries differ from their state write again, and entries of replicas that have left expire. */
  writeAgain (): void {
    for (const [id, replica] of this.replicas) {
      const item = this.items.get(id)
      if (item?.report?.startedMs !== replica.startedMs || item.target?.leaving !== (replica.state === 'leaving')) this.write(id, { ...replica, sequence: replica.sequence + 1 })
    }
    for (const id of this.items.keys()) if (!this.replicas.has(id)) this.leave(id)
  }

  listing (isProvisional: boolean): routing.targetRegistry.TargetListing {
    return { era: this.era, revision: this.revision, targets: [...this.items.values()].map((item) => ({ ...item, era: this.era })), isProvisional, isWatched: true }
  }

  readyIds (): readonly string[] {
    return [...this.replicas].filter(([, replica]) => replica.state === 'ready').map(([id]) => id).sort()
  }
}

/** Returns a check that no target that was leaving is ready before its next start. */
function createDepartureCheck (registry: routing.targetRegistry.TargetRegistry): () => void {
  const departed = new Set<string>()
  return () => {
    for (const { id, report, target } of registry.versionedTargets()) {
      const start = `${id}@${report?.startedMs}`
      if (target?.leaving === true) departed.add(start)
      if (target?.leaving === false) assert.not.ok(departed.has(start), `${start} is used again`)
    }
  }
}

for (let seed = 1; seed <= 200; seed += 1) {
  suite(`after changes and restorations in random order no departed target is used, and in the end all ready ones are, seed ${seed}`, () => {
    const source = generator.xoroshiro128plus(seed)
    const below = (bound: number): number => distribution.uniformInt(source, 0, bound - 1)
    const store = new SimulatedStore()
    const registry = routing.targetRegistry.createTargetRegistry()
    const peer = routing.targetRegistry.createTargetRegistry()
    const checkDepartures = createDepartureCheck(registry)
    let isProvisional = false
    for (let step = 1; step <= 60; step += 1) {
      const id = IDS[below(IDS.length)] ?? ''
      switch (below(8)) {
        case 0: case 1: case 2: store.advance(id, step); break
        case 3: case 4: store.copy(); break
        case 5:
          store.restore()
          isProvisional = true
          break
        case 6: registry.applyListing(store.listing(isProvisional), step); break
        default:
          for (const versioned of registry.versionedTargets()) peer.apply(versioned, step)
          for (const versioned of peer.versionedTargets()) registry.apply(versioned, step)
      }
      checkDepartures()
    }
    store.writeAgain()
    registry.applyListing(store.listing(false), 10_000)
    for (const versioned of registry.versionedTargets()) peer.apply(versioned, 10_000)
    const late = 20_000
    assert.equal(registry.usable('support', late).map((target) => target.id).sort(), store.readyIds())
    assert.equal(peer.usable('support', late).map((target) => target.id).filter((id) => !store.readyIds().includes(id)), [])
  })
}

suite.run()
