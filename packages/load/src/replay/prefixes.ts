/**
 * Prefix hashes of replayed requests.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as standins from '@persimmonhatch/standins'
import type * as trace from '../trace/trace.js'

/**
 * Returns the hashes of prefixes of doubling length. Hashes within the shared prefix are the same for every
 * request of the organisation and kind; longer ones are unique to the request.
 *
 * @example
 * ```ts
 * listPrefixHashes(kind, arrival, 17) // ['question/2/0', '17/1']
 * ```
 */
export function listPrefixHashes (kind: trace.Kind, arrival: trace.Arrival, request: number): readonly string[] {
  const hashes: string[] = []
  for (let index = 0; index < protocol.MAX_PREFIXES; index++) {
    const tokens = protocol.PREFIX_TOKENS * 2 ** index
    if (tokens > arrival.prompt) break
    hashes.push(tokens <= kind.sharedTokens ? `${kind.name}/${arrival.by}/${index}` : `${request}/${index}`)
  }
  return hashes
}

/** Returns the number of tokens that the prefix at an index covers. */
export function prefixLengthTokens (index: number): number {
  return protocol.PREFIX_TOKENS * 2 ** index
}

/**
 * Converts prefix hashes to the form that an engine's cache expects, with the tokens that each prefix covers.
 *
 * @example
 * ```ts
 * cache.findLongest(toCachePrefixes(listPrefixHashes(kind, arrival, 17)))
 * ```
 */
export function toCachePrefixes (hashes: readonly string[]): readonly standins.prefixCache.Prefix[] {
  return hashes.map((hash, index) => ({ hash, tokens: prefixLengthTokens(index) }))
}
