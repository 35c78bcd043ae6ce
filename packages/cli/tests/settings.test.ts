import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as settings from '../src/settings.js'
import * as harness from './harness.js'

const suite = uvu.suite('settings')

const NO_FLAGS: settings.Flags = { settings: undefined, platform: undefined, daemons: undefined, operator: undefined }

function createFiles (text: string | undefined): Parameters<typeof settings.readSettings>[0] {
  const fixture = new harness.Fixture()
  if (text !== undefined) fixture.files.set(settings.DEFAULT_FILE, text)
  return fixture.createFiles()
}

suite('has defaults', () => {
  const checked = settings.readSettings(createFiles(undefined), {}, NO_FLAGS)._unsafeUnwrap()
  assert.equal(checked.platform.endpoints, ['http://127.0.0.1:2379'])
})

suite('gives the environment precedence over the file, and flags precedence over the environment', () => {
  const file = '{ "operator": "file", "daemons": ["127.0.0.1:1"], "platform": { "endpoints": ["http://127.0.0.1:1"] } } // ours'
  const environment = { PERSIMMONHATCH_OPERATOR: 'environment', PERSIMMONHATCH_DAEMONS: '127.0.0.1:2, 127.0.0.1:3' }
  const checked = settings.readSettings(createFiles(file), environment, { ...NO_FLAGS, operator: 'flag' })._unsafeUnwrap()
  assert.is(checked.operator, 'flag')
  assert.equal(checked.daemons, ['127.0.0.1:2', '127.0.0.1:3'])
  assert.equal(checked.platform.endpoints, ['http://127.0.0.1:1'])
})

const INVALID_CASES: ReadonlyArray<readonly [name: string, file: string, environment: Readonly<Record<string, string>>, flags: Partial<settings.Flags>, text: RegExp]> = [
  ['an unknown key', '{ "platfrom": {} }', {}, {}, /platfrom is \{\}: unknown key: remove it or use one of platform, daemons/],
  ['an unknown nested key', '{ "platform": { "hosts": [] } }', {}, {}, /platform.hosts is \[\]: .*endpoints, timeoutMs/],
  ['a value of the wrong type', '{ "daemonTimeoutMs": "2s" }', {}, {}, /daemonTimeoutMs is "2s": use a value of type number/],
  ['no endpoint', '{ "platform": { "endpoints": [] } }', {}, {}, /platform.endpoints is \[\]: list at least 1/],
  ['broken JSON', '{ "operator" }', {}, {}, /line 1, column 14/],
  ['an unknown variable', '{}', { PERSIMMONHATCH_PLATFROM: 'x' }, {}, /PERSIMMONHATCH_PLATFROM is "x": unknown variable/],
  ['an invalid variable', '{}', { PERSIMMONHATCH_PLATFORM: 'localhost' }, {}, /environment is not valid:\n {2}platform.endpoints\[0\] is "localhost": use a base URL/],
  ['an invalid flag', '{}', {}, { daemons: ['here'] }, /command line is not valid:\n {2}daemons\[0\] is "here": use an IP number and a port/],
  ['a missing file', '{}', {}, { settings: 'other.jsonc' }, /other.jsonc cannot be read/]
]

for (const [name, file, environment, flags, text] of INVALID_CASES) {
  suite(`refuses ${name}`, () => {
    const error = settings.readSettings(createFiles(file), environment, { ...NO_FLAGS, ...flags })._unsafeUnwrapErr()
    assert.is(error.exit, 'invalid')
    assert.match(error.message, text)
  })
}

suite.run()
