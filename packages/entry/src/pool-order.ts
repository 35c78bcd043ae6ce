/**
 * Orders the pools of a service for a request.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'

/** Orders pools for a key, the preferred one first. Equal arguments must give equal orders. */
export type PoolOrder = (pools: readonly string[], key: string) => readonly string[]

/**
 * Orders pools by rendezvous hashing. Adding or removing a pool changes the preferred pool only of keys that
 * prefer the added or removed one.
 *
 * @example
 * ```ts
 * rendezvousOrder(['north', 'south'], 'casablanca 9f8e7d6c') // always the same order for this key
 * ```
 */
export function rendezvousOrder (pools: readonly string[], key: string): readonly string[] {
  const scored = pools.map((pool) => ({ pool, score: membership.hash.hash(`${pool} ${key}`) }))
  scored.sort((left, right) => right.score - left.score || (left.pool < right.pool ? -1 : 1))
  return scored.map((each) => each.pool)
}
