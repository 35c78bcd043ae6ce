import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as answerToken from '../src/answer-token.js'
import * as engine from '../src/engine.js'
import * as engineOrders from '../src/engine-orders.js'
import * as engineRequest from '../src/engine-request.js'
import * as prefixCache from '../src/prefix-cache.js'
import * as timers from '../src/timers.js'
import type * as engineJob from '../src/engine-job.js'

const CHARS_PER_TOKEN = 4

interface Fixture {
  readonly clock: timers.ManualTimers
  readonly engine: engine.Engine
  readonly submit: (marker: string, promptTokens: number, answerTokens: number, text?: string) => engineJob.Job
  readonly crashes: readonly number[]
}

function createFixture (options: Partial<engine.Options> = {}): Fixture {
  const clock = timers.manualTimers()
  const crashes: number[] = []
  const testEngine = new engine.Engine({
    timers: clock,
    random: () => 0.5,
    prefillTokensPerS: 1_000,
    decodeTokensPerS: 100,
    maxDecodeTokensPerSequencePerS: 100,
    maxBatch: 2,
    cacheTokens: 10_000,
    loadLagMs: 0,
    cacheEventLagMs: 0,
    cacheEventLossRate: 0,
    eventIntervalMs: 0,
    onCrash: () => crashes.push(clock.now()),
    ...options
  })
  return {
    clock,
    engine: testEngine,
    crashes,
    submit: (marker, promptTokens, answerTokens, text = 'p') => {
      const prompt = text.repeat(Math.ceil(promptTokens * CHARS_PER_TOKEN / text.length)).slice(0, promptTokens * CHARS_PER_TOKEN)
      const request = engineRequest.parseRequest({ prompt, user: marker, max_tokens: answerTokens, stream: true }, { form: 'text', identity: undefined, crashMarker: 'CRASH', hash: (part) => `${part[0]}${part.length}` })
      if (request === undefined) throw new Error('not a request')
      return testEngine.submit(request)
    }
  }
}

function assertNear (actual: number | undefined, expected: number): void {
  assert.ok(actual !== undefined && Math.abs(actual - expected) <= 11, `${actual} is not within 11 of ${expected}`)
}

const batching = uvu.suite('batching')

batching('a request takes its prefill and decode time', () => {
  const { clock, submit } = createFixture()
  const job = submit('m', 500, 50)
  clock.advance(2_000)
  assertNear(job.logEntry.endedAtMs, 1_000)
  assert.is(job.outcome, 'finished')
  assert.is(job.answerText.split(' ').length, 51)
  assert.is(job.answerText.slice(0, 8), 'm.0 m.1 ')
})

batching('running streams share the decode rate, and the others wait in order', () => {
  const { clock, submit, engine: testEngine } = createFixture()
  const jobs = ['a', 'b', 'c'].map((marker) => submit(marker, 1, 50))
  clock.advance(500)
  assert.equal(testEngine.load.queuedRequests, 1)
  clock.advance(2_000)
  assertNear(jobs[0]?.endedAtMs, 1_000)
  assertNear(jobs[1]?.endedAtMs, 1_000)
  assertNear(jobs[2]?.startedAtMs, 1_000)
  assertNear(jobs[2]?.endedAtMs, 1_500)
})

batching('tokens within the event interval are sent together', () => {
  const { clock, submit } = createFixture({ eventIntervalMs: 100 })
  const job = submit('m', 1, 50)
  clock.advance(2_000)
  assert.is(job.outcome, 'finished')
  assert.ok(job.events.length >= 5 && job.events.length <= 7, `${job.events.length} events`)
})

batching('a straggler is slower by its slowdown factor', () => {
  const { clock, submit, engine: testEngine } = createFixture()
  testEngine.slowdown = 4
  const job = submit('m', 100, 40)
  clock.advance(5_000)
  assertNear(job.endedAtMs, 2_000)
})

batching('a cancelled request counts its prefill as wasted', () => {
  const { clock, submit, engine: testEngine } = createFixture()
  const job = submit('m', 500, 50)
  clock.advance(250)
  testEngine.stop(job, 'cancelled')
  clock.advance(2_000)
  assertNear(job.logEntry.wastedPrefillTokens, 250)
  assert.is(job.logEntry.outcome, 'cancelled')
  assert.is(testEngine.load.runningRequests, 0)
})

batching('a cached prefix shortens prefill', () => {
  const { clock, submit } = createFixture()
  submit('a', 512, 1, 'same')
  clock.advance(1_000)
  const repeated = submit('b', 512, 1, 'same')
  const other = submit('c', 512, 1, 'else')
  clock.advance(2_000)
  assert.is(repeated.logEntry.cachedTokens, 512)
  assert.is(repeated.logEntry.prefilledTokens, 0)
  assert.is(other.logEntry.prefilledTokens, 512)
})

batching('a prompt with the crash marker crashes the engine and all running requests', () => {
  const { clock, submit, engine: testEngine, crashes } = createFixture({ maxBatch: 4 })
  submit('a', 512, 1)
  clock.advance(1_000)
  const other = submit('b', 600, 50)
  clock.advance(100)
  const marked = submit('c', 100, 5, 'CRASH')
  clock.advance(50)
  assert.is(other.outcome, 'crashed')
  assert.is(marked.outcome, 'crashed')
  assert.is(crashes.length, 1)
  assert.is(testEngine.cache.has('p512'), false)
  assert.ok(other.logEntry.wastedPrefillTokens > 0)
})

batching.run()

const answers = uvu.suite('answers')

for (const [text, expected] of [
  ['', 0],
  ['m1.0 ', 1],
  ['m1.0 m1.1 m1.2 ', 3],
  ['m1.0 m1.1', undefined],
  ['m1.1 ', undefined],
  ['m1.0 m1.2 ', undefined],
  ['m1.0 m2.1 ', undefined],
  ['m1.0 m1.1 m1.1 ', undefined]
] as const) {
  answers(`${JSON.stringify(text)} has ${expected} tokens of m1`, () => {
    assert.is(answerToken.countAnswerTokens('m1', text), expected)
  })
}

answers.run()

const reports = uvu.suite('reports')

reports('load becomes visible after its lag', () => {
  const { clock, submit, engine: testEngine } = createFixture({ loadLagMs: 500 })
  submit('m', 100, 10)
  clock.advance(300)
  assert.is(testEngine.load.runningRequests, 0)
  clock.advance(250)
  assert.is(testEngine.load.runningRequests, 1)
  clock.advance(1_000)
  assert.is(testEngine.load.runningRequests, 0)
})

reports('cache events are delayed, and some are lost', () => {
  const random = [0.9, 0.1, 0.9]
  const { clock, submit, engine: testEngine } = createFixture({ cacheEventLagMs: 1_000, cacheEventLossRate: 0.5, random: () => random.shift() ?? 1 })
  for (const text of ['x', 'y', 'z']) submit(text, 128, 1, text)
  clock.advance(900)
  assert.equal(testEngine.cacheEvents(0), [])
  clock.advance(5_000)
  assert.equal(testEngine.cacheEvents(0).map((event) => event.sequence), [1, 3])
  assert.equal(testEngine.cacheEvents(1).map((event) => event.stored), [['z512']])
})

reports('the cache evicts the least recently used prefix', () => {
  const cache = new prefixCache.PrefixCache(300)
  cache.store([{ hash: 'a', tokens: 128 }])
  cache.store([{ hash: 'b', tokens: 128 }])
  assert.is(cache.findLongest([{ hash: 'a', tokens: 128 }]), 128)
  assert.equal(cache.store([{ hash: 'c', tokens: 128 }]), { stored: ['c'], evicted: ['b'] })
})

for (const { checks, accepted, current } of [{ checks: true, accepted: [true, false, true], current: 'm3' }, { checks: false, accepted: [true, true, true], current: 'm3' }]) {
  reports(`orders when fencing is ${checks ? 'on' : 'off'}`, () => {
    const orders = new engineOrders.Orders(checks)
    const results = [['10', 'm1'], ['9', 'm2'], ['10', 'm3']].map(([fencing, model]) => orders.receive(engineOrders.ORDER.parse({ fencing, model, version: '1' }), 0))
    assert.equal(results, accepted)
    assert.is(orders.current?.model, current)
    assert.is(orders.received.length, 3)
  })
}

reports.run()
