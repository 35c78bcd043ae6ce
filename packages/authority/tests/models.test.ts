import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixture from './fixture.js'
import * as prefixIndex from '../src/prefix-index.js'
import type * as rateEstimator from '../src/rate-estimator.js'
import * as targetModel from '../src/target-model.js'

const models = uvu.suite('models of targets')

const SAMPLE: rateEstimator.Sample = { uncachedTokens: 1_000, answerTokens: 100, costTokens: 1_100, backlogMs: 0, firstTokenMs: 200, totalMs: 2_200, betweenTokensMs: undefined }
const LATE: rateEstimator.Sample = { ...SAMPLE, firstTokenMs: 20_000, totalMs: 22_000 }
const CROWDED: rateEstimator.Sample = { ...SAMPLE, totalMs: 6_200 }

/** A request's prompt, read at once. */
const NO_PROMPT = 0

function measured (): targetModel.TargetModel {
  const model = targetModel.createTargetModel('model', undefined)
  for (let sample = 0; sample < 20; sample++) model.learn(SAMPLE, 0)
  return model
}

function add (model: targetModel.TargetModel, requests: number, nowMs: number): void {
  for (let request = 0; request < requests; request++) model.add(1_000, NO_PROMPT, nowMs)
}

function remove (model: targetModel.TargetModel, requests: number, nowMs: number): void {
  for (let request = 0; request < requests; request++) model.remove(1_000, nowMs, nowMs)
}

/** A measured target that is filled to its first limit. */
function filled (): targetModel.TargetModel {
  const model = measured()
  add(model, 16, 0)
  return model
}

function reportOf (runningRequests: number, ageMs: number, queuedRequests = 0): Parameters<targetModel.TargetModel['report']>[0] {
  return { target: 't1', ageMs, runningRequests, queuedRequests, tokensInProgress: 0 }
}

models('a stale report is compared with what was known at its time, and never lowers the count', () => {
  const model = measured()
  add(model, 12, 1_000)
  remove(model, 12, 3_000)
  add(model, 10, 3_500)
  model.report(reportOf(12, 2_000), 4_000)
  assert.ok(model.hasRoom(1, NO_PROMPT, 4_000))
  model.report(reportOf(0, 0), 4_000)
  assert.is(model.requests(), 10)
  model.report(reportOf(18, 0), 4_000)
  assert.not(model.hasRoom(1, NO_PROMPT, 4_000))
  assert.ok(model.hasRoom(1, NO_PROMPT, 12_000))
})

models('the limit grows while requests are in time and falls when they are late', () => {
  const model = filled()
  const start = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.learn(SAMPLE, 200)
  const grown = model.limitRequests()
  assert.ok(grown > start)
  for (let sample = 0; sample < 10; sample++) model.learn(LATE, 200)
  assert.ok(model.limitRequests() < grown)
})

models('the limit falls when tokens come more slowly than on an almost empty target', () => {
  const model = filled()
  const start = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.learn(CROWDED, 200)
  assert.ok(model.limitRequests() < start)
})

models('a first token behind known prompts is not late', () => {
  const model = filled()
  const start = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.learn({ ...SAMPLE, backlogMs: 1_000, firstTokenMs: 1_200, totalMs: 3_200 }, 200)
  assert.ok(model.limitRequests() > start)
})

models('the limit is never above what a target with a queue runs', () => {
  const model = filled()
  model.report(reportOf(9, 0, 3), 100)
  assert.is(model.limitRequests(), 9)
  model.report(reportOf(12, 0), 200)
  assert.is(model.limitRequests(), 9)
})

models('the limit of a plain service that carries 100 calls a second stays near what it runs without a queue', () => {
  const model = targetModel.createTargetModel('plain', undefined)
  const startedAtMs: number[] = []
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    while (model.hasRoom(1, NO_PROMPT, nowMs)) {
      model.add(4, 4, nowMs)
      startedAtMs.push(nowMs)
    }
    const startMs = startedAtMs.shift() ?? nowMs
    const totalMs = nowMs + 10 - startMs
    model.remove(4, nowMs, nowMs)
    model.learn({ ...SAMPLE, uncachedTokens: 4, answerTokens: 0, costTokens: 4, firstTokenMs: totalMs, totalMs }, nowMs)
  }
  assert.ok(model.limitRequests() < 64)
})

models('a target that was late is tried again after a while', () => {
  const model = measured()
  for (let sample = 0; sample < 10; sample++) model.learn({ ...SAMPLE, firstTokenMs: 2_000 }, 200)
  const late = model.pace(0)
  assert.ok(late > 2)
  assert.ok(model.pace(120_000) - 1 < (late - 1) / 50)
})

models('the first token is expected behind the prompts in flight', () => {
  const model = measured()
  const idleMs = model.expect(1_000, 0).firstTokenMs
  model.add(10_000, 10_000, 0)
  assert.ok(model.expectBeside(1_000, 0, 0).firstTokenMs > 5 * idleMs)
  assert.is(model.expectBeside(1_000, 0, 60_000).firstTokenMs, idleMs)
})

models('the prefix index follows evictions, trusts less after a gap, and ignores old events', () => {
  const index = prefixIndex.createPrefixIndex()
  index.report({ target: 't1', sequence: 1, stored: ['a', 'b'], evicted: [] })
  assert.is(index.lookUp(['a', 'b', 'c'], 4_000).get('t1'), 256)
  index.report({ target: 't1', sequence: 5, stored: [], evicted: ['b'] })
  assert.is(index.lookUp(['a', 'b', 'c'], 4_000).get('t1'), 64)
  index.report({ target: 't1', sequence: 4, stored: [], evicted: ['a'] })
  assert.is(index.lookUp(['a'], 4_000).get('t1'), 64)
  for (let sample = 0; sample < 100; sample++) index.learn('t1', 128, 0)
  assert.ok((index.lookUp(['a'], 4_000).get('t1') ?? 0) < 10)
})

models('the prefix index is bounded', () => {
  const index = prefixIndex.createPrefixIndex()
  for (let prefix = 0; prefix < 10_000; prefix++) index.place('t1', [`p${prefix}`])
  assert.is(index.lookUp(['p0'], 4_000).size, 0)
  assert.is(index.lookUp(['p9999'], 4_000).size, 1)
})

models('requests go to the target that holds their prefix, but not all of an organisation\'s', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2', 't3'] })]).settle()
  for (let ask = 100; ask < 160; ask++) {
    driver.deliver('e1', fixture.askOf(ask, { promptTokens: 4_000, round: driver.nowMs }))
    if (ask >= 103) driver.deliver('e1', fixture.releaseOf(ask - 3, { promptTokens: 4_000, firstTokenMs: 500 }))
  }
  for (let ask = 157; ask < 160; ask++) driver.deliver('e1', fixture.releaseOf(ask, { promptTokens: 4_000, firstTokenMs: 500 }))
  const place = (ask: number): string => {
    const part = { promptTokens: 4_000, prefixes: ['a', 'b', 'c', 'd', 'e'], round: driver.nowMs }
    return fixture.only(driver.deliver('e1', fixture.askOf(ask, part)), 'grant')[0]?.target ?? ''
  }
  const home = place(1)
  for (let ask = 2; ask < 6; ask++) {
    driver.deliver('e1', fixture.releaseOf(ask - 1, { promptTokens: 4_000, cachedTokens: ask === 2 ? 0 : 2_048, firstTokenMs: 500 }))
    assert.is(place(ask), home)
  }
  const placed = Array.from({ length: 6 }, (_, index) => place(10 + index)).filter((target) => target !== '')
  assert.is(new Set(placed).size, 3)
})

models('a straggler gets far less than its peers', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2', 't3'] })]).settle()
  const counts: Record<string, number> = {}
  for (let ask = 1; ask <= 300; ask++) {
    driver.pass(100)
    const target = fixture.only(driver.deliver('e1', fixture.askOf(ask, { round: driver.nowMs })), 'grant')[0]?.target ?? ''
    if (ask > 100) counts[target] = (counts[target] ?? 0) + 1
    driver.deliver('e1', fixture.releaseOf(ask, target === 't1' && ask > 50 ? { firstTokenMs: 4_000, totalMs: 8_000 } : {}))
  }
  assert.ok((counts.t1 ?? 0) * 3 < (counts.t2 ?? 0), JSON.stringify(counts))
})

models.run()
