import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as parseServiceDocument from '../src/parse-service-document.js'
import * as fixtures from './fixtures.js'

const parse = uvu.suite('parseServiceDocument')

const [engineA, engineB] = fixtures.LISTINGS.targets

const VALID: Readonly<Record<string, string>> = {
  'a plain document': fixtures.listings(),
  'comments and trailing commas': `// listings\n${fixtures.listings().replace(/}$/, ',}')}`,
  'a plain service': fixtures.listings({ kind: 'plain', engine: undefined }),
  'a path with a trailing star': fixtures.listings({ requests: [{ path: '/v1/*' }] })
}

const INVALID: ReadonlyArray<readonly [name: string, text: string, path: string, value: RegExp, remedy: RegExp]> = [
  ['an empty text', '', 'line 1, column 1', /end of file/, /correct the JSON/],
  ['broken JSON', '{\n  "service" 1}', 'line 2, column 13', /1/, /ColonExpected/],
  ['a list', '[]', '(whole file)', /\[\]/, /type object/],
  ['a repeated key', '{"service": "a", "service": "b"}', 'service', /"b"/, /keep one/],
  ['a prototype key', '{"__proto__": {}}', '__proto__', /\{\}/, /remove it/],
  ['an unknown key', fixtures.listings({ targetz: 1 }), 'targetz', /1/, /use one of service, kind, tiers/],
  ['a nested unknown key', fixtures.listings({ targets: [{ ...engineA, zone: 'a' }] }), 'targets[0].zone', /"a"/, /availabilityZone/],
  ['a missing key', fixtures.listings({ defaultTier: undefined }), 'defaultTier', /\(missing\)/, /add this key/],
  ['a wrong type', fixtures.listings({ organisations: 'fes' }), 'organisations', /"fes"/, /type array/],
  ['a wrong kind', fixtures.listings({ kind: 'engine' }), 'kind', /"engine"/, /model, plain/],
  ['a name in capitals', fixtures.listings({ service: 'Listings' }), 'service', /"Listings"/, /lower-case/],
  ['no targets', fixtures.listings({ targets: [] }), 'targets', /\[\]/, /list at least 1/],
  ['too high a rank', fixtures.listings({ tiers: [{ name: 'urgent', rank: 16 }, { name: 'batch', rank: 1 }] }), 'tiers[0].rank', /16/, /15 or less/],
  ['a share of zero', fixtures.listings({ organisations: [{ name: 'fes', share: 0 }] }), 'organisations[0].share', /0/, /more than 0/],
  ['two tiers with one rank', fixtures.listings({ tiers: [{ name: 'urgent', rank: 1 }, { name: 'batch', rank: 1 }] }), 'tiers[1].rank', /1/, /tiers\[0\]/],
  ['two tiers with one name', fixtures.listings({ tiers: [{ name: 'urgent', rank: 1 }, { name: 'urgent', rank: 2 }], requests: [] }), 'tiers[1].name', /urgent/, /tiers\[0\]/],
  ['a repeated organisation', fixtures.listings({ organisations: [{ name: 'fes' }, { name: 'fes' }] }), 'organisations[1].name', /fes/, /organisations\[0\]/],
  ['a target in two pools', fixtures.listings({ targets: [engineA, { ...engineA, pool: 'other', address: '127.0.0.1:1' }] }), 'targets[1].name', /engine-a/, /targets\[0\]/],
  ['an address under two names', fixtures.listings({ targets: [engineA, { ...engineB, address: engineA?.address }] }), 'targets[1].address', /9101/, /targets\[0\]/],
  ['an address without a port', fixtures.listings({ targets: [{ ...engineA, address: '127.0.0.1' }] }), 'targets[0].address', /127/, /IP number and a port/],
  ['an octet out of range', fixtures.listings({ targets: [{ ...engineA, address: '127.0.0.256:1' }] }), 'targets[0].address', /256/, /octets up to 255/],
  ['a port out of range', fixtures.listings({ targets: [{ ...engineA, address: '127.0.0.1:65536' }] }), 'targets[0].address', /65536/, /port from 1/],
  ['an unknown default tier', fixtures.listings({ defaultTier: 'gold' }), 'defaultTier', /gold/, /urgent, batch/],
  ['an unknown tier in a rule', fixtures.listings({ requests: [{ path: '/a', tier: 'gold' }] }), 'requests[0].tier', /gold/, /urgent, batch/],
  ['a star inside a path', fixtures.listings({ requests: [{ path: '/a*/b' }] }), 'requests[0].path', /a\*/, /last character/],
  ['a rule given twice', fixtures.listings({ requests: [{ path: '/a' }, { path: '/a', method: 'POST' }] }), 'requests[1].path', /POST/, /requests\[0\]/],
  ['an engine of a plain service', fixtures.listings({ kind: 'plain' }), 'engine', /small/, /set kind to model/]
]

for (const [name, text] of Object.entries(VALID)) {
  parse(`accepts ${name}`, () => { assert.ok(parseServiceDocument.parseServiceDocument(text).isOk()) })
}

for (const [name, text, path, value, remedy] of INVALID) {
  parse(`rejects ${name}`, () => {
    const error = parseServiceDocument.parseServiceDocument(text)._unsafeUnwrapErr()
    const found = error.problems.find((problem) => problem.path === path)
    assert.ok(found, error.message)
    assert.match(found.value, value)
    assert.match(found.remedy, remedy)
  })
}

parse('lists every problem at once', () => {
  const text = fixtures.listings({ service: 'A', kind: 'x', targetz: 1 })
  assert.is(parseServiceDocument.parseServiceDocument(text)._unsafeUnwrapErr().problems.length, 3)
})

parse.run()
