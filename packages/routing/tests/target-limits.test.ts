import * as routing from '@persimmonhatch/routing'
import * as fc from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('limits of targets')

const TARGET = 'i-1'

function createLimits (startedMs = 0): routing.targetLimits.TargetLimits {
  return routing.targetLimits.createTargetLimits(() => startedMs)
}

function observe (limits: routing.targetLimits.TargetLimits, requestsPerS: number | undefined, known = limits.statementOf(TARGET)): boolean {
  return limits.observe({ target: TARGET, requestsPerS, known }, 0)
}

suite('a limit holds until a response to a later request names another or none', () => {
  const limits = createLimits()
  assert.ok(observe(limits, 2.8))
  assert.not.ok(observe(limits, 2.8))
  assert.ok(observe(limits, 4))
  assert.is(limits.limitOf(TARGET), 4)
  assert.ok(observe(limits, undefined))
  assert.equal([limits.limitOf(TARGET), limits.limitedCount()], [undefined, 0])
})

const CONCURRENT: readonly (readonly [description: string, held: number | undefined, named: number | undefined, limit: number | undefined])[] = [
  ['a lower limit applies', 3, 2, 2],
  ['a higher limit does not', 3, 4, 3],
  ['none does not', 3, undefined, 3],
  ['a limit after its end applies', undefined, 3, 3]
]

for (const [description, held, named, limit] of CONCURRENT) {
  suite(`of a response to a request that was sent before the last change, ${description}`, () => {
    const limits = createLimits()
    observe(limits, 1)
    const known = limits.statementOf(TARGET)
    observe(limits, held)
    observe(limits, named, known)
    assert.is(limits.limitOf(TARGET), limit)
  })
}

suite('an outdated statement of a peer changes nothing', () => {
  const [limits, peer] = [createLimits(), createLimits()]
  observe(limits, 2)
  const outdated = limits.statementOf(TARGET)
  observe(limits, undefined)
  if (outdated !== undefined) peer.apply(outdated, 'cell', 0)
  for (const statement of peer.select({ sinceMs: 0, sources: ['own', 'cell'], withOthers: true, maxRows: 8 })) limits.apply(statement, 'cell', 0)
  assert.is(limits.limitOf(TARGET), undefined)
})

suite('a limit ends when the target starts again, and what is said of the start before is ignored', () => {
  let startedMs = 100
  const limits = routing.targetLimits.createTargetLimits(() => startedMs)
  observe(limits, 2)
  const before = limits.statementOf(TARGET)
  startedMs = 200
  assert.is(limits.limitOf(TARGET), undefined)
  observe(limits, 3)
  if (before !== undefined) limits.apply({ ...before, revision: 9 }, 'cell', 0)
  assert.is(limits.limitOf(TARGET), 3)
})

suite('a limit outlasts the absence of the entry of its target, as entries lapse while the store is unavailable', () => {
  const limits = createLimits()
  observe(limits, 2)
  for (let nowMs = 0; nowMs <= 50_000; nowMs += 10_000) limits.retain(new Set(), nowMs)
  assert.is(limits.limitOf(TARGET), 2)
  limits.retain(new Set([TARGET]), 55_000)
  limits.retain(new Set(), 60_000)
  limits.retain(new Set(), 110_000)
  assert.is(limits.limitOf(TARGET), 2)
  limits.retain(new Set(), 130_000)
  assert.is(limits.limitOf(TARGET), undefined)
})

suite('daemons that get the same statements in any order agree', () => {
  const statement = fc.record({
    target: fc.constant(TARGET),
    startedMs: fc.integer({ min: 0, max: 2 }),
    revision: fc.integer({ min: 1, max: 3 }),
    requestsPerS: fc.option(fc.integer({ min: 0, max: 3 }), { nil: undefined })
  }, { noNullPrototype: true })
  fc.assert(fc.property(fc.array(statement, { minLength: 1, maxLength: 8 }).chain((statements) => fc.tuple(fc.constant(statements), fc.shuffledSubarray(statements, { minLength: statements.length }))), ([statements, shuffled]) => {
    const [one, other] = [createLimits(), createLimits()]
    for (const each of statements) one.apply(each, 'cell', 0)
    for (const each of shuffled) other.apply(each, 'cell', 0)
    assert.equal(one.statementOf(TARGET), other.statementOf(TARGET))
  }), { seed: 23 })
})

suite('recent statements are selected first and the others in turn, within the number of rows', () => {
  const limits = createLimits()
  for (let index = 0; index < 10; index += 1) limits.apply({ target: `i-${index}`, startedMs: 0, revision: 1, requestsPerS: 1 }, index < 9 ? 'cell' : 'fleet', index < 8 ? 0 : 100)
  const selected = Array.from({ length: 4 }, () => limits.select({ sinceMs: 100, sources: ['cell'], withOthers: true, maxRows: 4 }).map(({ target }) => target))
  for (const targets of selected) assert.is(targets[0], 'i-8')
  assert.is(new Set(selected.flat()).size, 10)
  assert.is(limits.select({ sinceMs: 100, sources: ['cell'], withOthers: false, maxRows: 4 }).length, 1)
})

for (const members of [1, 2, 9, 87, 320]) {
  for (const targets of [1, 4, 63]) {
    suite(`the shares of ${members} daemons add up to no more than the limit, ${targets} targets`, () => {
      for (const requestsPerS of [0, 0.3, 1, 2.8, 7.5, 60, 400]) {
        for (let index = 0; index < targets; index += 1) {
          const shares = Array.from({ length: members }, (_, member) => routing.rateShare.shareRate(requestsPerS, { index, targets }, { index: member, members }).ownRequestsPerS)
          const senders = shares.filter((share) => share > 0)
          // The users' bound in 4 s, if every sender uses its rate and its burst.
          const burst = senders.reduce((sum, share) => sum + Math.max(1, share), 0)
          assert.ok(senders.length > 0)
          assert.ok(burst + 4 * senders.reduce((sum, share) => sum + share, 0) <= 1.5 * 4 * requestsPerS + 5)
        }
      }
    })
  }
}

suite('every daemon is a sender of some target if there are enough senders', () => {
  for (const [members, targets, requestsPerS] of [[9, 8, 2.8], [87, 63, 2.8], [87, 4, 30]] as const) {
    for (let index = 0; index < members; index += 1) {
      const rates = Array.from({ length: targets }, (_, target) => routing.rateShare.shareRate(requestsPerS, { index: target, targets }, { index, members }).ownRequestsPerS)
      assert.ok(rates.some((rate) => rate > 0), `daemon ${index} of ${members}`)
    }
  }
})

suite('a bucket starts empty, fills at its rate and holds one request at least', () => {
  const bucket = new routing.rateBucket.RateBucket()
  assert.is(bucket.tokens(0), Infinity)
  bucket.configure(0.5, 0)
  assert.equal([bucket.tokens(0), bucket.waitMs(0), bucket.tokens(1_000), bucket.tokens(9_000)], [0, 2_000, 0.5, 1])
  bucket.take(9_000)
  bucket.configure(0.5, 9_500)
  assert.is(bucket.tokens(10_000), 0.5)
  bucket.configure(0, 10_000)
  assert.equal([bucket.tokens(20_000), bucket.waitMs(20_000)], [0, Infinity])
  bucket.configure(undefined, 20_000)
  assert.is(bucket.tokens(20_000), Infinity)
})

suite.run()
