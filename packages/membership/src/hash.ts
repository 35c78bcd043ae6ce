/**
 * 32-bit hash of a short text.
 *
 * @module
 */

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

// FNV-1a, 32 bits: G. Fowler, L. C. Noll, K.-P. Vo, "The FNV Non-Cryptographic Hash Algorithm".
function fnv1a (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return hash >>> 0
}

// Finalizer fmix32 of MurmurHash3 (A. Appleby): each input bit affects every output bit.
function mix (value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Returns a hash from 0 to 2 ** 32 - 1, the same in every process.
 *
 * @example
 * ```ts
 * hash('listings') === hash('listings') // true
 * ```
 */
export function hash (text: string): number {
  return mix(fnv1a(text))
}
