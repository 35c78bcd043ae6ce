/**
 * Chooses the target of a request.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'
import type * as snapshot from './snapshot.js'
import type * as targetRecord from './target-record.js'
import type * as versionGate from './version-gate.js'

/** The state of the pool that the choice depends on. */
export interface Conditions {
  readonly isEngine: boolean
  /** Whether the targets fall over when they have to reject many requests. */
  readonly isBrittle: boolean
  readonly random: () => number
  readonly nowMs: number
  /** Limits of versions; without them, all are served alike. */
  readonly versions?: versionGate.VersionGate | undefined
}

/** Requests placed in this round, by target. */
export type Assigned = ReadonlyMap<targetRecord.TargetRecord, number>

/** Weight of the generation time relative to the time to the first event when targets are scored. */
const GENERATION_WEIGHT = 0.15

/** Maximum share of a request's remaining time that its generation may take at a target. */
const MAX_GENERATION_SHARE = 0.9

/** Score penalty for a target at which every request fails, ms. */
const FAILURE_PENALTY_MS = 400

/** Returns whether a target may get a request that is bound to a version; undefined is any. */
export function isOfVersion ({ target }: Pick<targetRecord.TargetRecord, 'target'>, version: string | undefined): boolean {
  return version === undefined || target.version === version
}

function scoreOf ({ record, inFlight }: snapshot.Candidate, request: poolEvent.PlacementOptions, { isEngine, random, nowMs }: Conditions): number {
  // The random term spreads requests of several daemons over targets with equal scores.
  const penaltyMs = FAILURE_PENALTY_MS * record.failureShare + random()
  const contention = 1 + inFlight / record.target.slots
  const workFactor = record.workFactor.current(nowMs)
  if (!isEngine) return workFactor * record.responseMs * contention + penaltyMs
  const prefillTokens = record.hasCachedPrompt(request.promptSegments, nowMs) ? 0 : request.promptTokens
  const firstEventMs = record.estimate.firstEventMs(record.pendingPrefillTokens() + prefillTokens)
  return workFactor * (firstEventMs + GENERATION_WEIGHT * record.estimate.generationMs(request.outputTokens) * contention) + penaltyMs
}

/** Returns whether the target is expected to finish the generation before the deadline. */
function canFinish ({ record }: snapshot.Candidate, request: poolEvent.PlacementOptions, { isEngine, nowMs }: Conditions): boolean {
  return !isEngine || record.estimate.generationMs(request.outputTokens) < MAX_GENERATION_SHARE * (request.limitMs - nowMs)
}

function chooseAmong (eligible: readonly snapshot.Candidate[], request: poolEvent.PlacementOptions, conditions: Conditions, assigned: Assigned): targetRecord.TargetRecord | undefined {
  const notEjected = eligible.filter(({ isEjected }) => !isEjected)
  const accepting = notEjected.length > 0 ? notEjected : eligible
  const free = accepting.filter(({ record, freeSlots }) => freeSlots > (assigned.get(record) ?? 0))
  const exceedsSlots = free.length === 0 && request.isRetry && request.relocation === undefined && !conditions.isBrittle
  const usable = exceedsSlots ? accepting.filter(({ record, allowedSends }) => allowedSends > (assigned.get(record) ?? 0)) : free
  const capable = usable.filter((candidate) => canFinish(candidate, request, conditions))
  const unconfirmed = capable.find(({ record }) => record.isLimitUnconfirmed(conditions.nowMs))
  if (unconfirmed !== undefined) return unconfirmed.record
  let best: { readonly record: targetRecord.TargetRecord, readonly score: number } | undefined
  for (const candidate of capable.length > 0 ? capable : usable) {
    const score = scoreOf(candidate, request, conditions)
    if (best === undefined || score < best.score) best = { record: candidate.record, score }
  }
  return best?.record
}

/**
 * Returns the target for a request; undefined if none has room for it. A retry exceeds the slots of targets only if all are in use.
 *
 * @example
 * ```ts
 * const record = chooseTarget(request, snapshot.candidates, { isEngine, isBrittle, random, nowMs }, assigned)
 * ```
 */
export function chooseTarget (request: poolEvent.PlacementOptions, candidates: readonly snapshot.Candidate[], conditions: Conditions, assigned: Assigned): targetRecord.TargetRecord | undefined {
  const { versions, nowMs } = conditions
  const isBound = request.version !== undefined
  const eligible = candidates.filter(({ record }) => !request.excludedTargets.has(record.target.id) && isOfVersion(record, request.version) && versions?.isWithheld(record.target.version, isBound, nowMs) !== true)
  const preferred = versions === undefined || isBound || request.isRetry ? [] : eligible.filter(({ record, isEjected }) => !isEjected && versions.isPreferred(record.target.version, nowMs))
  return chooseAmong(preferred, request, conditions, assigned) ?? chooseAmong(eligible, request, conditions, assigned)
}
