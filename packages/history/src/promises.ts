/**
 * All promises together.
 *
 * @module
 */
import * as documentInForce from './document-in-force.js'
import * as finalOutcome from './final-outcome.js'
import * as gracefulStop from './graceful-stop.js'
import type * as history from './history.js'
import * as leavingTarget from './leaving-target.js'
import * as promptRefusal from './prompt-refusal.js'
import * as singleDispatch from './single-dispatch.js'
import * as singleEffect from './single-effect.js'
import * as tierOrder from './tier-order.js'
import * as truthfulRefusal from './truthful-refusal.js'
import * as completeResponse from './complete-response.js'

/** How closely moments can be told from outside. */
export interface Precision {
  readonly decisionWindowMs: number
  readonly toleranceMs: number
  /** Longest time from a decision to a caller's receipt of it, milliseconds. */
  readonly refusalLimitMs: number
}

/** For histories whose clock is exact. */
export const EXACT: Precision = {
  decisionWindowMs: tierOrder.DEFAULT_OPTIONS.decisionWindowMs,
  toleranceMs: tierOrder.DEFAULT_OPTIONS.toleranceMs,
  refusalLimitMs: promptRefusal.DEFAULT_LIMIT_MS
}

/**
 * Judges a history by every promise.
 *
 * @example
 * ```ts
 * findViolations(history, { ...EXACT, toleranceMs: 50 }) // [] when all promises were kept
 * ```
 */
export function findViolations (recordedHistory: history.History, precision: Precision = EXACT): readonly history.Violation[] {
  const { decisionWindowMs, toleranceMs } = precision
  const predicates: readonly history.Predicate[] = [
    singleDispatch.singleDispatch,
    tierOrder.createTierOrder({ ...tierOrder.DEFAULT_OPTIONS, decisionWindowMs, toleranceMs }),
    completeResponse.completeResponse,
    truthfulRefusal.truthfulRefusal,
    singleEffect.singleEffect,
    leavingTarget.leavingTarget,
    gracefulStop.gracefulStop,
    documentInForce.documentInForce,
    promptRefusal.createPromptRefusal(precision.refusalLimitMs),
    finalOutcome.finalOutcome
  ]
  return predicates.flatMap((predicate) => predicate(recordedHistory))
}
