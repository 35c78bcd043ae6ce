/**
 * Creates receipts, which explain why a request waited, ran or was refused.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import type * as request from './request.js'

/** An outcome and the figures that explain it. */
export interface Outcome {
  readonly reason: protocol.Reason
  readonly execution: protocol.Execution
  readonly figures: protocol.Figures
}

/**
 * Creates the outcome of a request of which nothing was sent to a target.
 *
 * @example
 * ```ts
 * notRun('unknown-service', { service: 'listings' }).execution // 'not-run'
 * ```
 */
export function notRun (reason: protocol.Reason, figures: protocol.Figures): Outcome {
  return { reason, execution: 'not-run', figures }
}

/**
 * Creates the receipt of an arrival that was refused without being accepted.
 *
 * @example
 * ```ts
 * forArrival(arrival, identity, notRun('draining', {})).reason // 'draining'
 * ```
 */
export function forArrival (arrival: event.Arrival, identity: string, outcome: Outcome): event.Receipt {
  return {
    identity,
    service: arrival.service,
    organisation: arrival.organisation ?? 'none',
    tier: arrival.tier ?? 'none',
    ...outcome,
    waitedMs: 0,
    target: undefined,
    end: undefined
  }
}

/**
 * Creates the receipt of an accepted request.
 *
 * @example
 * ```ts
 * forRequest(running, outcome, nowMs, end).target // 'counter-1'
 * ```
 */
export function forRequest (accepted: request.Request, outcome: Outcome, nowMs: number, end: event.DispatchEnd | undefined): event.Receipt {
  return {
    identity: accepted.identity,
    service: accepted.arrival.service,
    organisation: accepted.policy.organisation,
    tier: accepted.policy.tier,
    ...outcome,
    waitedMs: (accepted.state === 'running' ? accepted.dispatchedAtMs : nowMs) - accepted.acceptedAtMs,
    target: accepted.state === 'running' ? accepted.target : undefined,
    end
  }
}

/**
 * Creates the receipt that accompanies a dispatch. Its execution is `unknown`, because the outcome is known only at the end of the response.
 *
 * @example
 * ```ts
 * forDispatch(running, grant.figures).execution // 'unknown'
 * ```
 */
export function forDispatch (running: request.Running, figures: protocol.Figures): event.Receipt {
  const waitedMs = running.dispatchedAtMs - running.acceptedAtMs
  const outcome: Outcome = { reason: 'finished', execution: 'unknown', figures: { ...figures, target: running.target, waitedMs } }
  return forRequest(running, outcome, running.dispatchedAtMs, undefined)
}
