/**
 * Hash functions for prompts and requests.
 *
 * @module
 */
import * as xxhash from 'xxhash-wasm'
import type * as readArrival from '../http/read-arrival.js'

const PREFIX_DIGITS = 8
const FINGERPRINT_DIGITS = 16
const HEXADECIMAL = 16

/**
 * Loads the hash functions.
 *
 * @example
 * ```ts
 * const hashes = await loadHashes()
 * hashes.prefix('Inspection report') // 8 hexadecimal digits
 * ```
 */
export async function loadHashes (): Promise<readArrival.Hashes> {
  const { h32, h64 } = await xxhash.default()
  return {
    prefix: (text) => h32(text).toString(HEXADECIMAL).padStart(PREFIX_DIGITS, '0'),
    fingerprint: (text) => h64(text).toString(HEXADECIMAL).padStart(FINGERPRINT_DIGITS, '0')
  }
}
