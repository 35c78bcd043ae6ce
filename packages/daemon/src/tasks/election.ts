/**
 * Which members may be authorities.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Beats of a member before it is elected: longer than a new daemon needs to confirm its view. */
export const ESTABLISHED_HEARTBEATS = 5

/**
 * The members to choose authorities from. A daemon that joins a running fleet confirms its view before
 * it acts as an authority, so it is left out until then. When every member is leaving, the leaving ones
 * go on placing what still waits.
 *
 * @example
 * ```ts
 * const authorities = assignAuthorities(electable(members), pools)
 * ```
 */
export function electableMembers (members: readonly protocol.MemberNews[]): readonly protocol.MemberNews[] {
  const alive = members.filter((member) => member.state === 'alive')
  if (alive.length === 0) return members.map((member) => ({ ...member, state: 'alive' }))
  const maxHeartbeat = Math.max(...alive.map((member) => member.beat))
  return alive.filter((member) => member.beat >= Math.min(ESTABLISHED_HEARTBEATS, maxHeartbeat - ESTABLISHED_HEARTBEATS))
}
