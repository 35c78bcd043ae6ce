import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as parseSettings from '../src/settings/parse-settings.js'

const VALID = {
  name: 'entry-1',
  availabilityZone: 'sierra-1',
  region: 'sierra',
  listen: { callers: '127.0.0.1:7401', peers: '127.0.0.1:7501' },
  platform: { keyValue: ['127.0.0.1:2379'] }
}

const valid = uvu.suite('parseSettings, valid')
const invalid = uvu.suite('parseSettings, invalid')

for (const [name, text] of Object.entries({
  'required keys only': JSON.stringify(VALID),
  'comments and trailing commas': `// daemon\n${JSON.stringify(VALID).replace(/}$/, ',}')}`,
  metrics: JSON.stringify({ ...VALID, metrics: { address: '127.0.0.1:8125' } })
})) {
  valid(name, () => assert.ok(parseSettings.parseSettings(text).isOk()))
}

valid('applies defaults', () => {
  const settings = parseSettings.parseSettings(JSON.stringify(VALID))._unsafeUnwrap()
  assert.is(settings.limits.requests, 2_000)
  assert.is(settings.drainMs, 15_000)
})

for (const [name, text, path, value, remedy] of [
  ['an unknown key', JSON.stringify({ ...VALID, listne: 1 }), 'listne', '1', /remove this unknown key/],
  ['an unknown nested key', JSON.stringify({ ...VALID, limits: { bodyByte: 5 } }), 'limits.bodyByte', '5', /remove this unknown key/],
  ['a missing key', JSON.stringify({ ...VALID, name: undefined }), 'name', 'missing', /./],
  ['a host name for an address', JSON.stringify({ ...VALID, listen: { callers: 'localhost:7401', peers: '127.0.0.1:7501' } }), 'listen.callers', '"localhost:7401"', /IP number and a port/],
  ['a limit below its minimum', JSON.stringify({ ...VALID, limits: { requests: 0 } }), 'limits.requests', '0', /./],
  ['broken JSON', '{ "name": ', '', 'malformed at line 1', /correct the JSON/]
] as const) {
  invalid(name, () => {
    const problems = parseSettings.parseSettings(text)._unsafeUnwrapErr().problems
    const found = problems.find((problem) => problem.path === path)
    assert.is(found?.value, value)
    assert.match(found?.remedy ?? '', remedy)
  })
}

valid.run()
invalid.run()
