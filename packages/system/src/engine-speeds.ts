/**
 * Speeds of the stand-in engines by their targets' hardware.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as standins from '@persimmonhatch/standins'

type Description = standins.standinSet.StandinSet['standins'][number]

/** Speeds of one hardware generation, tokens per second. */
interface Speed {
  readonly prefillTokensPerS: number
  readonly decodeTokensPerS: number
  readonly maxDecodeTokensPerSequencePerS: number
  readonly maxBatch: number
  readonly cacheTokens: number
}

const SPEEDS: Readonly<Record<string, Speed>> = {
  fast: { prefillTokensPerS: 16_000, decodeTokensPerS: 1_600, maxDecodeTokensPerSequencePerS: 80, maxBatch: 32, cacheTokens: 120_000 },
  middle: { prefillTokensPerS: 8_000, decodeTokensPerS: 800, maxDecodeTokensPerSequencePerS: 50, maxBatch: 24, cacheTokens: 80_000 },
  old: { prefillTokensPerS: 3_000, decodeTokensPerS: 320, maxDecodeTokensPerSequencePerS: 25, maxBatch: 16, cacheTokens: 40_000 }
}

const PLAIN_SERVICE_TIME_MS = 8

/** Text that crashes a stand-in whose request carries it. */
export const CRASH_MARKER = 'crash-this-target'

/**
 * The stand-in for one target.
 *
 * @example
 * ```ts
 * describeTarget(target, 'model', 7)
 * ```
 */
export function describeTarget (target: document.serviceDocument.Target, kind: 'model' | 'plain', seed: number): Description {
  const { name, hardware } = target
  if (kind === 'plain') return { kind: 'plain-service', name, serviceTimeMs: PLAIN_SERVICE_TIME_MS, crashMarker: CRASH_MARKER }
  return { kind: 'model-engine', name, ...SPEEDS[hardware], loadLagMs: 1_000, cacheEventLagMs: 500, cacheEventLossRate: 0.02, crashMarker: CRASH_MARKER, checksFencing: target.checksFencing, seed }
}
