/**
 * Profiles of the deployments that traces are generated for.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as mix from '../mix.js'
import type * as trace from './trace.js'

/** Properties that all traces of a deployment share. */
export interface Profile {
  readonly deployment: string
  readonly mix: mix.Mix
  /** Number of daemons that accept requests. */
  readonly entries: number
  readonly messageDelayMs: number
  readonly durationMs: number
  /** How long callers wait for the complete response, by kind of request. */
  readonly deadlineMsByKind: Readonly<Record<string, number>>
  /** Upper bound of the wasted share of prefill, which depends on the deployment's weighing. */
  readonly wastedPrefillShare: number
}

type EngineRates = Pick<trace.Target, 'prefillTokensPerS' | 'decodeTokensPerS' | 'maxDecodeTokensPerSequencePerS' | 'maxBatch' | 'cacheTokens'>

const RATES_BY_HARDWARE: Readonly<Record<string, EngineRates>> = {
  fast: { prefillTokensPerS: 16_000, decodeTokensPerS: 1_600, maxDecodeTokensPerSequencePerS: 80, maxBatch: 32, cacheTokens: 120_000 },
  middle: { prefillTokensPerS: 8_000, decodeTokensPerS: 800, maxDecodeTokensPerSequencePerS: 50, maxBatch: 24, cacheTokens: 80_000 },
  old: { prefillTokensPerS: 3_000, decodeTokensPerS: 320, maxDecodeTokensPerSequencePerS: 25, maxBatch: 16, cacheTokens: 40_000 }
}

const PLAIN_SERVICE_RATES: EngineRates = { prefillTokensPerS: 1, decodeTokensPerS: 1, maxDecodeTokensPerSequencePerS: 1, maxBatch: 1, cacheTokens: 0 }
const PLAIN_SERVICE_TIME_MS = 8
const LOAD_LAG_MS = 1_000
const CACHE_EVENT_LAG_MS = 500
const CACHE_EVENT_LOSS_RATE = 0.02

/** The laptop deployment. */
export const ATLASRENEW: Profile = {
  deployment: 'atlasrenew',
  mix: mix.ATLASRENEW,
  entries: 8,
  messageDelayMs: 1,
  durationMs: 75_000,
  deadlineMsByKind: { inspection: 60_000, tagging: 600_000, question: 15_000, reservation: 5_000, 'stock-check': 5_000 },
  wastedPrefillShare: 0.02
}

/** The wool deployment. */
export const LANAUSTRO: Profile = {
  deployment: 'lanaustro',
  mix: mix.LANAUSTRO,
  entries: 8,
  messageDelayMs: 1,
  durationMs: 150_000,
  deadlineMsByKind: { dossier: 60_000, summary: 120_000, price: 15_000, reservation: 5_000, settlement: 5_000 },
  wastedPrefillShare: 0.05
}

function toTraceTarget (target: document.serviceDocument.Target, kind: 'model' | 'plain'): trace.Target {
  const rates = kind === 'plain' ? PLAIN_SERVICE_RATES : RATES_BY_HARDWARE[target.hardware] ?? PLAIN_SERVICE_RATES
  return {
    name: target.name,
    kind,
    ...rates,
    serviceTimeMs: kind === 'plain' ? PLAIN_SERVICE_TIME_MS : 0,
    loadLagMs: LOAD_LAG_MS,
    cacheEventLagMs: CACHE_EVENT_LAG_MS,
    cacheEventLossRate: CACHE_EVENT_LOSS_RATE
  }
}

/**
 * Returns the targets listed in service documents, with the rates of their hardware.
 *
 * @example
 * ```ts
 * listTargets(documents).map(({ name }) => name) // ['engine-1', …]
 * ```
 */
export function listTargets (documents: readonly document.serviceDocument.ServiceDocument[]): readonly trace.Target[] {
  const targets = new Map<string, trace.Target>()
  for (const serviceDocument of documents) {
    for (const target of serviceDocument.targets) targets.set(target.name, toTraceTarget(target, serviceDocument.kind))
  }
  return [...targets.values()].sort((left, right) => left.name < right.name ? -1 : 1)
}
