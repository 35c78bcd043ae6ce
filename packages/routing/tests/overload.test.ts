import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fleetSimulation from './fleet-simulation.js'

/** Two of eight engines are over four times slower, as on the users' sheets. */
const ENGINES = [0.68, 0.68, 3, 0.68, 0.68, 3, 0.68, 0.68]

/** The kinds of requests on the sheets, at the rate at which they are replayed. */
const KINDS: readonly fleetSimulation.Kind[] = [
  { name: 'listing', priority: 0, perS: 13.5, promptTokens: 6_610, outputTokens: 382, targetLatencyMs: 600, limitMs: 15_000 },
  { name: 'question', priority: 1, perS: 19, promptTokens: 628, outputTokens: 292, targetLatencyMs: 800, limitMs: 12_000 },
  { name: 'tag', priority: 2, perS: 26.5, promptTokens: 1_800, outputTokens: 23, targetLatencyMs: 1_200, limitMs: 3_000 }
]

/** The gate's bounds: each kind's served share against that of all kinds, and the highest in-time floor of a kind. */
const MIN_SERVED_SHARE = 0.25
const MIN_IN_TIME_SHARE = 0.42

const LOADS: readonly (readonly [what: string, factor: number, frozen: number, reportLoss: number])[] = [
  ['the usual load', 1, 0, 0],
  ['a burst of 1.8 times the usual load', 1.8, 0, 0],
  ['2.4 times the usual load, as on the heaviest days', 2.4, 0, 0],
  ['a burst while a third of all daemons is frozen', 1.8, 3, 0],
  ['a burst while a tenth of all reports is lost', 1.8, 0, 0.1]
]

const suite = uvu.suite('a fleet under load')

for (const [what, factor, frozen, reportLoss] of LOADS) {
  const { outcomes, refusedWhileSlotsFree } = fleetSimulation.simulateFleet({
    seed: 11,
    daemons: 9,
    engines: ENGINES,
    kinds: KINDS.map((kind) => ({ ...kind, perS: kind.perS * factor })),
    durationMs: 8_000,
    frozen,
    reportLoss
  })
  const allOutcomes = [...outcomes.values()]
  const served = allOutcomes.reduce((sum, outcome) => sum + outcome.inTime + outcome.late, 0) / allOutcomes.reduce((sum, outcome) => sum + outcome.arrived, 0)

  suite(`${what}: the most urgent kind is not shed while others run, and meets its in-time floor`, () => {
    const urgent = outcomes.get('listing')
    assert.is(urgent?.refused, 0)
    assert.ok(urgent !== undefined && urgent.inTime >= MIN_IN_TIME_SHARE * urgent.arrived, JSON.stringify([...outcomes]))
  })

  suite(`${what}: no kind is starved`, () => {
    for (const [name, outcome] of outcomes) assert.ok(outcome.inTime + outcome.late >= MIN_SERVED_SHARE * served * outcome.arrived, `${name} ${JSON.stringify(outcome)}`)
  })

  suite(`${what}: requests are refused within two latency targets, and not while half of the slots are free`, () => {
    for (const kind of KINDS) assert.ok((outcomes.get(kind.name)?.longestRefusalMs ?? 0) <= 2 * kind.targetLatencyMs)
    assert.is(refusedWhileSlotsFree, 0)
  })
}

suite.run()
