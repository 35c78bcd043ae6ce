/**
 * One cell of deployment K (docs/overload.md): nine daemons in three zones before six engines of unlike speeds.
 */
import * as fleetSimulation from './fleet-simulation.js'

const CELLS = 13
const ZONES = 3
const WAVE_PERIOD_MS = 15_000
const WAVE_HEIGHT = 0.55

/** Each engine is disturbed in turn. */
const DISTURBANCE_MS = 600
const DISTURBANCE_PERIOD_MS = 4_000
const DISTURBANCE_FACTOR = 2.5

const KINDS: readonly fleetSimulation.Kind[] = [
  { name: 'long', priority: 0, perS: 124 / CELLS, promptTokens: 6_610, outputTokens: 378, targetLatencyMs: 819, limitMs: 15_000 },
  { name: 'short', priority: 1, perS: 88 / CELLS, promptTokens: 628, outputTokens: 288, targetLatencyMs: 308, limitMs: 12_000 },
  { name: 'tag', priority: 2, perS: 204 / CELLS, promptTokens: 1_800, outputTokens: 27, targetLatencyMs: 410, limitMs: 2_560 }
]

/** What a test changes. */
export interface Changes {
  readonly scheduling: 'adaptive' | 'basic'
  readonly seed?: number
  readonly load?: number
  readonly engines?: readonly number[]
  readonly memoryTokens?: number
  readonly isDisturbed?: boolean
  readonly durationMs?: number
}

/** Simulates the cell. */
export function simulate ({ scheduling, seed = 11, load = 1, engines = [1, 1, 1, 1, 2, 4.4], memoryTokens = 451_351, isDisturbed = true, durationMs = 15_000 }: Changes): fleetSimulation.Result {
  return fleetSimulation.simulateFleet({
    seed,
    daemons: 9,
    engines,
    kinds: KINDS.map((kind) => ({ ...kind, perS: kind.perS * load })),
    durationMs,
    frozen: 0,
    reportLoss: 0,
    endsAtLimit: true,
    wave: (daemon, nowMs) => 1 + WAVE_HEIGHT * Math.sin(2 * Math.PI * (nowMs / WAVE_PERIOD_MS + daemon % ZONES / ZONES)),
    model: {
      service: { name: 'support', connections: 370, engine: { slots: 5, memoryTokens, tokensPerEvent: 9 }, scheduling },
      prefillMsPerToken: 1 / 61,
      firstEventMs: 30,
      decodeMsPerToken: 3.37,
      workFactorOf: (engine, nowMs) => isDisturbed && (nowMs + engine * DISTURBANCE_PERIOD_MS / engines.length) % DISTURBANCE_PERIOD_MS < DISTURBANCE_MS ? DISTURBANCE_FACTOR : 1
    }
  })
}
