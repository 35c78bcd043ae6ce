/**
 * Who is authority of which pool, worked out again only when the electable members or the pools changed.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'

/** Assigns pools to members. */
export type Assign = (members: readonly protocol.MemberNews[], pools: readonly membership.rendezvous.Pool[]) => ReadonlyMap<string, protocol.Incarnation>

/** All that an assignment depends on. */
function assignmentKey (members: readonly protocol.MemberNews[], pools: readonly membership.rendezvous.Pool[]): string {
  const memberKeys = members.map(({ incarnation, region, state }) => `${incarnation} ${region} ${state}`).sort()
  return `${memberKeys.join('\n')}\n\n${pools.map(({ pool, region }) => `${pool} ${region}`).sort().join('\n')}`
}

/**
 * Starts with nothing assigned.
 *
 * @example
 * ```ts
 * const assign = createAssign()
 * assign(members, pools).get('listings')
 * ```
 */
export function createAssign (): Assign {
  let previousKey: string | undefined
  let assigned: ReadonlyMap<string, protocol.Incarnation> = new Map()
  return (members, pools) => {
    const key = assignmentKey(members, pools)
    if (key !== previousKey) assigned = membership.rendezvous.assignAuthorities(members, pools)
    previousKey = key
    return assigned
  }
}
