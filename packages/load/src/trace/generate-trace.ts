/**
 * Generates traces from the deployments' request mixes.
 *
 * Arrivals are a Poisson process whose rate doubles during bursts. Inter-arrival times are sampled by inverting
 * the exponential distribution. Source: L. Devroye, "Non-Uniform Random Variate Generation", 1986, II.2.
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

/** Options of a generated trace. */
export interface Options {
  readonly profile: profiles.Profile
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  readonly seed: number
  /** Requested answer tokens, as a multiple of the decode capacity of the targets. */
  readonly offeredLoad: number
  readonly durationMs: number
  /** Whether one target slows down, another crashes, and reports are delayed. */
  readonly includesFaults: boolean
}

const BURST_RATE_FACTOR = 2
const BURST_INTERVAL_MS = 20_000
const BURST_OFFSET_MS = 12_000
const BURST_DURATION_MS = 3_000
const MEAN_SAMPLES = 20_000
const MS_PER_S = 1_000
const STRAGGLER_SLOWDOWN = 5
const CRASH_DURATION_MS = 3_000
const DELAYED_LOAD_LAG_MS = 4_000
const DELAYED_CACHE_EVENT_LAG_MS = 3_000

function isBurst (atMs: number): boolean {
  const phaseMs = atMs % BURST_INTERVAL_MS
  return phaseMs >= BURST_OFFSET_MS && phaseMs < BURST_OFFSET_MS + BURST_DURATION_MS
}

/** Estimates the mean answer tokens of a request; requests to plain services count as 0 tokens. */
function meanAnswerTokens (requestMix: mix.Mix, nextRandom: protocol.Random): number {
  let tokens = 0
  for (let index = 0; index < MEAN_SAMPLES; index++) {
    const drawn = mix.draw(requestMix, nextRandom)
    if (drawn.kind.target === 'model') tokens += drawn.answerTokens
  }
  return tokens / MEAN_SAMPLES
}

function toTraceKinds (profile: profiles.Profile): readonly trace.Kind[] {
  return profile.mix.kinds.map(({ name, service, target, method, path, tier, rank, nonIdempotent, stream, sharedTokens, maxAnswerTokens }) => ({
    name, service, target, method, path, tier, rank, nonIdempotent, stream, sharedTokens, answerLimitTokens: maxAnswerTokens, deadlineMs: profile.deadlineMsByKind[name] ?? BURST_INTERVAL_MS
  }))
}

function expectedOutcomes (profile: profiles.Profile): trace.ExpectedOutcomes {
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

function * generateArrivals (options: Options, ratePerMs: number, nextRandom: protocol.Random): Generator<trace.Arrival, void> {
  const { profile, durationMs } = options
  const organisations = profile.mix.organisations.map(({ organisation }) => organisation)
  let atMs = 0
  while (true) {
    atMs -= Math.log(1 - nextRandom()) / (ratePerMs * (isBurst(atMs) ? BURST_RATE_FACTOR : 1))
    if (atMs >= durationMs) return
    const drawn = mix.draw(profile.mix, nextRandom)
    yield { atMs: Math.floor(atMs), kind: drawn.kind.name, by: organisations.indexOf(drawn.organisation), prompt: drawn.promptTokens, answer: drawn.answerTokens }
  }
}

/** Slows down a fast target for a third of the trace, crashes another, and delays all reports for a quarter. */
function generateEvents (options: Options, targets: readonly trace.Target[]): readonly trace.TargetEvent[] {
  const modelEngines = targets.filter(({ kind }) => kind === 'model')
  const [straggler] = modelEngines
  const crashedTarget = modelEngines[2]
  if (!options.includesFaults || straggler === undefined || crashedTarget === undefined) return []
  const timeAt = (share: number): number => Math.floor(options.durationMs * share)
  const lagEvents = modelEngines.flatMap(({ name, loadLagMs, cacheEventLagMs }): readonly trace.TargetEvent[] => [
    { type: 'report-lag', atMs: timeAt(0.6), target: name, loadLagMs: DELAYED_LOAD_LAG_MS, cacheEventLagMs: DELAYED_CACHE_EVENT_LAG_MS },
    { type: 'report-lag', atMs: timeAt(0.85), target: name, loadLagMs, cacheEventLagMs }
  ])
  const events: readonly trace.TargetEvent[] = [
    { type: 'slowdown', atMs: timeAt(0.3), target: straggler.name, factor: STRAGGLER_SLOWDOWN },
    { type: 'slowdown', atMs: timeAt(0.6), target: straggler.name, factor: 1 },
    { type: 'crash', atMs: timeAt(0.75), target: crashedTarget.name, forMs: CRASH_DURATION_MS },
    ...lagEvents
  ]
  return [...events].sort((left, right) => left.atMs - right.atMs)
}

/**
 * Generates a trace. The same options always produce the same trace.
 *
 * @example
 * ```ts
 * generateTrace({ profile: ATLASRENEW, documents, seed: 1, load: 1.5, durationMs: 90_000, faults: true })
 * ```
 */
export function generateTrace (options: Options): trace.Trace {
  const { profile, seed, offeredLoad, durationMs } = options
  const nextRandom = random.seededRandom(seed)
  const targets = profiles.listTargets(options.documents)
  const burstShare = BURST_DURATION_MS / BURST_INTERVAL_MS
  const meanFactor = 1 + burstShare * (BURST_RATE_FACTOR - 1)
  const ratePerS = offeredLoad * capacity.decodeTokensPerS(targets) / meanAnswerTokens(profile.mix, nextRandom) / meanFactor
  return {
    header: {
      type: 'header',
      format: trace.FORMAT_VERSION,
      deployment: profile.deployment,
      seed,
      durationMs,
      load: offeredLoad,
      entries: profile.entries,
      messageDelayMs: profile.messageDelayMs,
      organisations: profile.mix.organisations.map(({ organisation }) => organisation),
      kinds: toTraceKinds(profile),
      targets,
      outcomes: expectedOutcomes(profile)
    },
    arrivals: [...generateArrivals(options, ratePerS / MS_PER_S, nextRandom)],
    events: generateEvents(options, targets)
  }
}
