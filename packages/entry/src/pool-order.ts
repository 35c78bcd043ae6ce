/**
 * In which order a request tries the pools of its service.
 *
 * @module
 */

/** Orders pools for a key, the preferred one first. Equal arguments must give equal orders. */
export type PoolOrder = (pools: readonly string[], key: string) => readonly string[]

const FNV_OFFSET = 0x811c9dc5

const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a with a final mix, so that keys with a common beginning spread evenly. */
function hash (text: string): number {
  let value = FNV_OFFSET
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME)
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}

/**
 * Rendezvous hashing: each key has an order of its own, and a pool that comes or goes moves only the
 * keys that prefer it.
 *
 * @example
 * ```ts
 * rendezvousOrder(['north', 'south'], 'casablanca 9f8e7d6c') // always the same order for this key
 * ```
 */
export function rendezvousOrder (pools: readonly string[], key: string): readonly string[] {
  const scored = pools.map((pool) => ({ pool, score: hash(`${pool} ${key}`) }))
  scored.sort((left, right) => right.score - left.score || (left.pool < right.pool ? -1 : 1))
  return scored.map((each) => each.pool)
}
