/**
 * Checks all guarantees.
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

/** How precisely the times of decisions can be observed from outside. */
export interface Precision {
  /** See `tierOrder.Options`. */
  readonly decisionWindowMs: number
  /** See `tierOrder.Options`. */
  readonly toleranceMs: number
  /** Maximum time from a decision until a caller receives the refusal, for `promptRefusal`, milliseconds. */
  readonly refusalLimitMs: number
}

/** Precision for histories with an exact clock. */
export const EXACT: Precision = {
  decisionWindowMs: tierOrder.DEFAULT_OPTIONS.decisionWindowMs,
  toleranceMs: tierOrder.DEFAULT_OPTIONS.toleranceMs,
  refusalLimitMs: promptRefusal.DEFAULT_LIMIT_MS
}

/**
 * Checks a history for violations of every guarantee.
 *
 * @example
 * ```ts
 * findViolations(history, { ...EXACT, toleranceMs: 50 }) // [] when all guarantees hold
 * ```
 */
export function findViolations (recordedHistory: history.History, precision: Precision = EXACT): readonly history.Violation[] {
  const { decisionWindowMs, toleranceMs } = precision
  const guaranteeChecks: readonly history.GuaranteeCheck[] = [
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
  return guaranteeChecks.flatMap((check) => check(recordedHistory))
}
