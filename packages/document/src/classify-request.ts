/**
 * Classifies ended requests by the objectives that they missed and the main cause.
 *
 * @module
 */
import type * as burnRecord from './burn-record.js'
import type * as serviceDocument from './service-document.js'

/** An ended request. Times are counted from the moment when the daemon received it. */
export interface EndedRequest {
  readonly service: string
  readonly organisation: string
  /** `complete`: ended with a complete response. `cut`: dispatched, and ended without a complete response. */
  readonly outcome: 'complete' | 'cut' | 'shed' | 'refused'
  /** Time before the dispatch. */
  readonly waitedMs: number
  /** Undefined for a response without tokens. */
  readonly firstTokenMs: number | undefined
  /** Mean time between tokens; undefined for a response with fewer than two. */
  readonly betweenTokensMs: number | undefined
  readonly completionMs: number
}

function exceeds (measuredMs: number | undefined, objectiveMs: number | undefined): boolean {
  return measuredMs !== undefined && objectiveMs !== undefined && measuredMs > objectiveMs
}

function * missedObjectives (objectives: serviceDocument.Tier['objectives'], ended: EndedRequest): Generator<burnRecord.CountName> {
  if (exceeds(ended.firstTokenMs, objectives.firstTokenMs)) yield 'firstToken'
  if (exceeds(ended.betweenTokensMs, objectives.betweenTokensMs)) yield 'betweenTokens'
  if (ended.outcome === 'cut' || exceeds(ended.completionMs, objectives.completionMs)) yield 'completion'
}

// The wait is the cause if the request would have met every objective without it.
function slowCause (objectives: serviceDocument.Tier['objectives'], ended: EndedRequest): burnRecord.CountName {
  const firstTokenMs = ended.firstTokenMs === undefined ? undefined : ended.firstTokenMs - ended.waitedMs
  const withoutWait = { ...ended, firstTokenMs, completionMs: ended.completionMs - ended.waitedMs }
  return [...missedObjectives(objectives, withoutWait)].length === 0 ? 'causeWaited' : 'causeStraggler'
}

function * countNames (objectives: serviceDocument.Tier['objectives'], ended: EndedRequest): Generator<burnRecord.CountName> {
  yield 'total'
  if (ended.outcome === 'shed' || ended.outcome === 'refused') {
    yield 'refused'
    yield ended.outcome === 'shed' ? 'causeShed' : 'causeRefused'
    return
  }
  const missed = [...missedObjectives(objectives, ended)]
  yield * missed
  if (ended.outcome === 'cut') yield 'causeCut'
  else if (missed.length > 0) yield slowCause(objectives, ended)
}

/**
 * Returns the counts to increment for an ended request of a tier.
 *
 * @example
 * ```ts
 * counter.count(classifyRequest(tier, ended), nowMs)
 * ```
 */
export function classifyRequest (tier: serviceDocument.Tier, ended: EndedRequest): burnRecord.Observation {
  return { service: ended.service, tier: tier.name, organisation: ended.organisation, counts: [...countNames(tier.objectives, ended)] }
}
