/**
 * Divides the request rate of a limited target among the daemons.
 *
 * If every daemon kept an equal share, each could still send its first request at once, so the sum over a large
 * fleet would exceed a low limit. Instead a few daemons, the target's senders, share the rate. Every daemon selects
 * them alone, and the senders of a service's targets are spread evenly over the daemons.
 *
 * @module
 */

/** Position of a daemon among the members of the fleet in hash order. */
export interface RingPosition {
  readonly index: number
  readonly members: number
}

/** Position of a target among all targets of its service in hash order. */
export interface TargetPosition {
  readonly index: number
  readonly targets: number
}

/** A limited target's rate and this daemon's share of it. */
export interface RateLimit {
  /** Requests per second that the target accepts from the whole fleet. */
  readonly requestsPerS: number
  /** Requests per second that this daemon may send; 0 if it is not one of the target's senders. */
  readonly ownRequestsPerS: number
}

/** Rate at which a target with a lower limit gets requests, as only their responses show that the limit has ended. */
const MIN_REQUESTS_PER_S = 0.25

/** Minimum fleet size that is assumed, as a process does not know its peers right after its start. */
export const MIN_ASSUMED_MEMBERS = 8

/**
 * Returns this daemon's share of a target's rate.
 *
 * @example
 * ```ts
 * const limit = shareRate(2.8, { index: 3, targets: 8 }, { index: 4, members: 9 })
 * ```
 */
export function shareRate (requestsPerS: number, target: TargetPosition, daemon: RingPosition): RateLimit {
  const rate = Math.max(MIN_REQUESTS_PER_S, requestsPerS)
  const senders = Math.min(1 + Math.floor(rate), Math.max(MIN_ASSUMED_MEMBERS, daemon.members))
  const centre = (target.index + 0.5) / target.targets * daemon.members
  const first = Math.ceil(centre - senders / 2 - 0.5)
  const offset = ((daemon.index - first) % daemon.members + daemon.members) % daemon.members
  return { requestsPerS: rate, ownRequestsPerS: offset < senders ? rate / senders : 0 }
}
