import * as fs from 'node:fs'
import * as path from 'node:path'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as capacity from '../src/trace/capacity.js'
import * as readTrace from '../src/trace/read-trace.js'
import * as traces from './traces.js'

const test = uvu.suite('trace')
const SHORT = traces.shortTrace(traces.PROFILES[0] as (typeof traces.PROFILES)[number], 0.7)
const HEADER = readTrace.writeTrace({ ...SHORT, arrivals: [], events: [] }).trimEnd()

function messageOf (lines: readonly string[]): string {
  const read = readTrace.readTrace([HEADER, ...lines].join('\n'))
  return read.isErr() ? read.error.message : 'ok'
}

test('a written trace reads back the same', () => {
  assert.equal(readTrace.readTrace(readTrace.writeTrace(SHORT))._unsafeUnwrap(), SHORT)
})

test('the recorded traces are valid, small and of the stated load', () => {
  for (const { deployment } of traces.PROFILES) {
    const text = fs.readFileSync(path.join(traces.ROOT, 'traces', `${deployment}.jsonl`), 'utf8')
    const read = readTrace.readTrace(text)._unsafeUnwrap()
    assert.is(read.header.deployment, deployment)
    assert.ok(text.length < 1_000_000)
    const kinds = new Map(read.header.kinds.map((kind) => [kind.name, kind.target]))
    const offered = read.arrivals.filter(({ kind }) => kinds.get(kind) === 'model').reduce((sum, { answer }) => sum + answer, 0)
    const writable = capacity.decodeTokensPerS(read.header.targets) * read.header.durationMs / 1_000
    assert.ok(Math.abs(offered / writable - read.header.load) < 0.1, `${offered / writable}`)
  }
})

test('the recorded traces are what the generator gives', () => {
  for (const profile of traces.PROFILES) {
    const text = fs.readFileSync(path.join(traces.ROOT, 'traces', `${profile.deployment}.jsonl`), 'utf8')
    const { targets } = readTrace.readTrace(text)._unsafeUnwrap().header
    assert.equal(targets, traces.shortTrace(profile, 1).header.targets)
  }
})

test('an error names the line', () => {
  const good = '{"atMs":5,"kind":"question","by":0,"prompt":200,"answer":20}'
  assert.is(messageOf([good]), 'ok')
  assert.match(messageOf([good, '{']), /^line 3: it is not JSON/)
  assert.match(messageOf(['{"atMs":5,"kind":"question","by":0,"prompt":"many","answer":20}']), /^line 2: prompt: /)
  assert.match(messageOf([good, '{"atMs":4,"kind":"question","by":0,"prompt":200,"answer":20}']), /^line 3: atMs 4 is before the line above/)
  assert.match(messageOf(['{"atMs":5,"kind":"poem","by":0,"prompt":200,"answer":20}']), /no kind "poem"/)
  assert.match(messageOf(['{"atMs":5,"kind":"question","by":9,"prompt":200,"answer":20}']), /no organisation 9/)
  assert.match(messageOf(['{"type":"crash","atMs":5,"target":"engine-99","forMs":10}']), /no target "engine-99"/)
  assert.match(messageOf(['{"type":"nap","atMs":5,"target":"engine-1"}']), /^line 2: type: /)
  assert.match(readTrace.readTrace('').match(() => 'ok', (error) => error.message), /^line 1: it is not JSON/)
})

test('slow periods and crashes reduce what the targets can write', () => {
  const whole = capacity.writableTokens({ ...SHORT, events: [] })
  const slow = capacity.writableTokens({ ...SHORT, events: [{ type: 'slowdown', atMs: 10_000, target: 'engine-1', factor: 2 }] })
  assert.is(whole - slow, 1_600 * 10 / 2)
  const crashed = capacity.writableTokens({ ...SHORT, events: [{ type: 'crash', atMs: 10_000, target: 'engine-1', forMs: 3_000 }] })
  assert.is(whole - crashed, 1_600 * 3)
})

test.run()
