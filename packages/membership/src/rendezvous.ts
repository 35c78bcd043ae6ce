/**
 * Assignment of pools to authorities, which each daemon computes from the list of members alone.
 *
 * Highest random weight (D. G. Thaler, C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
 * IEEE/ACM Transactions on Networking 6(1), 1998) with a bound on the pools of one member, as in V. Mirrokni,
 * M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as textHash from './hash.js'

/** A pool that needs an authority. */
export interface Pool {
  readonly pool: string
  readonly region: string
}

interface Pair {
  readonly pool: string
  readonly incarnation: protocol.Incarnation
  readonly weight: number
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

function comparePairs (a: Pair, b: Pair): number {
  return b.weight - a.weight || compareText(a.pool, b.pool) || compareText(a.incarnation, b.incarnation)
}

function listPairs (pools: readonly string[], members: readonly protocol.Incarnation[]): readonly Pair[] {
  const pairs = pools.flatMap((pool) => members.map((incarnation) => (
    { pool, incarnation, weight: textHash.hash(`${pool}\n${incarnation}`) }
  )))
  return pairs.sort(comparePairs)
}

// One pass over the pairs, highest weight first: each member is assigned at most one more pool.
function assignRound (pairs: readonly Pair[]): ReadonlyMap<string, protocol.Incarnation> {
  const assigned = new Map<string, protocol.Incarnation>()
  const assignedMembers = new Set<protocol.Incarnation>()
  for (const { pool, incarnation } of pairs) {
    if (assigned.has(pool) || assignedMembers.has(incarnation)) continue
    assigned.set(pool, incarnation)
    assignedMembers.add(incarnation)
  }
  return assigned
}

// Repeats rounds until all pools are assigned, so the numbers of pools of two members differ by at most one.
function assignRegion (pools: readonly string[], members: readonly protocol.Incarnation[]): ReadonlyMap<string, protocol.Incarnation> {
  const assigned = new Map<string, protocol.Incarnation>()
  let pairs = listPairs(pools, members)
  while (pairs.length > 0) {
    for (const [pool, incarnation] of assignRound(pairs)) assigned.set(pool, incarnation)
    pairs = pairs.filter((pair) => !assigned.has(pair.pool))
  }
  return assigned
}

/**
 * Returns the authority of each pool: a live member of the pool's region that is not leaving. Omits the pools
 * of a region without such a member.
 *
 * @example
 * ```ts
 * assignAuthorities(core.members(), [{ pool: 'listings', region: 'south' }]).get('listings')
 * ```
 */
export function assignAuthorities (members: readonly protocol.MemberUpdate[], pools: readonly Pool[]): ReadonlyMap<string, protocol.Incarnation> {
  const regions = new Set(pools.map((pool) => pool.region))
  const assigned = new Map<string, protocol.Incarnation>()
  for (const region of regions) {
    const names = new Set(pools.filter((pool) => pool.region === region).map((pool) => pool.pool))
    const eligible = members.filter((member) => member.region === region && member.state === 'alive')
    const regional = assignRegion([...names], eligible.map((member) => member.incarnation))
    for (const [pool, incarnation] of regional) assigned.set(pool, incarnation)
  }
  return assigned
}
