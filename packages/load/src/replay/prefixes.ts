/**
 * Prefix hashes of a replayed request.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as standins from '@persimmonhatch/standins'
import type * as trace from '../trace/trace.js'

/**
 * Hashes of ever longer prefixes: those within the shared beginning are the same for every request of
 * the organisation and kind, longer ones are the request's own.
 *
 * @example
 * ```ts
 * listPrefixes(kind, arrival, 17) // ['question/2/0', '17/1']
 * ```
 */
export function listPrefixes (kind: trace.Kind, arrival: trace.Arrival, request: number): readonly string[] {
  const hashes: string[] = []
  for (let index = 0; index < protocol.MAX_PREFIXES; index++) {
    const tokens = protocol.PREFIX_TOKENS * 2 ** index
    if (tokens > arrival.prompt) break
    hashes.push(tokens <= kind.sharedTokens ? `${kind.name}/${arrival.by}/${index}` : `${request}/${index}`)
  }
  return hashes
}

/** Tokens that a prefix of a list covers. */
export function prefixTokens (index: number): number {
  return protocol.PREFIX_TOKENS * 2 ** index
}

/**
 * Prefixes with the tokens that they cover, as an engine's cache takes them.
 *
 * @example
 * ```ts
 * cache.lookUp(withTokens(listPrefixes(kind, arrival, 17)))
 * ```
 */
export function withTokens (hashes: readonly string[]): readonly standins.prefixCache.Prefix[] {
  return hashes.map((hash, index) => ({ hash, tokens: prefixTokens(index) }))
}
