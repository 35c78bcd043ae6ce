import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as index from '../src/index.js'

const PARAMETERS = { seed: 20261203, numRuns: 500 }

const test = uvu.suite('identities, rules and pool orders')

const textOf = (letters: string, minLength: number, maxLength: number): fc.Arbitrary<string> =>
  fc.string({ unit: fc.constantFrom(...letters), minLength, maxLength })

const segment = fc.constantFrom('reserve', 'units', '.', '..', '', '%72eserve', 'a b', '%')

test('a formatted identity parses to the same identity', () => {
  const identities = fc.record({ incarnation: textOf('abz09', 13, 13), epoch: fc.nat({ max: 999_999_999 }), nonce: textOf('aZ9_-', 1, 40) }, { noNullPrototype: true })
  fc.assert(fc.property(identities, (identity) => {
    assert.equal(index.identity.parse(index.identity.format(identity))._unsafeUnwrap(), identity)
  }), PARAMETERS)
})

test('an identity issued for a receipt can be parsed and distinguished from those of callers', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (number) => {
    const issued = index.identity.issueReceiptIdentity('abcdefghijklm', 7, () => number)
    const read = index.identity.parse(index.identity.format(issued))._unsafeUnwrap()
    assert.ok(index.identity.isReceiptOnly(read))
  }), PARAMETERS)
})

for (const text of ['', 'abcdefghijklm.1', 'abcdefghijkl.1.a', 'abcdefghijklm.1234567890.a', 'abcdefghijklm.-1.a', 'ABCDEFGHIJKLM.1.a', 'abcdefghijklm.1.a b', `abcdefghijklm.1.${'a'.repeat(41)}`, 'abcdefghijklm.1.a\n']) {
  test(`not an identity: ${JSON.stringify(text)}`, () => {
    assert.ok(index.identity.parse(text).isErr())
  })
}

test('normalising a path is idempotent and leaves no dot or empty segments', () => {
  fc.assert(fc.property(fc.array(segment, { maxLength: 6 }), (segments) => {
    const normal = index.requestRule.normalisePath(segments.join('/'))
    assert.is(index.requestRule.normalisePath(normal), normal)
    assert.not.match(normal, /\/\/|\/\.\.?(\/|$)|.\/$/)
  }), PARAMETERS)
})

test('a rule matches every spelling of its path', () => {
  const rules = [{ method: 'POST', path: '/units/reserve', nonIdempotent: true }, { method: 'POST', path: '/stock/*', nonIdempotent: false }] as const
  for (const path of ['/units/reserve', 'units/reserve/', '//units//reserve?x=1', '/a/../units/%72eserve', '/units/./reserve#f', '/%/../units/%72eserve', '/units%2Freserve']) {
    assert.is(index.requestRule.findRule(rules, 'post', path)?.path, '/units/reserve', path)
  }
  assert.is(index.requestRule.findRule(rules, 'POST', '/stock/7/check')?.path, '/stock/*')
  assert.is(index.requestRule.findRule(rules, 'GET', '/units/reserve'), undefined)
})

test('removing a pool moves only the keys that preferred it, and keys are distributed over all pools', () => {
  const pools = ['north', 'south', 'west']
  const preferred = new Map<string, number>()
  fc.assert(fc.property(fc.string(), fc.constantFrom(...pools), (key, gone) => {
    const order = index.poolOrder.rendezvousOrder(pools, key)
    assert.equal(index.poolOrder.rendezvousOrder(pools.filter((pool) => pool !== gone), key), order.filter((pool) => pool !== gone))
    preferred.set(order[0] ?? '', (preferred.get(order[0] ?? '') ?? 0) + 1)
  }), PARAMETERS)
  for (const pool of pools) assert.ok((preferred.get(pool) ?? 0) > PARAMETERS.numRuns / 5, `${pool}: ${preferred.get(pool) ?? 0}`)
})

test.run()
