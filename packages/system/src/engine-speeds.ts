/**
 * Speeds of the stand-in engines by hardware.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as standins from '@persimmonhatch/standins'

type Description = standins.standinSet.StandinSet['standins'][number]

/** Speeds of one hardware generation, tokens per second. */
interface EngineSpeed {
  readonly prefillTokensPerS: number
  readonly decodeTokensPerS: number
  readonly maxDecodeTokensPerSequencePerS: number
  readonly maxBatch: number
  readonly cacheTokens: number
}

const SPEEDS_BY_HARDWARE: Readonly<Record<string, EngineSpeed>> = {
  fast: { prefillTokensPerS: 16_000, decodeTokensPerS: 1_600, maxDecodeTokensPerSequencePerS: 80, maxBatch: 32, cacheTokens: 120_000 },
  middle: { prefillTokensPerS: 8_000, decodeTokensPerS: 800, maxDecodeTokensPerSequencePerS: 50, maxBatch: 24, cacheTokens: 80_000 },
  old: { prefillTokensPerS: 3_000, decodeTokensPerS: 320, maxDecodeTokensPerSequencePerS: 25, maxBatch: 16, cacheTokens: 40_000 }
}

const PLAIN_SERVICE_TIME_MS = 8

/** Text in a request that crashes the stand-in. */
export const CRASH_MARKER = 'crash-this-target'

/**
 * Returns the description of the stand-in for one target.
 *
 * @example
 * ```ts
 * describeTarget(target, 'model', 7)
 * ```
 */
export function describeTarget (target: document.serviceDocument.Target, kind: 'model' | 'plain', seed: number): Description {
  const { name, hardware } = target
  if (kind === 'plain') return { kind: 'plain-service', name, serviceTimeMs: PLAIN_SERVICE_TIME_MS, crashMarker: CRASH_MARKER }
  return { kind: 'model-engine', name, ...SPEEDS_BY_HARDWARE[hardware], loadLagMs: 1_000, cacheEventLagMs: 500, cacheEventLossRate: 0.02, crashMarker: CRASH_MARKER, checksFencing: target.checksFencing, seed }
}
