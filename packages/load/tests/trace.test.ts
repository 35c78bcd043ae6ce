import * as fs from 'node:fs'
import * as path from 'node:path'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as capacity from '../src/trace/capacity.js'
import * as readTrace from '../src/trace/read-trace.js'
import * as traces from './traces.js'

const test = uvu.suite('trace')
const SHORT = traces.generateShortTrace(traces.PROFILES[0] as (typeof traces.PROFILES)[number], 0.7)
const HEADER = readTrace.writeTrace({ ...SHORT, arrivals: [], events: [] }).trimEnd()

function errorMessageOf (lines: readonly string[]): string {
  const parsed = readTrace.readTrace([HEADER, ...lines].join('\n'))
  return parsed.isErr() ? parsed.error.message : 'ok'
}

test('a serialized trace parses to an equal trace', () => {
  assert.equal(readTrace.readTrace(readTrace.writeTrace(SHORT))._unsafeUnwrap(), SHORT)
})

test('the recorded traces are valid, small and match the load in their header', () => {
  for (const { deployment } of traces.PROFILES) {
    const text = fs.readFileSync(path.join(traces.PROJECT_ROOT, 'traces', `${deployment}.jsonl`), 'utf8')
    const parsed = readTrace.readTrace(text)._unsafeUnwrap()
    assert.is(parsed.header.deployment, deployment)
    assert.ok(text.length < 1_000_000)
    const kinds = new Map(parsed.header.kinds.map((kind) => [kind.name, kind.target]))
    const offered = parsed.arrivals.filter(({ kind }) => kinds.get(kind) === 'model').reduce((sum, { answer }) => sum + answer, 0)
    const capacityTokens = capacity.decodeTokensPerS(parsed.header.targets) * parsed.header.durationMs / 1_000
    assert.ok(Math.abs(offered / capacityTokens - parsed.header.load) < 0.1, `${offered / capacityTokens}`)
  }
})

test('the recorded traces list the targets that the generator lists', () => {
  for (const profile of traces.PROFILES) {
    const text = fs.readFileSync(path.join(traces.PROJECT_ROOT, 'traces', `${profile.deployment}.jsonl`), 'utf8')
    const { targets } = readTrace.readTrace(text)._unsafeUnwrap().header
    assert.equal(targets, traces.generateShortTrace(profile, 1).header.targets)
  }
})

test('an error names the invalid line', () => {
  const validLine = '{"atMs":5,"kind":"question","by":0,"prompt":200,"answer":20}'
  assert.is(errorMessageOf([validLine]), 'ok')
  assert.match(errorMessageOf([validLine, '{']), /^line 3: it is not JSON/)
  assert.match(errorMessageOf(['{"atMs":5,"kind":"question","by":0,"prompt":"many","answer":20}']), /^line 2: prompt: /)
  assert.match(errorMessageOf([validLine, '{"atMs":4,"kind":"question","by":0,"prompt":200,"answer":20}']), /^line 3: atMs 4 is before the line above/)
  assert.match(errorMessageOf(['{"atMs":5,"kind":"poem","by":0,"prompt":200,"answer":20}']), /no kind "poem"/)
  assert.match(errorMessageOf(['{"atMs":5,"kind":"question","by":9,"prompt":200,"answer":20}']), /no organisation 9/)
  assert.match(errorMessageOf(['{"type":"crash","atMs":5,"target":"engine-99","forMs":10}']), /no target "engine-99"/)
  assert.match(errorMessageOf(['{"type":"nap","atMs":5,"target":"engine-1"}']), /^line 2: type: /)
  assert.match(readTrace.readTrace('').match(() => 'ok', (error) => error.message), /^line 1: it is not JSON/)
})

test('slow periods and crashes reduce the decode capacity', () => {
  const fullCapacity = capacity.decodeCapacityTokens({ ...SHORT, events: [] })
  const slowCapacity = capacity.decodeCapacityTokens({ ...SHORT, events: [{ type: 'slowdown', atMs: 10_000, target: 'engine-1', factor: 2 }] })
  assert.is(fullCapacity - slowCapacity, 1_600 * 10 / 2)
  const crashedCapacity = capacity.decodeCapacityTokens({ ...SHORT, events: [{ type: 'crash', atMs: 10_000, target: 'engine-1', forMs: 3_000 }] })
  assert.is(fullCapacity - crashedCapacity, 1_600 * 3)
})

test.run()
