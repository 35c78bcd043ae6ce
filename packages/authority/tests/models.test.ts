import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixture from './fixture.js'
import * as prefixIndex from '../src/prefix-index.js'
import type * as rateEstimator from '../src/rate-estimator.js'
import * as targetModel from '../src/target-model.js'

const models = uvu.suite('models of targets')

const SAMPLE: rateEstimator.Sample = { uncachedTokens: 1_000, answerTokens: 100, costTokens: 1_100, backlogMs: 0, firstTokenMs: 200, totalMs: 2_200, betweenTokensMs: undefined }
const LATE: rateEstimator.Sample = { ...SAMPLE, firstTokenMs: 20_000, totalMs: 22_000 }
const CONTENDED: rateEstimator.Sample = { ...SAMPLE, totalMs: 6_200 }

/** Tokens of a prompt that needs no prefill. */
const NO_PROMPT_TOKENS = 0

function createMeasuredModel (): targetModel.TargetModel {
  const model = targetModel.createTargetModel('model', undefined)
  for (let sample = 0; sample < 20; sample++) model.observe(SAMPLE, 0)
  return model
}

function add (model: targetModel.TargetModel, requests: number, nowMs: number): void {
  for (let request = 0; request < requests; request++) model.add(1_000, NO_PROMPT_TOKENS, nowMs)
}

function remove (model: targetModel.TargetModel, requests: number, nowMs: number): void {
  for (let request = 0; request < requests; request++) model.remove(1_000, nowMs, nowMs)
}

/** Returns the model of a measured target that is filled to its initial limit. */
function createFullModel (): targetModel.TargetModel {
  const model = createMeasuredModel()
  add(model, 16, 0)
  return model
}

function reportOf (runningRequests: number, ageMs: number, queuedRequests = 0): Parameters<targetModel.TargetModel['report']>[0] {
  return { target: 't1', ageMs, runningRequests, queuedRequests, tokensInProgress: 0 }
}

models('a stale report is compared with the count at its time, and never lowers the count', () => {
  const model = createMeasuredModel()
  add(model, 12, 1_000)
  remove(model, 12, 3_000)
  add(model, 10, 3_500)
  model.report(reportOf(12, 2_000), 4_000)
  assert.ok(model.hasFreeSlot(1, NO_PROMPT_TOKENS, 4_000))
  model.report(reportOf(0, 0), 4_000)
  assert.is(model.requests(), 10)
  model.report(reportOf(18, 0), 4_000)
  assert.not(model.hasFreeSlot(1, NO_PROMPT_TOKENS, 4_000))
  assert.ok(model.hasFreeSlot(1, NO_PROMPT_TOKENS, 12_000))
})

models('the limit grows while requests are in time and falls when they are late', () => {
  const model = createFullModel()
  const initialLimit = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.observe(SAMPLE, 200)
  const grownLimit = model.limitRequests()
  assert.ok(grownLimit > initialLimit)
  for (let sample = 0; sample < 10; sample++) model.observe(LATE, 200)
  assert.ok(model.limitRequests() < grownLimit)
})

models('the limit falls when tokens come more slowly than on an almost empty target', () => {
  const model = createFullModel()
  const initialLimit = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.observe(CONTENDED, 200)
  assert.ok(model.limitRequests() < initialLimit)
})

models('a first token delayed by the prefill of earlier prompts is not late', () => {
  const model = createFullModel()
  const initialLimit = model.limitRequests()
  for (let sample = 0; sample < 10; sample++) model.observe({ ...SAMPLE, backlogMs: 1_000, firstTokenMs: 1_200, totalMs: 3_200 }, 200)
  assert.ok(model.limitRequests() > initialLimit)
})

models('the limit is never above what a target with a queue runs', () => {
  const model = createFullModel()
  model.report(reportOf(9, 0, 3), 100)
  assert.is(model.limitRequests(), 9)
  model.report(reportOf(12, 0), 200)
  assert.is(model.limitRequests(), 9)
})

models('the limit of a plain service that serves 100 calls a second stays near what it runs without a queue', () => {
  const model = targetModel.createTargetModel('plain', undefined)
  const startedAtMs: number[] = []
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    while (model.hasFreeSlot(1, NO_PROMPT_TOKENS, nowMs)) {
      model.add(4, 4, nowMs)
      startedAtMs.push(nowMs)
    }
    const startMs = startedAtMs.shift() ?? nowMs
    const totalMs = nowMs + 10 - startMs
    model.remove(4, nowMs, nowMs)
    model.observe({ ...SAMPLE, uncachedTokens: 4, answerTokens: 0, costTokens: 4, firstTokenMs: totalMs, totalMs }, nowMs)
  }
  assert.ok(model.limitRequests() < 64)
})

models('a target that was late is tried again after a while', () => {
  const model = createMeasuredModel()
  for (let sample = 0; sample < 10; sample++) model.observe({ ...SAMPLE, firstTokenMs: 2_000 }, 200)
  const lateFactor = model.latencyFactor(0)
  assert.ok(lateFactor > 2)
  assert.ok(model.latencyFactor(120_000) - 1 < (lateFactor - 1) / 50)
})

models('the first token is expected after the prefill of the prompts in flight', () => {
  const model = createMeasuredModel()
  const idleMs = model.estimateIdle(1_000, 0).firstTokenMs
  model.add(10_000, 10_000, 0)
  assert.ok(model.estimateUnderLoad(1_000, 0, 0).firstTokenMs > 5 * idleMs)
  assert.is(model.estimateUnderLoad(1_000, 0, 60_000).firstTokenMs, idleMs)
})

models('the prefix index applies evictions, lowers the hit ratio after a gap, and ignores old events', () => {
  const index = prefixIndex.createPrefixIndex()
  index.applyReport({ target: 't1', sequence: 1, stored: ['a', 'b'], evicted: [] })
  assert.is(index.findCached(['a', 'b', 'c'], 4_000).get('t1'), 256)
  index.applyReport({ target: 't1', sequence: 5, stored: [], evicted: ['b'] })
  assert.is(index.findCached(['a', 'b', 'c'], 4_000).get('t1'), 64)
  index.applyReport({ target: 't1', sequence: 4, stored: [], evicted: ['a'] })
  assert.is(index.findCached(['a'], 4_000).get('t1'), 64)
  for (let sample = 0; sample < 100; sample++) index.recordHits('t1', 128, 0)
  assert.ok((index.findCached(['a'], 4_000).get('t1') ?? 0) < 10)
})

models('the prefix index is bounded', () => {
  const index = prefixIndex.createPrefixIndex()
  for (let prefix = 0; prefix < 10_000; prefix++) index.recordPlacement('t1', [`p${prefix}`])
  assert.is(index.findCached(['p0'], 4_000).size, 0)
  assert.is(index.findCached(['p9999'], 4_000).size, 1)
})

models('requests go to the target with their prefix cached, and to others once it is loaded', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2', 't3'] })]).replyToCollects()
  for (let number = 100; number < 160; number++) {
    driver.deliver('e1', fixture.slotRequestOf(number, { promptTokens: 4_000, round: driver.nowMs }))
    if (number >= 103) driver.deliver('e1', fixture.releaseOf(number - 3, { promptTokens: 4_000, firstTokenMs: 500 }))
  }
  for (let number = 157; number < 160; number++) driver.deliver('e1', fixture.releaseOf(number, { promptTokens: 4_000, firstTokenMs: 500 }))
  const place = (number: number): string => {
    const fields = { promptTokens: 4_000, prefixes: ['a', 'b', 'c', 'd', 'e'], round: driver.nowMs }
    return fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(number, fields)), 'grant')[0]?.target ?? ''
  }
  const cachedTarget = place(1)
  for (let number = 2; number < 6; number++) {
    driver.deliver('e1', fixture.releaseOf(number - 1, { promptTokens: 4_000, cachedTokens: number === 2 ? 0 : 2_048, firstTokenMs: 500 }))
    assert.is(place(number), cachedTarget)
  }
  const placed = Array.from({ length: 6 }, (_, index) => place(10 + index)).filter((target) => target !== '')
  assert.is(new Set(placed).size, 3)
})

models('a straggler gets far fewer requests than the other targets', () => {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1', 't2', 't3'] })]).replyToCollects()
  const counts: Record<string, number> = {}
  for (let number = 1; number <= 300; number++) {
    driver.advance(100)
    const target = fixture.messagesOf(driver.deliver('e1', fixture.slotRequestOf(number, { round: driver.nowMs })), 'grant')[0]?.target ?? ''
    if (number > 100) counts[target] = (counts[target] ?? 0) + 1
    driver.deliver('e1', fixture.releaseOf(number, target === 't1' && number > 50 ? { firstTokenMs: 4_000, totalMs: 8_000 } : {}))
  }
  assert.ok((counts.t1 ?? 0) * 3 < (counts.t2 ?? 0), JSON.stringify(counts))
})

models.run()
