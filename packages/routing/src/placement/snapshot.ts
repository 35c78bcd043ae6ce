/**
 * The targets of a pool at one moment, on which one round of decisions is based.
 *
 * @module
 */
import type * as targetRecord from './target-record.js'

/** A target that may receive new requests. */
export interface Candidate {
  readonly record: targetRecord.TargetRecord
  readonly isEjected: boolean
  readonly inFlight: number
  readonly freeSlots: number
  /** Requests that this daemon may send, by the limit of the target's request rate and the pause that it asks for. */
  readonly allowedSends: number
  /** Time until the pause that the target asks for ends, ms; 0 if it asks for none. */
  readonly pauseMs: number
}

/** State of the targets at one moment, used for placement. */
export interface PoolSnapshot {
  readonly nowMs: number
  readonly candidates: readonly Candidate[]
  /** The target with the shortest time to the first event. */
  readonly fastest: targetRecord.TargetRecord | undefined
  /** Slots that may be used; a limited target has only those that its request rate fills. */
  readonly slots: number
  readonly sendLimit: SendLimit | undefined
  /** Time until the first pause ends if all targets have asked for one, ms; 0 otherwise. */
  readonly pauseMs: number
}

/** What this daemon may send while all usable targets are limited. */
export interface SendLimit {
  readonly requestsPerS: number
  /** Time until the next request may be sent, ms. */
  readonly waitMs: number
}

/** Returns what may be sent if all healthy targets are limited; undefined otherwise. */
export function sendLimitOf (candidates: readonly Candidate[], nowMs: number): SendLimit | undefined {
  const healthy = candidates.filter(({ isEjected }) => !isEjected)
  const limited = healthy.filter(({ record }) => record.limit !== undefined)
  if (limited.length === 0 || limited.length < healthy.length) return undefined
  return {
    requestsPerS: limited.reduce((sum, { record }) => sum + (record.limit?.ownRequestsPerS ?? 0), 0),
    waitMs: Math.min(...limited.map(({ record }) => record.sendWaitMs(nowMs)))
  }
}

/** Returns the free slots of all targets. */
export function freeSlotsOf ({ candidates }: Pick<PoolSnapshot, 'candidates'>): number {
  return candidates.reduce((sum, { freeSlots }) => sum + freeSlots, 0)
}
