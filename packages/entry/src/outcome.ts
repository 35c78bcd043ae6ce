/**
 * Derives the outcome of a request, and of its slot, from the end of a dispatch.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as receipt from './receipt.js'
import type * as request from './request.js'

/** How a dispatch that reached its target ended. */
export type ReachedOutcome = Exclude<event.DispatchEnd['outcome'], 'unreachable'>

function ran (reason: protocol.Reason, figures: protocol.Figures): receipt.Outcome {
  return { reason, execution: 'ran', figures }
}

function unknown (reason: protocol.Reason, figures: protocol.Figures): receipt.Outcome {
  return { reason, execution: 'unknown', figures }
}

function classifyCancellation (running: request.Running, figures: protocol.Figures): receipt.Outcome {
  switch (running.cancelCause) {
    case 'preempted': return ran('preempted', figures)
    case 'caller-gone': return unknown('caller-gone-dispatched', figures)
    case undefined: return unknown('target-failed', figures)
  }
}

/**
 * Returns the outcome of a dispatch of which the target may have received bytes. Its execution is never `not-run`.
 *
 * @example
 * ```ts
 * classifyEnd(running, 'incomplete', end).reason // 'answer-incomplete'
 * ```
 */
export function classifyEnd (running: request.Running, outcome: ReachedOutcome, end: event.DispatchEnd): receipt.Outcome {
  const figures = { target: running.target, waitedMs: running.dispatchedAtMs - running.acceptedAtMs, detail: end.detail }
  switch (outcome) {
    case 'finished': return ran('finished', figures)
    case 'incomplete': return ran('answer-incomplete', figures)
    case 'failed':
    case 'crashed': return unknown('target-failed', figures)
    case 'cancelled': return classifyCancellation(running, figures)
  }
}

/**
 * Returns the outcome of the slot that is reported to the authority.
 *
 * @example
 * ```ts
 * slotOutcome({ outcome: 'incomplete' }) // 'failed'
 * ```
 */
export function slotOutcome ({ outcome, isTargetUp }: Pick<event.DispatchEnd, 'outcome' | 'isTargetUp'>): protocol.SlotOutcome {
  if (outcome === 'crashed') return isTargetUp === true ? 'failed' : 'crashed'
  return outcome === 'incomplete' ? 'failed' : outcome
}
