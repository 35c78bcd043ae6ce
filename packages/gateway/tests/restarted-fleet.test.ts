/**
 * Token caps while all daemons of a simulated fleet are killed and start again.
 */
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fleetModule from './fleet.js'

const suite = uvu.suite('restarted fleet')

const STEP_MS = 200
const MS_PER_S = 1_000
const RATE = 480_000
const REQUEST_TOKENS = 6_700

/** Demand of the organisation relative to its rate. */
const DEMAND = 2.7

/** The users' bounds: window, s, tolerated share, and tolerated tokens. */
const WINDOW_S = 8
const OVERAGE = 0.1
const SLACK_TOKENS = 140_000

const ORGANISATION = { name: 'hot', keys: [], priority: undefined, cap: { tokensPerS: RATE, burst: RATE }, plainTokens: 0 }

/** Interval at which a fleet stores what is left of its caps, ms. */
const STORED_EVERY_MS = 2_000

interface Admitted { readonly atMs: number, readonly tokens: number }

interface Run {
  readonly admitted: readonly Admitted[]
  /** What the fleet stored last, and when. */
  readonly stored: { readonly atMs: number, readonly levels: Readonly<Record<string, number>> } | undefined
}

/** Runs a fleet that has just started, and returns what it admits, step by step. */
function run (daemons: number, startMs: number, durationMs: number, random: () => number, before?: Run['stored']): Run {
  const fleet = fleetModule.createFleet(daemons, daemons)
  let stored: Run['stored']
  for (const { caps } of fleet.members) {
    caps.adopt([ORGANISATION], 0)
    if (before !== undefined) caps.restore({ levels: before.levels, ageMs: startMs - before.atMs - STORED_EVERY_MS }, 0)
  }
  const admitted: Admitted[] = []
  while (fleet.now() < durationMs) {
    const nowMs = fleet.now()
    let tokens = 0
    for (let demand = DEMAND * RATE * STEP_MS / MS_PER_S; demand > 0; demand -= REQUEST_TOKENS) {
      const member = fleet.members[Math.floor(random() * daemons)]
      member?.caps.setReach(member.peers.reach(nowMs))
      if (member?.caps.admit('hot', REQUEST_TOKENS, nowMs).kind === 'admitted') tokens += REQUEST_TOKENS
    }
    admitted.push({ atMs: startMs + nowMs, tokens })
    if (nowMs % STORED_EVERY_MS === 0) stored = { atMs: startMs + nowMs, levels: fleet.members[0]?.caps.levels(nowMs) ?? {} }
    fleet.simulate(STEP_MS, fleetModule.CONNECTED)
  }
  return { admitted, stored }
}

for (const daemons of [9, 87]) {
  suite(`the cap of an organisation holds when all of ${daemons} daemons are killed and start again`, () => {
    const source = generator.xoroshiro128plus(daemons)
    const random = (): number => distribution.uniformFloat64(source)
    const first = run(daemons, 0, 12_000, random)
    const admitted = [...first.admitted, ...run(daemons, 13_000, 8_000, random, first.stored).admitted]
    const most = Math.max(...admitted.map(({ atMs: fromMs }) => admitted
      .filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_S * MS_PER_S)
      .reduce((sum, { tokens }) => sum + tokens, 0)))
    const allowed = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK_TOKENS
    assert.ok(most <= allowed, `${most} tokens, ${allowed} allowed`)
  })
}

suite.run()
