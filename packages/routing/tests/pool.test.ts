import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('pool')

type Decision = routing.poolEvent.PoolDecision

function poolOf (service: routing.document.Service, targets: readonly routing.targetRegistry.Target[]): routing.pool.Pool {
  const pool = new routing.pool.Pool({ service, random: () => 0.5 })
  drain(pool, { kind: 'targets', targetShares: wholeShares(targets) }, 0)
  return pool
}

function wholeShares (targets: readonly routing.targetRegistry.Target[]): readonly routing.cell.TargetShare[] {
  return targets.map((target) => ({ target, share: 1 }))
}

function drain (pool: routing.pool.Pool, event: routing.poolEvent.PoolEvent, nowMs: number): readonly Decision[] {
  return [...pool.handle(event, nowMs)]
}

function arrive (pool: routing.pool.Pool, request: routing.poolEvent.PlacementRequest, nowMs = request.arrivedMs): readonly Decision[] {
  return drain(pool, { kind: 'arrived', request }, nowMs)
}

const ENGINES = [fixtures.targetOf('i-1', 'support', 2), fixtures.targetOf('i-2', 'support', 2)]

suite('requests are spread over all targets and no engine gets more than its slots', () => {
  const pool = poolOf(fixtures.ENGINE, ENGINES)
  const dispatched = [1, 2, 3, 4].flatMap((id) => arrive(pool, fixtures.requestOf(id)))
  const counts = new Map<string, number>()
  for (const decision of dispatched) if (decision.kind === 'dispatch') counts.set(decision.target.id, (counts.get(decision.target.id) ?? 0) + 1)
  assert.equal([...counts].sort(), [['i-1', 2], ['i-2', 2]])
  assert.equal(arrive(pool, fixtures.requestOf(5)), [])
  assert.is(pool.waiting, 1)
})

suite('requests that peers report at an engine use its slots', () => {
  const pool = poolOf(fixtures.ENGINE, ENGINES)
  drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [2, 0], 'i-2': [1, 500] }, waiting: [] } }, 0)
  const [first] = arrive(pool, fixtures.requestOf(1))
  assert.ok(first?.kind === 'dispatch' && first.target.id === 'i-2')
  assert.equal(arrive(pool, fixtures.requestOf(2)), [])
})

suite('a freed slot goes to the more urgent request', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 1)])
  arrive(pool, fixtures.requestOf(1))
  arrive(pool, fixtures.requestOf(2, { priority: 2, targetLatencyMs: 1_200 }))
  arrive(pool, fixtures.requestOf(3, { priority: 0 }))
  const decisions = drain(pool, { kind: 'ended', id: 1, outcome: 'answered' }, 50)
  assert.equal(decisions.map((decision) => decision.id), [3])
})

suite('a plain service without responses so far is not assumed to be slow', () => {
  const pool = poolOf(fixtures.PLAIN, [fixtures.targetOf('i-1', 'stock', 4)])
  const decisions = Array.from({ length: 8 }, (_, id) => arrive(pool, fixtures.requestOf(id, { targetLatencyMs: 120, limitMs: 1_500 }))).flat()
  assert.equal(decisions.filter((decision) => decision.kind === 'refuse'), [])
  assert.is(pool.waiting, 4)
})

const SHARES: readonly (readonly [share: number, dispatched: number])[] = [[1, 9], [0.5, 5], [0.3, 3], [0.05, 2]]

for (const [share, dispatched] of SHARES) {
  suite(`a cell with share ${share} of an engine with eight slots and a queue of one dispatches ${dispatched}`, () => {
    const pool = new routing.pool.Pool({ service: fixtures.ENGINE, random: () => 0.5 })
    drain(pool, { kind: 'targets', targetShares: [{ target: fixtures.targetOf('i-1', 'support', 8), share }] }, 0)
    const decisions = Array.from({ length: 12 }, (_, id) => arrive(pool, fixtures.requestOf(id))).flat()
    assert.is(decisions.filter((decision) => decision.kind === 'dispatch').length, dispatched)
  })
}

suite('an engine that reports itself full of requests of other cells gets no more', () => {
  const pool = new routing.pool.Pool({ service: fixtures.ENGINE, random: () => 0.5 })
  drain(pool, { kind: 'targets', targetShares: [{ target: fixtures.targetOf('i-1', 'support', 8), share: 0.5 }] }, 0)
  drain(pool, { kind: 'load-reported', target: 'i-1', running: 8, waiting: 1, slots: 8 }, 0)
  assert.equal(arrive(pool, fixtures.requestOf(1)), [])
})

const ORDER: readonly (readonly [what: string, first: Partial<routing.poolEvent.PlacementRequest>, second: Partial<routing.poolEvent.PlacementRequest>, next: number])[] = [
  ['the earlier of two equal requests', { arrivedMs: 0 }, { arrivedMs: 10 }, 2],
  ['a request in time before one that was resubmitted', { arrivedMs: 0, resubmitted: true }, { arrivedMs: 10 }, 3],
  ['a request of a more urgent priority before an earlier one', { arrivedMs: 0, priority: 1 }, { arrivedMs: 10, priority: 0 }, 3],
  ['a late request of a more urgent priority before one in time', { arrivedMs: 0, priority: 0, resubmitted: true }, { arrivedMs: 10, priority: 1 }, 2]
]

for (const [what, first, second, next] of ORDER) {
  suite(`a freed slot goes to ${what}`, () => {
    const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 2)])
    arrive(pool, fixtures.requestOf(1))
    arrive(pool, fixtures.requestOf(9))
    arrive(pool, fixtures.requestOf(2, { targetLatencyMs: 3_000, ...first }))
    arrive(pool, fixtures.requestOf(3, { targetLatencyMs: 3_000, ...second }))
    const decisions = drain(pool, { kind: 'ended', id: 1, outcome: 'answered' }, 50)
    assert.equal(decisions.map((decision) => decision.id), [next])
  })
}

suite('a request that has waited longer at a peer is placed first', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 2)])
  drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [1, 0] }, waiting: [[0, 1, 200]] } }, 100)
  assert.equal(arrive(pool, fixtures.requestOf(1, { arrivedMs: 110 })), [])
  assert.is(drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [1, 0] }, waiting: [] } }, 130).length, 1)
})

suite('a resubmitted request waits longer before it is refused again', () => {
  const refusedAt = (resubmitted: boolean): number => {
    const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 1)])
    arrive(pool, fixtures.requestOf(1))
    drain(pool, { kind: 'arrived', request: fixtures.requestOf(2, { resubmitted, limitMs: 12_000, targetLatencyMs: 800 }) }, 0)
    for (let nowMs = 0; nowMs < 12_000; nowMs += 50) if (drain(pool, { kind: 'tick' }, nowMs).length > 0) return nowMs
    return Infinity
  }
  assert.ok(refusedAt(true) > refusedAt(false))
  assert.ok(refusedAt(true) < 12_000)
})

suite('Retry-After leaves the caller most of its time and differs between callers', () => {
  const request = fixtures.requestOf(1, { limitMs: 12_000 })
  const times = [0, 0.5, 1].map((random) => routing.waitingOrder.retryAfterMs(request, 100, random, 0))
  assert.is(new Set(times).size, 3)
  assert.ok(times.every((time) => time > 0 && time < 6_000))
})

suite('an engine too slow to finish a generation in time does not get it', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 12), fixtures.targetOf('i-2', 'support', 12)])
  for (let id = 1; id <= 60; id += 1) {
    const [decision] = arrive(pool, fixtures.requestOf(id, { outputTokens: 10 }))
    const slow = decision?.kind === 'dispatch' && decision.target.id === 'i-1'
    for (let events = 0; events < 5; events += 1) drain(pool, { kind: 'next-event', id, intervalMs: slow ? 100 : 20 }, 500)
    drain(pool, { kind: 'ended', id, outcome: 'answered' }, 600)
  }
  for (let id = 100; id < 112; id += 1) {
    const [decision] = arrive(pool, fixtures.requestOf(id, { outputTokens: 2_000 }))
    assert.ok(decision?.kind === 'dispatch' && decision.target.id === 'i-2')
  }
})

suite('when every target is ejected, one of them is used', () => {
  const pool = poolOf(fixtures.PLAIN, [fixtures.targetOf('i-1', 'stock', 6)])
  for (let id = 1; id <= 4; id += 1) {
    assert.is(arrive(pool, fixtures.requestOf(id))[0]?.kind, 'dispatch')
    drain(pool, { kind: 'ended', id, outcome: 'failed' }, 0)
  }
})

suite('a request that can not be served within its maximum wait is refused at once, with a Retry-After', () => {
  const pool = poolOf(fixtures.PLAIN, [fixtures.targetOf('i-1', 'stock', 1)])
  arrive(pool, fixtures.requestOf(1))
  const decisions = [...Array(60).keys()].flatMap((index) => arrive(pool, fixtures.requestOf(index + 2, { limitMs: 1_500, targetLatencyMs: 120 })))
  const refused = decisions.find((decision) => decision.kind === 'refuse')
  assert.ok(refused?.kind === 'refuse' && refused.reason === 'overloaded' && refused.retryAfterMs > 0 && refused.figures.waitedMs === 0)
})

suite('no request is refused while slots are free', () => {
  const pool = poolOf(fixtures.ENGINE, ENGINES)
  for (const id of [1, 2, 3, 4]) assert.equal(arrive(pool, fixtures.requestOf(id, { limitMs: 10 })).map((decision) => decision.kind), ['dispatch'])
})

suite('a target with consecutive failures is ejected, and is used again when all are ejected', () => {
  const pool = poolOf(fixtures.PLAIN, [fixtures.targetOf('i-1', 'stock', 6), fixtures.targetOf('i-2', 'stock', 6)])
  let id = 1
  for (let failures = 0; failures < 3; id += 1) {
    const [decision] = arrive(pool, fixtures.requestOf(id))
    const failed = decision?.kind === 'dispatch' && decision.target.id === 'i-1'
    drain(pool, { kind: 'ended', id, outcome: failed ? 'failed' : 'answered' }, 0)
    if (failed) failures += 1
    if (id > 50) break
  }
  for (let index = 0; index < 5; index += 1, id += 1) {
    const [decision] = arrive(pool, fixtures.requestOf(id))
    assert.ok(decision?.kind === 'dispatch' && decision.target.id === 'i-2')
  }
  drain(pool, { kind: 'targets', targetShares: wholeShares([fixtures.targetOf('i-1', 'stock', 6)]) }, 0)
  const [last] = arrive(pool, fixtures.requestOf(id))
  assert.ok(last?.kind === 'dispatch' && last.target.id === 'i-1')
})

suite('a removed target gets no new requests', () => {
  const pool = poolOf(fixtures.ENGINE, ENGINES)
  const [first] = arrive(pool, fixtures.requestOf(1))
  const removedId = first?.kind === 'dispatch' ? first.target.id : ''
  drain(pool, { kind: 'targets', targetShares: wholeShares(ENGINES.filter((target) => target.id !== removedId)) }, 0)
  const decisions = [2, 3].flatMap((id) => arrive(pool, fixtures.requestOf(id)))
  assert.ok(decisions.every((decision) => decision.kind === 'dispatch' && decision.target.id !== removedId))
  assert.equal(arrive(pool, fixtures.requestOf(4)), [])
})

suite('without targets a request is refused at once', () => {
  const pool = poolOf(fixtures.ENGINE, [])
  const [decision] = arrive(pool, fixtures.requestOf(1))
  assert.ok(decision?.kind === 'refuse' && decision.reason === 'no-target')
})

suite('an isolated daemon stays within its share of the slots', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 12)])
  drain(pool, { kind: 'fleet', reachable: 1, daemons: 9 }, 0)
  const dispatched = [...Array(12).keys()].flatMap((index) => arrive(pool, fixtures.requestOf(index + 1)))
  assert.is(dispatched.filter((decision) => decision.kind === 'dispatch').length, 2)
})

suite('the faster of two engines gets the request', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 12), fixtures.targetOf('i-2', 'support', 12)])
  for (let id = 1; id <= 40; id += 1) {
    const [decision] = arrive(pool, fixtures.requestOf(id))
    const slow = decision?.kind === 'dispatch' && decision.target.id === 'i-1'
    drain(pool, { kind: 'first-event', id }, slow ? 400 : 50)
    drain(pool, { kind: 'next-event', id, intervalMs: slow ? 80 : 12 }, 500)
    drain(pool, { kind: 'ended', id, outcome: 'answered' }, 600)
  }
  const [decision] = arrive(pool, fixtures.requestOf(100))
  assert.ok(decision?.kind === 'dispatch' && decision.target.id === 'i-2')
})

const VERSIONED = [fixtures.targetOf('i-1', 'support', 1), { ...fixtures.targetOf('i-2', 'support', 12), version: 'v2' }]

suite('a resumed stream waits for a slot at its version, also as a retry, and is placed before others', () => {
  const pool = poolOf(fixtures.ENGINE, VERSIONED)
  const [first] = arrive(pool, fixtures.requestOf(1, { version: 'v1' }))
  assert.ok(first?.kind === 'dispatch' && first.target.id === 'i-1')
  assert.equal(arrive(pool, fixtures.requestOf(2, { version: 'v1' })), [])
  const [other] = arrive(pool, fixtures.requestOf(3))
  assert.ok(other?.kind === 'dispatch' && other.target.id === 'i-2')
  const [next] = drain(pool, { kind: 'ended', id: 1, outcome: 'answered' }, 100)
  assert.ok(next?.kind === 'dispatch' && next.id === 2 && next.target.id === 'i-1')
  assert.equal(arrive(pool, fixtures.requestOf(4, { version: 'v1', isRetry: true, excludedTargets: new Set(['i-1']) })), [])
})

suite('a resumed stream whose version has no target is refused at once', () => {
  const pool = poolOf(fixtures.ENGINE, VERSIONED)
  const [decision] = arrive(pool, fixtures.requestOf(1, { version: 'v3' }))
  assert.ok(decision?.kind === 'refuse' && decision.reason === 'version-gone')
})

/** A request at the silent target `i-1` that looks for another one. */
const MOVING = { isRetry: true, relocation: { left: new Set(['i-1']), toOthers: true, toLeft: false } }

/** A request that has left `i-1`, to which it may return. */
const RETURNING = { isRetry: true, relocation: { ...MOVING.relocation, toLeft: true } }

/** What a request that leaves `i-1` meets at the other target, and whether that is an alternative. */
const ALTERNATIVES: readonly (readonly [what: string, other: Partial<routing.targetRegistry.Target> | undefined, changes: Partial<routing.poolEvent.PlacementRequest>, isAlternative: boolean])[] = [
  ['a sound target', {}, {}, true],
  ['no other target', undefined, {}, false],
  ['a target of another version', { version: 'v2' }, { version: 'v1' }, false],
  ['a target of its version', { version: 'v2' }, { version: 'v2' }, true],
  ['a target at which it has failed', {}, { excludedTargets: new Set(['i-2']) }, false],
  ['a target that it has left as well', {}, { relocation: { ...MOVING.relocation, left: new Set(['i-1', 'i-2']) } }, false]
]

/** Services that place requests in both ways. */
const ENGINE_SERVICES: readonly routing.document.Service[] = [fixtures.ENGINE, { ...fixtures.ENGINE, scheduling: 'adaptive' }]

function dispatchedTo (decisions: readonly routing.poolEvent.PoolDecision[]): readonly string[] {
  return decisions.map((decision) => decision.kind === 'dispatch' ? decision.target.id : decision.reason)
}

for (const service of ENGINE_SERVICES) {
  const how = service.scheduling ?? 'default'

  for (const [what, other, changes, isAlternative] of ALTERNATIVES) {
    suite(`${what} is ${isAlternative ? 'an' : 'no'} alternative to a silent one (${how})`, () => {
      const others = other === undefined ? [] : [{ ...fixtures.targetOf('i-2', 'support', 2), ...other }]
      const pool = poolOf(service, [fixtures.targetOf('i-1', 'support', 2), ...others])
      assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(1, { ...MOVING, ...changes }))), isAlternative ? ['i-2'] : [])
      assert.is(pool.needsTick, !isAlternative)
    })
  }

  // A full target counted as one that can take the request, as retries may exceed the slots of targets (review/8).
  suite(`a full target is no alternative to a silent one until it has a free slot, which the request then gets first (${how})`, () => {
    const pool = poolOf(service, [fixtures.targetOf('i-1', 'support', 2), fixtures.targetOf('i-2', 'support', 2)])
    drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [2, 0], 'i-2': [1, 0] }, waiting: [] } }, 0)
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(1))), ['i-2'])
    assert.equal(arrive(pool, fixtures.requestOf(2, MOVING)), [])
    const waiting = arrive(pool, fixtures.requestOf(3))
    assert.equal(dispatchedTo(waiting).includes('i-2'), false)
    const decisions = drain(pool, { kind: 'ended', id: 1, outcome: 'answered' }, 100)
    assert.equal([decisions[0]?.id, dispatchedTo(decisions)[0]], [2, 'i-2'])
  })

  suite(`a request that can't go on elsewhere holds no slot back from others, and is never refused (${how})`, () => {
    const pool = poolOf(service, [fixtures.targetOf('i-1', 'support', 2)])
    assert.equal(arrive(pool, fixtures.requestOf(1, MOVING)), [])
    assert.equal([pool.waiting, pool.load(0).waiting], [0, []])
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(2))), ['i-1'])
    assert.equal(drain(pool, { kind: 'tick' }, 14_000), [])
    drain(pool, { kind: 'left', id: 1 }, 14_000)
    assert.is(pool.needsTick, false)
  })

  suite(`a target that is silent as well, or can not be reached, is no alternative (${how})`, () => {
    const pool = poolOf(service, ENGINES)
    for (const id of [1, 2]) arrive(pool, fixtures.requestOf(id))
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(3, MOVING), 900)), ['i-2'])
    drain(pool, { kind: 'left', id: 3 }, 900)
    assert.equal(arrive(pool, fixtures.requestOf(4, MOVING), 1_100), [])
    drain(pool, { kind: 'left', id: 4 }, 1_100)
    const unreachable = poolOf(service, ENGINES)
    assert.equal(dispatchedTo(arrive(unreachable, fixtures.requestOf(5, { isRetry: true, excludedTargets: new Set(['i-1']) }))), ['i-2'])
    drain(unreachable, { kind: 'ended', id: 5, outcome: 'unreachable' }, 900)
    assert.equal(arrive(unreachable, fixtures.requestOf(6, MOVING), 900), [])
  })

  suite(`a request that has left a target returns there if no other can take it, also while it is silent or ejected (${how})`, () => {
    const pool = poolOf(service, ENGINES)
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(1, { ...RETURNING, excludedTargets: new Set(['i-2']) }))), ['i-1'])
    drain(pool, { kind: 'ended', id: 1, outcome: 'unreachable' }, 10)
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(2, { ...RETURNING, excludedTargets: new Set(['i-2']) }), 20)), ['i-1'])
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(3, { ...RETURNING, excludedTargets: new Set(['i-2']) }), 1_200)), ['i-1'])
  })

  suite(`a request that may go to no further target returns to one that it has left (${how})`, () => {
    const pool = poolOf(service, ENGINES)
    assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(1, { ...RETURNING, relocation: { ...RETURNING.relocation, toOthers: false } }))), ['i-1'])
  })
}

// Guards against a request that waits until its limit for targets that are gone.
for (const toOthers of [true, false]) {
  suite(`a request that has left a target is refused once no target is left at which it could go on (others ${toOthers ? 'may' : 'must not'} get it)`, () => {
    const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 2), fixtures.targetOf('i-2', 'support', 2)])
    drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [2, 0], 'i-2': [2, 0] }, waiting: [] } }, 0)
    assert.equal(arrive(pool, fixtures.requestOf(1, { ...RETURNING, relocation: { ...RETURNING.relocation, toOthers } })), [])
    const withoutFirst = drain(pool, { kind: 'targets', targetShares: wholeShares([fixtures.targetOf('i-2', 'support', 2)]) }, 10)
    assert.equal(dispatchedTo(withoutFirst), toOthers ? [] : ['no-target'])
    assert.equal(dispatchedTo(drain(pool, { kind: 'targets', targetShares: [] }, 20)), toOthers ? ['no-target'] : [])
    assert.is(pool.needsTick, false)
  })
}

// A retry went to the target with the best score, although it was full and another one was not.
suite('a retry exceeds the slots of a target only if all are in use', () => {
  const pool = poolOf(fixtures.ENGINE, [fixtures.targetOf('i-1', 'support', 2), fixtures.targetOf('i-2', 'support', 2)])
  drain(pool, { kind: 'peer-load', peer: 'p', load: { targets: { 'i-1': [2, 0], 'i-2': [1, 9_000] }, waiting: [] } }, 0)
  assert.equal(dispatchedTo(arrive(pool, fixtures.requestOf(1, { isRetry: true }))), ['i-2'])
  assert.is(arrive(pool, fixtures.requestOf(2, { isRetry: true })).length, 1)
})

suite.run()
