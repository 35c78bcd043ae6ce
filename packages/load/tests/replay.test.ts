import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as baselines from '../src/replay/baselines.js'
import * as checkOutcomes from '../src/replay/check-outcomes.js'
import * as cores from '../src/replay/cores.js'
import * as engine from '../src/replay/engine.js'
import * as measure from '../src/replay/measure.js'
import * as replay from '../src/replay/replay.js'
import type * as scheduler from '../src/replay/scheduler.js'
import * as timeline from '../src/replay/timeline.js'
import * as traces from './traces.js'

const test = uvu.suite('replay')
const GUARANTEES = ['no shed of a higher tier while a lower runs', 'no start of a lower tier while a higher waits', 'at most one dispatch', 'non-idempotent requests run at most once', 'refusals are true', "tiers' order in finishing"]
const STATED_LOAD_CHECKS = ['goodput of the top tiers', 'first token within']
const MAX_CRASHED_REQUESTS = 32

interface Replayed {
  readonly result: replay.Result
  readonly measures: measure.Measures
}

function replayTrace (profile: (typeof traces.PROFILES)[number], offeredLoad: number, createScheduler: scheduler.Factory): Replayed {
  const result = replay.replay(traces.generateShortTrace(profile, offeredLoad), traces.readDeploymentDocuments(profile.deployment), createScheduler)
  return { result, measures: measure.measure(result) }
}

function findUnmetChecks ({ result, measures }: Replayed, names: readonly string[]): readonly string[] {
  return checkOutcomes.checkOutcomes(result, measures)
    .filter(({ name, isMet }) => !isMet && names.some((wanted) => name.startsWith(wanted)))
    .map(({ name, reached }) => `${name}: ${reached}`)
}

for (const profile of traces.PROFILES) {
  test(`${profile.deployment}: the guarantees hold under overload and faults, and top tiers lose only requests cut off by a crash`, () => {
    const replayed = replayTrace(profile, 1.5, cores.createCores(cores.WHOLE))
    assert.equal(findUnmetChecks(replayed, GUARANTEES), [])
    for (const tier of replayed.measures.tiers.filter(({ rank }) => rank <= 1)) {
      assert.equal([tier.refusedRequests, tier.lateRequests], [0, 0])
      assert.ok(tier.cutRequests <= MAX_CRASHED_REQUESTS, `${tier.cutRequests}`)
    }
  })

  test(`${profile.deployment}: the top tiers meet their latency objectives at stated load`, () => {
    assert.equal(findUnmetChecks(replayTrace(profile, 0.7, cores.createCores(cores.WHOLE)), [...GUARANTEES, ...STATED_LOAD_CHECKS]), [])
  })
}

test('a replay is deterministic', () => {
  const [profile] = traces.PROFILES
  if (profile === undefined) throw new Error('There is no profile. List one in tests/traces.ts.')
  const [first, second] = [replayTrace(profile, 1.5, cores.createCores(cores.WHOLE)), replayTrace(profile, 1.5, cores.createCores(cores.WHOLE))]
  assert.equal(first.measures, second.measures)
  assert.equal(first.result.history.facts, second.result.history.facts)
})

test('baselines dispatch every request to a target of its service', () => {
  for (const profile of traces.PROFILES) {
    for (const createScheduler of [baselines.random, baselines.roundRobin, baselines.leastOutstanding]) {
      const { result } = replayTrace(profile, 0.7, createScheduler)
      assert.is(result.jobs.length, result.outcomes.length)
      const served = new Map(traces.readDeploymentDocuments(profile.deployment).map((serviceDocument) => [serviceDocument.service, serviceDocument.targets.map(({ name }) => name)]))
      assert.ok(result.jobs.every(({ request, target }) => served.get(request.kind.service)?.includes(target)))
    }
  }
})

test('an engine honours its rates, caches prefixes and counts wasted prefill', () => {
  const clock = timeline.createTimeline()
  const [target] = traces.generateShortTrace(traces.PROFILES[0] as (typeof traces.PROFILES)[number], 1).header.targets
  if (target === undefined) throw new Error('The trace has no target. Name one in the service documents.')
  const modelledEngine = new engine.Engine({ target, timeline: clock, random: () => 0.5 })
  const endedJobs: engine.Job[] = []
  const jobSpec = { prompt: 1_600, answer: 80, prefixes: ['a', 'b', 'c', 'd'] }
  modelledEngine.submit(jobSpec, (job) => endedJobs.push(job))
  clock.runUntil(3_000)
  const [first] = endedJobs
  assert.is(first?.outcome, 'finished')
  // 1,600 tokens at 16,000 per second, then 80 tokens at 80 per second, in ticks of 5 ms.
  assert.ok(Math.abs((first?.firstTokenAtMs ?? 0) - 115) <= 10, `${first?.firstTokenAtMs}`)
  assert.ok(Math.abs((first?.endedAtMs ?? 0) - 1_100) <= 10, `${first?.endedAtMs}`)
  const second = modelledEngine.submit(jobSpec, (job) => endedJobs.push(job))
  clock.runUntil(3_020)
  assert.is(second.cachedTokens, 1_024)
  modelledEngine.cancel(second)
  assert.is(modelledEngine.wastedPrefillTokens, second.prefilledTokens)
  assert.ok(second.prefilledTokens > 0)
})

test('tasks run in order of due time, then in the order in which they were scheduled', () => {
  const clock = timeline.createTimeline()
  const executed: string[] = []
  clock.at(20, () => executed.push('later'))
  clock.at(10, () => { executed.push('first'); clock.after(0, () => executed.push('third')) })
  clock.at(10, () => executed.push('second'))
  clock.runUntil(30)
  assert.equal(executed, ['first', 'second', 'third', 'later'])
  assert.is(clock.now(), 30)
})

test.run()
