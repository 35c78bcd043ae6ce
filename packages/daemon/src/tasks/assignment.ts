/**
 * Who is authority of which pool, worked out again only when the electable members or the pools changed.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'

/** Assigns pools to members. */
export type Assign = (members: readonly protocol.MemberUpdate[], pools: readonly membership.rendezvous.Pool[]) => ReadonlyMap<string, protocol.Incarnation>

/** All that an assignment depends on. */
function keyOf (members: readonly protocol.MemberUpdate[], pools: readonly membership.rendezvous.Pool[]): string {
  const voters = members.map(({ incarnation, region, state }) => `${incarnation} ${region} ${state}`).sort()
  return `${voters.join('\n')}\n\n${pools.map(({ pool, region }) => `${pool} ${region}`).sort().join('\n')}`
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
  let known: string | undefined
  let assigned: ReadonlyMap<string, protocol.Incarnation> = new Map()
  return (members, pools) => {
    const key = keyOf(members, pools)
    if (key !== known) assigned = membership.rendezvous.assignAuthorities(members, pools)
    known = key
    return assigned
  }
}
