/**
 * Generates random numbers and the incarnation of this process.
 *
 * @module
 */
import * as crypto from 'node:crypto'
import type * as protocol from '@persimmonhatch/protocol'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

const INCARNATION_LENGTH = 13
const ALPHABET = '0123456789abcdefghijklmnopqrstuvwxyz'

/**
 * Generates a random incarnation.
 *
 * @example
 * ```ts
 * createIncarnation() // such as '7k2m0z8q4x1bd'
 * ```
 */
export function createIncarnation (): protocol.Incarnation {
  return Array.from({ length: INCARNATION_LENGTH }, () => ALPHABET.charAt(crypto.randomInt(ALPHABET.length))).join('')
}

/**
 * Creates a pseudorandom generator, seeded by the operating system.
 *
 * @example
 * ```ts
 * const random = createRandom()
 * random() // in [0, 1)
 * ```
 */
export function createRandom (): protocol.Random {
  const source = generator.xoroshiro128plus(crypto.randomInt(2 ** 31))
  return () => distribution.uniformFloat64(source)
}
