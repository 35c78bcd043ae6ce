import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as checkAgainstOthers from '../src/check-against-others.js'
import * as parseServiceDocument from '../src/parse-service-document.js'
import * as resolveTargets from '../src/resolve-targets.js'
import type * as serviceDocument from '../src/service-document.js'
import * as fixtures from './fixtures.js'

const check = uvu.suite('checkAgainstOthers')

function parse (overrides: Readonly<Record<string, unknown>>): serviceDocument.ServiceDocument {
  return parseServiceDocument.parseServiceDocument(fixtures.listings(overrides))._unsafeUnwrap()
}

const [engineA, engineB] = fixtures.LISTINGS.targets
const listings = parse({})

const CONFLICTS: ReadonlyArray<readonly [name: string, overrides: Readonly<Record<string, unknown>>, path: string, remedy: RegExp]> = [
  ['another address', { targets: [{ ...engineA, address: '127.0.0.1:1' }] }, 'targets[0].address', /127.0.0.1:9101/],
  ['another pool', { targets: [{ ...engineA, pool: 'spare' }] }, 'targets[0].pool', /engines/],
  ['another availability zone', { targets: [engineB, { ...engineA, availabilityZone: 'zone-c' }] }, 'targets[1].availabilityZone', /zone-a/],
  ['other hardware', { targets: [{ ...engineA, hardware: 'fast' }] }, 'targets[0].hardware', /default/],
  ['another value of checksFencing', { targets: [{ ...engineA, checksFencing: true }] }, 'targets[0].checksFencing', /false/],
  ['another name', { targets: [{ ...engineA, name: 'engine-x' }] }, 'targets[0].address', /engine-a/],
  ['another kind', { kind: 'plain', engine: undefined }, 'targets[0]', /model engine or a plain service/],
  ['another model', { engine: { model: 'large' } }, 'targets[1]', /wants model small/]
]

for (const [name, overrides, path, remedy] of CONFLICTS) {
  check(`finds ${name}`, () => {
    const problems = checkAgainstOthers.checkAgainstOthers(parse({ service: 'warranty', ...overrides }), [listings])
    const found = problems.find((problem) => problem.path === path)
    assert.match(found?.remedy ?? '', remedy)
    assert.match(found?.remedy ?? '', /listings/)
  })
}

check('accepts services that declare shared targets equally', () => {
  assert.equal(checkAgainstOthers.checkAgainstOthers(parse({ service: 'warranty' }), [listings]), [])
})

check('ignores the earlier document of the same service', () => {
  const moved = parse({ targets: [{ ...engineA, address: '127.0.0.1:1' }] })
  assert.equal(checkAgainstOthers.checkAgainstOthers(moved, [listings]), [])
})

check('resolves conflicts in favour of the first service by name, whatever the order of documents', () => {
  const conflicting = parse({ service: 'warranty', targets: [{ ...engineA, address: '127.0.0.1:1' }, engineB] })
  for (const documents of [[listings, conflicting], [conflicting, listings]]) {
    const resolution = resolveTargets.resolveTargets(documents)
    assert.equal(resolution.documents.map((document) => document.targets.map((target) => target.name)), [['engine-a', 'engine-b'], ['engine-b']])
    assert.equal(resolution.problems.map((problem) => problem.service), ['warranty'])
  }
})

check.run()
