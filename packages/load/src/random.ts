/**
 * Seeded random numbers.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as uniformFloat32 from 'pure-rand/distribution/uniformFloat32'
import * as xoroshiro128plus from 'pure-rand/generator/xoroshiro128plus'

/**
 * Creates a seeded generator of random numbers in [0, 1).
 *
 * @example
 * ```ts
 * const random = seededRandom(42)
 * ```
 */
export function seededRandom (seed: number): protocol.Random {
  const generator = xoroshiro128plus.xoroshiro128plus(seed)
  return () => uniformFloat32.uniformFloat32(generator)
}
