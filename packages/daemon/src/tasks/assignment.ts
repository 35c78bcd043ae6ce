/**
 * Assigns authorities to pools and caches the result until the electable members or the pools change.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'

/** Returns the authority of each pool. */
export type Assign = (members: readonly protocol.MemberUpdate[], pools: readonly membership.rendezvous.Pool[]) => ReadonlyMap<string, protocol.Incarnation>

/** Cache key: everything that the assignment depends on. */
function assignmentKey (members: readonly protocol.MemberUpdate[], pools: readonly membership.rendezvous.Pool[]): string {
  const memberKeys = members.map(({ incarnation, region, state }) => `${incarnation} ${region} ${state}`).sort()
  return `${memberKeys.join('\n')}\n\n${pools.map(({ pool, region }) => `${pool} ${region}`).sort().join('\n')}`
}

/**
 * Creates an assignment function that caches its last result.
 *
 * @example
 * ```ts
 * const assign = createCachedAssign()
 * assign(members, pools).get('listings')
 * ```
 */
export function createCachedAssign (): Assign {
  let previousKey: string | undefined
  let assigned: ReadonlyMap<string, protocol.Incarnation> = new Map()
  return (members, pools) => {
    const key = assignmentKey(members, pools)
    if (key !== previousKey) assigned = membership.rendezvous.assignAuthorities(members, pools)
    previousKey = key
    return assigned
  }
}
