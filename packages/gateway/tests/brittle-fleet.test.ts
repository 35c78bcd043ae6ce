/**
 * Targets that fall over when they have to reject many requests in a second, at a simulated fleet of daemons.
 */
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as servingFleet from './serving-fleet.js'

const MS_PER_S = 1_000
const ARRIVAL_STEP_MS = 20
const SERVICE_MS = 400
const DOWN_MS = 3_000
const DURATION_MS = 15_000
const SEED = 26

/** Time after the targets have said that they are brittle from which they may fall, ms. */
const STABLE_MS = 3_000

/** The users' bound: a service's targets may fall this often, and a tenth of their number more. */
const ALLOWED_FALLS = 2
const ALLOWED_FALLS_SHARE = 0.1

interface Scenario {
  readonly daemons: number
  readonly targets: number
  readonly slots: number
  /** Requests that wait at a target; further ones are rejected. */
  readonly queue: number
  /** Rejections in a second beyond which a target falls. */
  readonly rejections: number
  readonly perS: number
  readonly loadAt: (sinceMs: number) => number
}

interface TargetState {
  readonly endsMs: readonly number[]
  readonly rejectedMs: readonly number[]
  readonly downUntilMs: number
}

const SOUND: TargetState = { endsMs: [], rejectedMs: [], downUntilMs: 0 }

interface Result { readonly falls: number, readonly servedShare: number }

function play (scenario: Scenario): Result {
  let brittleFromMs = Infinity
  const states = new Map<string, TargetState>()
  let falls = 0
  const targets = Array.from({ length: scenario.targets }, (_, index): routing.targetRegistry.Target => ({
    id: `i-${index}`, service: 'support', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: scenario.slots, leaving: false
  }))
  const fleet = servingFleet.createServingFleet({
    daemons: scenario.daemons,
    document: servingFleet.documentOf(scenario.slots),
    targets,
    seed: SEED,
    respond: ({ atMs, target }) => {
      const state = states.get(target.id) ?? SOUND
      const endsMs = state.endsMs.filter((endMs) => endMs > atMs)
      const said = ['brittle', String(scenario.rejections), 'load', `${Math.min(endsMs.length, scenario.slots)},${Math.max(0, endsMs.length - scenario.slots)},${scenario.slots}`]
      if (endsMs.length >= scenario.slots + (atMs < brittleFromMs ? scenario.slots : scenario.queue)) {
        const rejectedMs = [...state.rejectedMs.filter((rejected) => atMs - rejected < MS_PER_S), atMs]
        const hasFallen = atMs >= brittleFromMs && rejectedMs.length > scenario.rejections
        if (hasFallen) falls += 1
        states.set(target.id, hasFallen ? { ...SOUND, downUntilMs: atMs + DOWN_MS } : { ...state, endsMs, rejectedMs })
        return { headMs: 5, status: 503, headers: ['not-run', '1', ...said], endMs: 5 }
      }
      const waitMs = Math.max(0, (endsMs.toSorted((a, b) => a - b)[endsMs.length - scenario.slots] ?? 0) - atMs)
      states.set(target.id, { ...state, endsMs: [...endsMs, atMs + waitMs + SERVICE_MS] })
      return { headMs: waitMs + 60, headers: said, events: [[1, waitMs + 60], [2, waitMs + SERVICE_MS]], endMs: waitMs + SERVICE_MS }
    }
  })
  const replies: servingFleet.Reply[] = []
  const startMs = fleet.now()
  brittleFromMs = startMs + STABLE_MS
  let due = 0
  while (fleet.now() < startMs + DURATION_MS) {
    for (due += scenario.perS * scenario.loadAt(fleet.now() - startMs) * ARRIVAL_STEP_MS / MS_PER_S; due >= 1; due -= 1) {
      replies.push(fleet.request(Math.floor(fleet.random() * scenario.daemons), '/generate/7', ['tokens', '700,18', 'remaining-ms', '12000']))
    }
    fleet.setPaths((_, target) => fleet.now() < (states.get(target)?.downUntilMs ?? 0) ? 'refuse' : 'up')
    fleet.advance(ARRIVAL_STEP_MS)
  }
  fleet.advance(SERVICE_MS + DOWN_MS)
  const counted = replies.filter(({ sentMs }) => sentMs >= brittleFromMs)
  return { falls, servedShare: counted.filter((reply) => reply.status() === 200 && reply.end() === 'complete').length / counted.length }
}

const SMALL = { daemons: 9, targets: 8, slots: 12, queue: 2, rejections: 4, perS: 190 }
const LARGE = { daemons: 87, targets: 63, slots: 8, queue: 1, rejections: 4, perS: 1_000 }

const CASES: readonly (readonly [description: string, scenario: Scenario])[] = [
  ['9 daemons, load below the slots', { ...SMALL, loadAt: () => 0.8 }],
  ['9 daemons, load above the slots', { ...SMALL, loadAt: () => 1.6 }],
  ['9 daemons, bursts', { ...SMALL, loadAt: (sinceMs) => sinceMs % 3_000 < 600 ? 3 : 0.5 }],
  ['87 daemons, load below the slots', { ...LARGE, loadAt: () => 0.8 }],
  ['87 daemons, load above the slots', { ...LARGE, loadAt: () => 1.6 }],
  ['87 daemons, bursts', { ...LARGE, loadAt: (sinceMs) => sinceMs % 3_000 < 600 ? 3 : 0.5 }]
]

const suite = uvu.suite('brittle fleet')

/** Share of the requests that the slots suffice for, of those that are served at least. */
const MIN_SERVED = 2 / 3

for (const [description, scenario] of CASES) {
  suite(`targets that fall over when they reject many requests rarely do: ${description}`, () => {
    const { falls, servedShare } = play(scenario)
    const capacityPerS = scenario.targets * scenario.slots * MS_PER_S / SERVICE_MS
    const peakPerS = scenario.perS * Math.max(...Array.from({ length: 30 }, (_, index) => scenario.loadAt(index * 100)))
    assert.ok(servedShare >= MIN_SERVED * Math.min(1, capacityPerS / peakPerS), `${servedShare.toFixed(2)} served`)
    assert.ok(falls <= ALLOWED_FALLS + ALLOWED_FALLS_SHARE * scenario.targets, `${falls} falls of ${scenario.targets} targets`)
  })
}

suite.run()
