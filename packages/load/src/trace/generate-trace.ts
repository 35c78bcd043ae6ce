/**
 * Generates traces from the deployments' mixes.
 *
 * Arrivals are a Poisson process whose rate doubles during bursts; gaps are drawn by inversion of the
 * exponential distribution. Source: L. Devroye, "Non-Uniform Random Variate Generation", 1986, II.2.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as mix from '../mix.js'
import * as random from '../random.js'
import * as capacity from './capacity.js'
import * as profiles from './profiles.js'
import * as trace from './trace.js'

/** What a trace is generated from. */
export interface Options {
  readonly profile: profiles.Profile
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  readonly seed: number
  /** Answer tokens that arrive, as a multiple of what the targets can write. */
  readonly load: number
  readonly durationMs: number
  /** Whether a target becomes slow, another crashes, and reports are late. */
  readonly faults: boolean
}

const BURST_FACTOR = 2
const BURST_INTERVAL_MS = 20_000
const BURST_OFFSET_MS = 12_000
const BURST_MS = 3_000
const MEAN_DRAWS = 20_000
const MS_PER_S = 1_000
const STRAGGLER_FACTOR = 5
const CRASH_MS = 3_000
const LATE_LOAD_LAG_MS = 4_000
const LATE_CACHE_LAG_MS = 3_000

function isBurst (atMs: number): boolean {
  const phaseMs = atMs % BURST_INTERVAL_MS
  return phaseMs >= BURST_OFFSET_MS && phaseMs < BURST_OFFSET_MS + BURST_MS
}

/** Mean answer tokens of one request of the mix, plain services not counted. */
function meanAnswerTokens (of: mix.Mix, next: protocol.Random): number {
  let tokens = 0
  for (let index = 0; index < MEAN_DRAWS; index++) {
    const drawn = mix.draw(of, next)
    if (drawn.kind.target === 'model') tokens += drawn.answerTokens
  }
  return tokens / MEAN_DRAWS
}

function listKinds (profile: profiles.Profile): readonly trace.Kind[] {
  return profile.mix.kinds.map(({ name, service, target, method, path, tier, rank, nonIdempotent, stream, sharedTokens, mostAnswerTokens }) => ({
    name, service, target, method, path, tier, rank, nonIdempotent, stream, sharedTokens, answerLimitTokens: mostAnswerTokens, deadlineMs: profile.patienceMs[name] ?? BURST_INTERVAL_MS
  }))
}

function stateOutcomes (profile: profiles.Profile): trace.Outcomes {
  return {
    latencyRanks: [1],
    firstTokenMs: 1_700,
    betweenTokensMs: 67,
    withinShare: 0.95,
    topTierShare: 0.99,
    capacityShare: 0.9,
    wastedPrefillShare: profile.wastedPrefillShare,
    baselineFactor: 1.3
  }
}

function * drawArrivals (options: Options, perMs: number, next: protocol.Random): Generator<trace.Arrival, void> {
  const { profile, durationMs } = options
  const organisations = profile.mix.organisations.map(({ organisation }) => organisation)
  let atMs = 0
  while (true) {
    atMs -= Math.log(1 - next()) / (perMs * (isBurst(atMs) ? BURST_FACTOR : 1))
    if (atMs >= durationMs) return
    const drawn = mix.draw(profile.mix, next)
    yield { atMs: Math.floor(atMs), kind: drawn.kind.name, by: organisations.indexOf(drawn.organisation), prompt: drawn.promptTokens, answer: drawn.answerTokens }
  }
}

/** A fast target becomes slow for a third of the trace, another crashes, and all reports are late for a quarter. */
function listEvents (options: Options, targets: readonly trace.Target[]): readonly trace.TargetEvent[] {
  const models = targets.filter(({ kind }) => kind === 'model')
  const [straggler] = models
  const crashing = models[2]
  if (!options.faults || straggler === undefined || crashing === undefined) return []
  const at = (share: number): number => Math.floor(options.durationMs * share)
  const lags = models.flatMap(({ name, loadLagMs, cacheEventLagMs }): readonly trace.TargetEvent[] => [
    { type: 'report-lag', atMs: at(0.6), target: name, loadLagMs: LATE_LOAD_LAG_MS, cacheEventLagMs: LATE_CACHE_LAG_MS },
    { type: 'report-lag', atMs: at(0.85), target: name, loadLagMs, cacheEventLagMs }
  ])
  const events: readonly trace.TargetEvent[] = [
    { type: 'slowdown', atMs: at(0.3), target: straggler.name, factor: STRAGGLER_FACTOR },
    { type: 'slowdown', atMs: at(0.6), target: straggler.name, factor: 1 },
    { type: 'crash', atMs: at(0.75), target: crashing.name, forMs: CRASH_MS },
    ...lags
  ]
  return [...events].sort((left, right) => left.atMs - right.atMs)
}

/**
 * Generates a trace; the same options give the same trace.
 *
 * @example
 * ```ts
 * generateTrace({ profile: ATLASRENEW, documents, seed: 1, load: 1.5, durationMs: 90_000, faults: true })
 * ```
 */
export function generateTrace (options: Options): trace.Trace {
  const { profile, seed, load, durationMs } = options
  const next = random.seededRandom(seed)
  const targets = profiles.listTargets(options.documents)
  const burstShare = BURST_MS / BURST_INTERVAL_MS
  const meanFactor = 1 + burstShare * (BURST_FACTOR - 1)
  const perS = load * capacity.decodeTokensPerS(targets) / meanAnswerTokens(profile.mix, next) / meanFactor
  return {
    header: {
      type: 'header',
      format: trace.FORMAT_VERSION,
      deployment: profile.deployment,
      seed,
      durationMs,
      load,
      entries: profile.entries,
      messageDelayMs: profile.messageDelayMs,
      organisations: profile.mix.organisations.map(({ organisation }) => organisation),
      kinds: listKinds(profile),
      targets,
      outcomes: stateOutcomes(profile)
    },
    arrivals: [...drawArrivals(options, perS / MS_PER_S, next)],
    events: listEvents(options, targets)
  }
}
