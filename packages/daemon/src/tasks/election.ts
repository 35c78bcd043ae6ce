/**
 * Selects the members that can be authorities.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Heartbeats of a member before it is electable: longer than a joining member needs to confirm its view. */
export const ESTABLISHED_HEARTBEATS = 5

/**
 * Returns the members from which authorities are chosen. A daemon that joins a running fleet is excluded
 * until it has had time to confirm its view of the members. When every member is leaving, the leaving
 * ones stay electable and place the requests that still wait.
 *
 * @example
 * ```ts
 * const authorities = assignAuthorities(electableMembers(members), pools)
 * ```
 */
export function electableMembers (members: readonly protocol.MemberUpdate[]): readonly protocol.MemberUpdate[] {
  const alive = members.filter((member) => member.state === 'alive')
  if (alive.length === 0) return members.map((member) => ({ ...member, state: 'alive' }))
  const maxHeartbeat = Math.max(...alive.map((member) => member.beat))
  return alive.filter((member) => member.beat >= Math.min(ESTABLISHED_HEARTBEATS, maxHeartbeat - ESTABLISHED_HEARTBEATS))
}
