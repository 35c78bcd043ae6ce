/**
 * Token caps that are lowered, and caps in fleets of several cells, with the requests of deployment V.
 */
import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as capSimulation from './cap-simulation.js'

const suite = uvu.suite('token caps')

const HIGH: routing.document.Cap = { tokensPerS: 426_149, burst: 426_149 }
const LOW: routing.document.Cap = { tokensPerS: 118_375, burst: 426_149 }
const DEMAND = 285_000
const LOWERED_MS = 5_000
const BINDING_MS = LOWERED_MS + 11_000
const WINDOW_MS = 8_000
const SLACK = 140_000
const OVERAGE = 1.1

function between (samples: readonly capSimulation.Sample[], fromMs: number, toMs: number): readonly capSimulation.Sample[] {
  return samples.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
}

/** Checks every window of 8 s from a time on, in steps of half a second. */
function assertCapHolds (samples: readonly capSimulation.Sample[], cap: routing.document.Cap, fromMs: number, toMs: number): void {
  for (let startMs = fromMs; startMs + WINDOW_MS <= toMs; startMs += 500) {
    const tokens = capSimulation.admittedTokens(between(samples, startMs, startMs + WINDOW_MS))
    assert.ok(tokens <= (cap.tokensPerS * WINDOW_MS / 1_000 + cap.burst) * OVERAGE + SLACK, `${tokens} tokens from ${startMs} ms`)
  }
}

const refusedPart = (samples: readonly capSimulation.Sample[]): number => 1 - capSimulation.servedPart(samples)

for (const daemons of [6, 69, 127, 195]) {
  suite(`requests below the former cap are served by ${daemons} daemons until the lower one binds, which then holds`, () => {
    const samples = capSimulation.simulateCap({ seed: daemons, daemons, durationMs: 28_000, demand: () => DEMAND, caps: [[0, HIGH], [LOWERED_MS, LOW]] })
    assert.is(refusedPart(between(samples, LOWERED_MS - 2_000, BINDING_MS)), 0)
    assertCapHolds(samples, LOW, BINDING_MS, 28_000)
    assert.ok(refusedPart(between(samples, BINDING_MS + 6_000, 28_000)) > 0.4)
  })
}

for (const daemons of [69, 127, 195]) {
  suite(`${daemons} daemons admit evenly at three times the cap, and large requests as often as others`, () => {
    const samples = capSimulation.simulateCap({ seed: 7, daemons, durationMs: 30_000, demand: () => 3 * HIGH.tokensPerS, caps: [[0, HIGH]] })
    for (let fromMs = 15_000; fromMs < 30_000; fromMs += 1_000) {
      const ratio = capSimulation.admittedTokens(between(samples, fromMs, fromMs + 1_000)) / HIGH.tokensPerS
      assert.ok(ratio >= 0.8 && ratio <= 1.2, `${ratio} of the rate from ${fromMs} ms`)
    }
    const steady = between(samples, 10_000, 30_000)
    assert.ok(capSimulation.servedPart(steady.filter(({ tokens }) => tokens > 6_000)) >= capSimulation.servedPart(steady) / 2)
    assertCapHolds(samples, HIGH, 10_000, 30_000)
  })

  suite(`${daemons} daemons serve an organisation below its cap whole, also if half of its callers use one daemon`, () => {
    const samples = capSimulation.simulateCap({ seed: 3, daemons, durationMs: 20_000, atFirst: 0.5, demand: () => 0.85 * HIGH.tokensPerS, caps: [[0, HIGH]] })
    assert.is(refusedPart(between(samples, 4_000, 20_000)), 0)
  })
}

suite('a cap that is lowered again during the transition binds one transition after its own change', () => {
  const middle = { tokensPerS: 300_000, burst: 426_149 }
  const samples = capSimulation.simulateCap({ seed: 1, daemons: 69, durationMs: 28_000, demand: () => DEMAND, caps: [[0, HIGH], [LOWERED_MS, middle], [9_000, LOW]] })
  assert.is(refusedPart(between(samples, LOWERED_MS, 20_000)), 0)
  assertCapHolds(samples, LOW, 20_000, 28_000)
})

suite('a daemon that starts during the transition learns the former cap from its peers', () => {
  const samples = capSimulation.simulateCap({ seed: 1, daemons: 69, durationMs: 16_000, demand: () => DEMAND, caps: [[0, HIGH], [LOWERED_MS, LOW]], restart: { daemon: 4, atMs: 8_000 } })
  assert.is(refusedPart(between(samples, LOWERED_MS, BINDING_MS)), 0)
})

suite('a daemon that is cut off uses its own part of the cap only', () => {
  const samples = capSimulation.simulateCap({ seed: 1, daemons: 69, durationMs: 26_000, atFirst: 0.5, demand: () => 3 * LOW.tokensPerS, caps: [[0, LOW]], cut: { daemon: 0, fromMs: 5_000, toMs: 26_000 } })
  const admitted = capSimulation.admittedTokens(between(samples, 12_000, 26_000).filter(({ daemon }) => daemon === 0))
  assert.ok(admitted <= LOW.tokensPerS * 14 / 69 * OVERAGE + SLACK / 69 + 7_000, `${admitted} tokens`)
})

suite('a raised cap is in force at once, and a former cap in a late report does not return', () => {
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0, loweringMs: 1_000 })
  const organisation = { name: 'maarif', keys: [], priority: undefined, plainTokens: 1 }
  const adopt = (tokensPerS: number, version: number, nowMs: number): void => { caps.adopt([{ ...organisation, cap: { tokensPerS, burst: tokensPerS } }], nowMs, version) }
  adopt(1_000, 1, 0)
  adopt(100, 2, 0)
  const rows = caps.formerCaps(0)
  assert.equal(rows, [['maarif', 2, 1_000, 1_000, 1_000]])
  adopt(5_000, 3, 500)
  assert.is(caps.admit('maarif', 2_000, 1_000).kind, 'admitted')
  adopt(100, 4, 1_500)
  caps.applyFormerCaps([['maarif', 4, 5_000, 5_000, 900_000]], 2_400)
  caps.applyFormerCaps(rows, 2_600)
  assert.is(caps.admit('maarif', 101, 2_600).kind, 'over-cap')
})

suite.run()
