/**
 * Seeded random numbers.
 *
 * @module
 */
import * as uniformFloat32 from 'pure-rand/distribution/uniformFloat32'
import * as xoroshiro128plus from 'pure-rand/generator/xoroshiro128plus'

/**
 * Creates a generator of numbers in [0, 1).
 *
 * @example
 * ```ts
 * const random = seededRandom(42)
 * random()
 * ```
 */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus.xoroshiro128plus(seed)
  return () => uniformFloat32.uniformFloat32(generator)
}
