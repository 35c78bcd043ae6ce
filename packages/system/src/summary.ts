/**
 * Summarises the results of a load by tier.
 *
 * @module
 */
import type * as callModule from './call.js'
import * as collectRuns from './collect-runs.js'
import * as systemModule from './system.js'

/** A request and its result. */
export interface ServedRequest {
  readonly request: callModule.Request
  readonly result: callModule.Result
}

/** Prompt tokens that engines prefilled, and how many of them were for requests that did not finish. */
export interface PrefillWaste {
  readonly prefilledTokens: number
  readonly wastedTokens: number
}

const PERCENT = 100
const COLUMN_WIDTH = 12

/**
 * Reads the prefilled and wasted tokens of all model engines.
 *
 * @example
 * ```ts
 * const waste = await readPrefillWaste(system)
 * ```
 */
export async function readPrefillWaste (system: systemModule.System): Promise<PrefillWaste> {
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

function formatRow (cells: readonly (string | number)[]): string {
  return cells.map((cell) => String(cell).padEnd(COLUMN_WIDTH)).join(' ')
}

function * formatTiers (served: readonly ServedRequest[]): Generator<string> {
  const tiers = new Map<string, ServedRequest[]>()
  for (const call of served) {
    const key = `${call.request.rank} ${call.request.service}/${call.request.tier}`
    tiers.set(key, [...tiers.get(key) ?? [], call])
  }
  yield formatRow(['rank', 'tier'.padEnd(22), 'sent', 'ran', 'refused', 'other', 'first ms p50', 'p95', 'total ms p50', 'p95'])
  for (const [key, all] of [...tiers].sort(([left], [right]) => left < right ? -1 : 1)) {
    const [rank = '', name = ''] = key.split(' ')
    const ran = all.filter((call) => call.result.outcome === 'answered')
    const refused = all.filter((call) => call.result.outcome === 'refused')
    const first = ran.map((call) => call.result.firstByteMs)
    const total = ran.map((call) => call.result.totalMs)
    yield formatRow([rank, name.padEnd(22), all.length, ran.length, refused.length, all.length - ran.length - refused.length,
      ...[first, total].flatMap((values) => [Math.round(percentile(values, 0.5)), Math.round(percentile(values, 0.95))])])
  }
}

function * formatReasons (served: readonly ServedRequest[]): Generator<string> {
  const reasons = new Map<string, number>()
  for (const { result } of served) {
    if (result.outcome !== 'answered') reasons.set(`${result.outcome} ${result.reason}`, (reasons.get(`${result.outcome} ${result.reason}`) ?? 0) + 1)
  }
  for (const [reason, count] of reasons) yield `${count} ${reason}`
}

/**
 * Formats the summary as text.
 *
 * @example
 * ```ts
 * console.log(formatSummary(served, waste))
 * ```
 */
export function formatSummary (served: readonly ServedRequest[], waste: PrefillWaste): string {
  const share = waste.prefilledTokens === 0 ? 0 : waste.wastedTokens / waste.prefilledTokens * PERCENT
  const prefill = `prefill: ${waste.prefilledTokens} tokens, ${waste.wastedTokens} of them wasted (${share.toFixed(2)}%)`
  return [...formatTiers(served), ...formatReasons(served), prefill].join('\n')
}
