/**
 * Which objectives a request missed, and the main cause.
 *
 * @module
 */
import type * as burnRecord from './burn-record.js'
import type * as serviceDocument from './service-document.js'

/** An ended request. Times run from the moment when the daemon received it. */
export interface Ended {
  readonly service: string
  readonly organisation: string
  /** `cut`: dispatched, and ended without a whole answer. */
  readonly outcome: 'whole' | 'cut' | 'shed' | 'refused'
  /** Time before the dispatch. */
  readonly waitedMs: number
  /** Undefined for an answer without tokens. */
  readonly firstTokenMs: number | undefined
  /** Mean time between tokens; undefined for an answer with fewer than two. */
  readonly betweenTokensMs: number | undefined
  readonly completionMs: number
}

function exceeds (measuredMs: number | undefined, objectiveMs: number | undefined): boolean {
  return measuredMs !== undefined && objectiveMs !== undefined && measuredMs > objectiveMs
}

function * missed (objectives: serviceDocument.Tier['objectives'], ended: Ended): Generator<burnRecord.CountName> {
  if (exceeds(ended.firstTokenMs, objectives.firstTokenMs)) yield 'firstToken'
  if (exceeds(ended.betweenTokensMs, objectives.betweenTokensMs)) yield 'betweenTokens'
  if (ended.outcome === 'cut' || exceeds(ended.completionMs, objectives.completionMs)) yield 'completion'
}

// The wait is the cause when the request would have met every objective without it.
function slowCause (objectives: serviceDocument.Tier['objectives'], ended: Ended): burnRecord.CountName {
  const firstTokenMs = ended.firstTokenMs === undefined ? undefined : ended.firstTokenMs - ended.waitedMs
  const unwaited = { ...ended, firstTokenMs, completionMs: ended.completionMs - ended.waitedMs }
  return [...missed(objectives, unwaited)].length === 0 ? 'causeWaited' : 'causeStraggler'
}

function * names (objectives: serviceDocument.Tier['objectives'], ended: Ended): Generator<burnRecord.CountName> {
  yield 'total'
  if (ended.outcome === 'shed' || ended.outcome === 'refused') {
    yield 'refused'
    yield ended.outcome === 'shed' ? 'causeShed' : 'causeRefused'
    return
  }
  const burnt = [...missed(objectives, ended)]
  yield * burnt
  if (ended.outcome === 'cut') yield 'causeCut'
  else if (burnt.length > 0) yield slowCause(objectives, ended)
}

/**
 * What to count for an ended request of a tier.
 *
 * @example
 * ```ts
 * counter.count(judgeRequest(tier, ended), nowMs)
 * ```
 */
export function judgeRequest (tier: serviceDocument.Tier, ended: Ended): burnRecord.Observation {
  return { service: ended.service, tier: tier.name, organisation: ended.organisation, counts: [...names(tier.objectives, ended)] }
}
