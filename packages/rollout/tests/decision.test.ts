/**
 * The decision about a roll-out and the exposure of the fleet, under the loads that the requirements name.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rollout from '@persimmonhatch/rollout'
import * as simulation from './rollout-simulation.js'

const suite = uvu.suite('roll-out decision')
const { answerOf, simulate, BOUNDS } = simulation

const LOAD = { daemons: 9, requestsPerS: 200, durationMs: 30_000, routes: ['tags', 'chat', 'plain'] }

const good = ({ random }: { readonly random: () => number }): simulation.Answer => answerOf(random() < 0.002, 20 * (0.7 + random()))

interface Trouble extends Partial<simulation.Load> { readonly name: string, readonly answer: simulation.Load['answer'] }

const BAD: readonly Trouble[] = [
  { name: 'fails always', answer: () => answerOf(true, 5) },
  { name: 'fails one time in three', answer: ({ random }) => answerOf(random() < 0.33, 20) },
  { name: 'is four times slower', answer: ({ random }) => answerOf(false, 80 * (0.7 + random())) },
  { name: 'is five times slower for one answer in three', answer: ({ random }) => answerOf(false, (random() < 0.33 ? 100 : 20) * (0.7 + random())) },
  { name: 'fails from 3 s on', answer: ({ atMs, random }) => answerOf(atMs > 3_000 && random() < 0.4, 20) },
  { name: 'fails when it gets a third of the load', answer: ({ share, random }) => answerOf(share > 0.33 && random() < 0.4, 20) },
  { name: 'fails when it gets nearly everything', answer: ({ share, random }) => answerOf(share > 0.8 && random() < 0.4, 20) },
  { name: 'fails on one route only', answer: ({ route, random }) => answerOf(route === 'chat' && random() < 0.4, 20) },
  { name: 'fails and gets few samples', requestsPerS: 12, answer: ({ random }) => answerOf(random() < 0.6, 20) },
  { name: 'fails at 127 daemons', daemons: 127, requestsPerS: 400, answer: ({ random }) => answerOf(random() < 0.33, 20) },
  { name: 'fails at 127 daemons with few requests', daemons: 127, requestsPerS: 30, answer: ({ random }) => answerOf(random() < 0.5, 20) },
  { name: 'fails while nobody decides from 4 s on', answer: ({ atMs, random }) => answerOf(atMs > 4_000 && random() < 0.4, 20), isDecided: (atMs) => atMs < 4_000 }
]

/** Guards against a bad version that gets more requests than the bound allows, or goes on getting them. */
for (const { name, ...trouble } of BAD) {
  for (const seed of [1, 2, 3]) {
    suite(`a version that ${name} stays within its exposure and ends, seed ${seed}`, () => {
      const { stage, requests, sends, lastSendMs, fiftiethBadMs } = simulate({ ...LOAD, ...trouble, seed })
      if (trouble.isDecided === undefined) assert.is(stage, 'rolled_back')
      assert.ok(sends <= BOUNDS.exposureShare * requests + BOUNDS.exposureSlack, `${sends} of ${requests}`)
      assert.ok(lastSendMs <= fiftiethBadMs + BOUNDS.rollbackMs, `${lastSendMs} after ${fiftiethBadMs}`)
    })
  }
}

const GOOD: readonly (Partial<simulation.Load> & { readonly name: string })[] = [
  { name: 'at 9 daemons' },
  { name: 'at 127 daemons', daemons: 127, requestsPerS: 400 },
  { name: 'with few samples', requestsPerS: 4 },
  { name: 'in 5 s', durationMs: 5_000 },
  { name: 'in 10 s', durationMs: 10_000 },
  { name: 'while the decider is lost for 4 s', isDecided: (atMs) => atMs < 5_000 || atMs > 9_000 },
  { name: 'while the store is silent in the full stage', isDecided: (atMs) => atMs < 18_000 || atMs > 22_000 }
]

/** Guards against a good version that is rolled back by chance, or isn't completed in time. */
for (const { name, ...load } of GOOD) {
  for (const seed of [1, 2, 3, 4, 5]) {
    suite(`a good version is completed ${name}, seed ${seed}`, () => {
      const { stage, endedMs, reason } = simulate({ ...LOAD, ...load, answer: good, seed })
      assert.is(stage, 'completed', reason)
      assert.ok(endedMs < (load.durationMs ?? LOAD.durationMs))
    })
  }
}

/** Guards against an exposure that goes on or grows without a confirmed permission. */
suite('nothing is sent once the store is silent for longer than a permission holds', () => {
  const { stage, sentMs } = simulate({ ...LOAD, answer: good, isDecided: (atMs) => atMs < 4_000 })
  assert.is(stage, 'trial')
  assert.ok(sentMs.some((atMs) => atMs > 3_000))
  assert.is(sentMs.filter((atMs) => atMs > 4_000 + rollout.decision.permissionMs(BOUNDS)).length, 0)
})

suite('a version that answers nothing is rolled back', () => {
  const observation: rollout.decision.Observation = { stage: 'trial', ageMs: 17_000, stageAgeMs: 17_000, durationMs: 30_000, outcomes: {}, oldOutcomes: { tags: [0, { 8: 900 }] }, arrivals: 1_000, sends: 40, oldInFlight: 0, laggingDaemons: 0, hasTargets: true, hasOldTargets: true }
  assert.is(rollout.decision.nextStep(observation, BOUNDS).stage, 'rolled_back')
  assert.is(rollout.decision.nextStep({ ...observation, sends: 200, ageMs: 9_000 }, BOUNDS).isHeld, true)
})

suite('the tail of the binomial distribution is exact where it is small', () => {
  assert.ok(Math.abs(rollout.comparison.binomialTail(2, 2, 0.01) / 0.000_1 - 1) < 1e-6)
  assert.ok(Math.abs(rollout.comparison.binomialTail(3, 10, 0.1) - 0.070_190_8) < 1e-6)
  assert.is(rollout.comparison.binomialTail(0, 10, 0.1), 1)
})

suite.run()
