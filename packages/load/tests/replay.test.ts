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
const PROMISES = ['no shed of a higher tier while a lower runs', 'no start of a lower tier while a higher waits', 'at most one dispatch', 'non-idempotent requests run at most once', 'refusals are true', "tiers' order in finishing"]
const AT_STATED_LOAD = ['goodput of the top tiers', 'first token within']
const CRASHING_BATCH = 32

interface Replayed {
  readonly result: replay.Result
  readonly measures: measure.Measures
}

function run (profile: (typeof traces.PROFILES)[number], load: number, create: scheduler.Factory): Replayed {
  const result = replay.replay(traces.shortTrace(profile, load), traces.documentsOf(profile.deployment), create)
  return { result, measures: measure.measure(result) }
}

function unmet ({ result, measures }: Replayed, names: readonly string[]): readonly string[] {
  return checkOutcomes.checkOutcomes(result, measures)
    .filter(({ name, isMet }) => !isMet && names.some((wanted) => name.startsWith(wanted)))
    .map(({ name, reached }) => `${name}: ${reached}`)
}

for (const profile of traces.PROFILES) {
  test(`${profile.deployment}: the promises hold under overload and faults, and top tiers lose only what a crash cuts off`, () => {
    const replayed = run(profile, 1.5, cores.createCores(cores.WHOLE))
    assert.equal(unmet(replayed, PROMISES), [])
    for (const tier of replayed.measures.tiers.filter(({ rank }) => rank <= 1)) {
      assert.equal([tier.refusedRequests, tier.lateRequests], [0, 0])
      assert.ok(tier.cutRequests <= CRASHING_BATCH, `${tier.cutRequests}`)
    }
  })

  test(`${profile.deployment}: the latency objectives of the top tiers hold at stated load`, () => {
    assert.equal(unmet(run(profile, 0.7, cores.createCores(cores.WHOLE)), [...PROMISES, ...AT_STATED_LOAD]), [])
  })
}

test('a replay gives the same result every time', () => {
  const [profile] = traces.PROFILES
  if (profile === undefined) throw new Error('There is no profile. List one in tests/traces.ts.')
  const [first, second] = [run(profile, 1.5, cores.createCores(cores.WHOLE)), run(profile, 1.5, cores.createCores(cores.WHOLE))]
  assert.equal(first.measures, second.measures)
  assert.equal(first.result.history.facts, second.result.history.facts)
})

test('baselines send every request to a target of its service', () => {
  for (const profile of traces.PROFILES) {
    for (const create of [baselines.random, baselines.roundRobin, baselines.leastOutstanding]) {
      const { result } = run(profile, 0.7, create)
      assert.is(result.jobs.length, result.outcomes.length)
      const served = new Map(traces.documentsOf(profile.deployment).map((content) => [content.service, content.targets.map(({ name }) => name)]))
      assert.ok(result.jobs.every(({ request, target }) => served.get(request.kind.service)?.includes(target)))
    }
  }
})

test('an engine shares its rates, caches prefixes and counts wasted prefill', () => {
  const clock = timeline.createTimeline()
  const [target] = traces.shortTrace(traces.PROFILES[0] as (typeof traces.PROFILES)[number], 1).header.targets
  if (target === undefined) throw new Error('The trace has no target. Name one in the service documents.')
  const modelled = new engine.Engine({ target, timeline: clock, random: () => 0.5 })
  const ended: engine.Job[] = []
  const work = { prompt: 1_600, answer: 80, prefixes: ['a', 'b', 'c', 'd'] }
  modelled.submit(work, (job) => ended.push(job))
  clock.runUntil(3_000)
  const [first] = ended
  assert.is(first?.outcome, 'finished')
  // 1,600 tokens at 16,000 a second, then 80 tokens at 80 a second, in ticks of 5 ms.
  assert.ok(Math.abs((first?.firstTokenAtMs ?? 0) - 115) <= 10, `${first?.firstTokenAtMs}`)
  assert.ok(Math.abs((first?.endedAtMs ?? 0) - 1_100) <= 10, `${first?.endedAtMs}`)
  const second = modelled.submit(work, (job) => ended.push(job))
  clock.runUntil(3_020)
  assert.is(second.cachedTokens, 1_024)
  modelled.cancel(second)
  assert.is(modelled.wastedPrefillTokens, second.prefilled)
  assert.ok(second.prefilled > 0)
})

test('tasks run in order of time, then of being added', () => {
  const clock = timeline.createTimeline()
  const seen: string[] = []
  clock.at(20, () => seen.push('later'))
  clock.at(10, () => { seen.push('first'); clock.after(0, () => seen.push('third')) })
  clock.at(10, () => seen.push('second'))
  clock.runUntil(30)
  assert.equal(seen, ['first', 'second', 'third', 'later'])
  assert.is(clock.now(), 30)
})

test.run()
