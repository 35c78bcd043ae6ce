/**
 * Tells what happened to a load, by tier.
 *
 * @module
 */
import type * as callModule from './call.js'
import * as collectRuns from './collect-runs.js'
import * as systemModule from './system.js'

/** A request and what came of it. */
export interface Served {
  readonly request: callModule.Request
  readonly result: callModule.Result
}

/** Prompt tokens that engines computed, and those of them for requests that did not finish. */
export interface Waste {
  readonly prefilledTokens: number
  readonly wastedTokens: number
}

const PERCENT = 100
const COLUMN = 12

/**
 * Reads the prefill of all model engines.
 *
 * @example
 * ```ts
 * const waste = await readWaste(system)
 * ```
 */
export async function readWaste (system: systemModule.System): Promise<Waste> {
  const logs = await Promise.all(systemModule.loggedTargets(system).filter((target) => target.kind === 'model').map(collectRuns.readLog))
  const lines = logs.flat()
  return {
    prefilledTokens: lines.reduce((sum, line) => sum + (line.prefilledTokens ?? 0), 0),
    wastedTokens: lines.reduce((sum, line) => sum + (line.wastedPrefillTokens ?? 0), 0)
  }
}

function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function row (cells: readonly (string | number)[]): string {
  return cells.map((cell) => String(cell).padEnd(COLUMN)).join(' ')
}

function * tierRows (served: readonly Served[]): Generator<string> {
  const tiers = new Map<string, Served[]>()
  for (const one of served) {
    const key = `${one.request.rank} ${one.request.service}/${one.request.tier}`
    tiers.set(key, [...tiers.get(key) ?? [], one])
  }
  yield row(['rank', 'tier'.padEnd(22), 'sent', 'ran', 'refused', 'other', 'first ms p50', 'p95', 'total ms p50', 'p95'])
  for (const [key, all] of [...tiers].sort(([left], [right]) => left < right ? -1 : 1)) {
    const [rank = '', name = ''] = key.split(' ')
    const ran = all.filter((one) => one.result.outcome === 'answered')
    const refused = all.filter((one) => one.result.outcome === 'refused')
    const first = ran.map((one) => one.result.firstByteMs)
    const total = ran.map((one) => one.result.totalMs)
    yield row([rank, name.padEnd(22), all.length, ran.length, refused.length, all.length - ran.length - refused.length,
      ...[first, total].flatMap((values) => [Math.round(percentile(values, 0.5)), Math.round(percentile(values, 0.95))])])
  }
}

function * reasonRows (served: readonly Served[]): Generator<string> {
  const reasons = new Map<string, number>()
  for (const { result } of served) {
    if (result.outcome !== 'answered') reasons.set(`${result.outcome} ${result.reason}`, (reasons.get(`${result.outcome} ${result.reason}`) ?? 0) + 1)
  }
  for (const [reason, count] of reasons) yield `${count} ${reason}`
}

/**
 * The whole account as text.
 *
 * @example
 * ```ts
 * console.log(describe(served, waste))
 * ```
 */
export function describe (served: readonly Served[], waste: Waste): string {
  const share = waste.prefilledTokens === 0 ? 0 : waste.wastedTokens / waste.prefilledTokens * PERCENT
  const prefill = `prefill: ${waste.prefilledTokens} tokens, ${waste.wastedTokens} of them wasted (${share.toFixed(2)}%)`
  return [...tierRows(served), ...reasonRows(served), prefill].join('\n')
}
