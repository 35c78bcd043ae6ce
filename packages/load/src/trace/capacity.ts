/**
 * What the targets of a trace can write.
 *
 * @module
 */
import type * as trace from './trace.js'

const MS_PER_S = 1_000

/**
 * Answer tokens that the model engines can write in a second.
 *
 * @example
 * ```ts
 * decodeTokensPerS(header.targets) // 9120
 * ```
 */
export function decodeTokensPerS (targets: readonly trace.Target[]): number {
  return targets.reduce((sum, target) => target.kind === 'model' ? sum + target.decodeTokensPerS : sum, 0)
}

function lostMs (events: readonly trace.TargetEvent[], target: string, durationMs: number): number {
  let lost = 0
  let factor = 1
  let sinceMs = 0
  for (const event of events.filter((each) => each.target === target)) {
    if (event.type === 'crash') lost += Math.min(event.forMs, durationMs - event.atMs) / factor
    if (event.type !== 'slowdown') continue
    lost += (event.atMs - sinceMs) * (1 - 1 / factor)
    factor = event.factor
    sinceMs = event.atMs
  }
  return lost + (durationMs - sinceMs) * (1 - 1 / factor)
}

/**
 * Answer tokens that the model engines can write during a trace, less what crashes and slow periods cost.
 *
 * @example
 * ```ts
 * writableTokens(recorded) // 800000
 * ```
 */
export function writableTokens (of: trace.Trace): number {
  const { durationMs, targets } = of.header
  return targets.filter(({ kind }) => kind === 'model')
    .reduce((sum, target) => sum + target.decodeTokensPerS * (durationMs - lostMs(of.events, target.name, durationMs)) / MS_PER_S, 0)
}
