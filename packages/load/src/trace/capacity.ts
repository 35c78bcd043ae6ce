/**
 * Decode capacity of the targets of a trace.
 *
 * @module
 */
import type * as trace from './trace.js'

const MS_PER_S = 1_000

/**
 * Returns the answer tokens that all model engines together can decode per second.
 *
 * @example
 * ```ts
 * decodeTokensPerS(header.targets) // 9120
 * ```
 */
export function decodeTokensPerS (targets: readonly trace.Target[]): number {
  return targets.reduce((sum, target) => target.kind === 'model' ? sum + target.decodeTokensPerS : sum, 0)
}

/** Returns the milliseconds of full-speed decoding that a target loses to crashes and slow periods. */
function lostCapacityMs (events: readonly trace.TargetEvent[], target: string, durationMs: number): number {
  let totalLostMs = 0
  let factor = 1
  let factorSinceMs = 0
  for (const event of events.filter((each) => each.target === target)) {
    if (event.type === 'crash') totalLostMs += Math.min(event.forMs, durationMs - event.atMs) / factor
    if (event.type !== 'slowdown') continue
    totalLostMs += (event.atMs - factorSinceMs) * (1 - 1 / factor)
    factor = event.factor
    factorSinceMs = event.atMs
  }
  return totalLostMs + (durationMs - factorSinceMs) * (1 - 1 / factor)
}

/**
 * Returns the answer tokens that the model engines can decode during a trace, less what crashes and slow periods cost.
 *
 * @example
 * ```ts
 * decodeCapacityTokens(recorded) // 800000
 * ```
 */
export function decodeCapacityTokens (sourceTrace: trace.Trace): number {
  const { durationMs, targets } = sourceTrace.header
  return targets.filter(({ kind }) => kind === 'model')
    .reduce((sum, target) => sum + target.decodeTokensPerS * (durationMs - lostCapacityMs(sourceTrace.events, target.name, durationMs)) / MS_PER_S, 0)
}
