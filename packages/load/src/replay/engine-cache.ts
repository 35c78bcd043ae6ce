/**
 * Bounded prefix cache of a modelled engine, least recently used first out.
 *
 * @module
 */
import * as prefixes from './prefixes.js'

/** Change of the cache's content. */
export interface Change {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** The cache. */
export class EngineCache {
  readonly #tokens = new Map<string, number>()
  #used = 0

  constructor (readonly capacityTokens: number) {}

  /** Tokens of the longest cached prefix; marks it as used. */
  lookUp (hashes: readonly string[]): number {
    const longest = hashes.findLastIndex((hash) => this.#tokens.has(hash))
    if (longest < 0) return 0
    this.#touch(hashes[longest] as string, prefixes.prefixTokens(longest))
    return prefixes.prefixTokens(longest)
  }

  store (hashes: readonly string[]): Change {
    const stored = hashes.filter((hash) => !this.#tokens.has(hash))
    hashes.forEach((hash, index) => this.#touch(hash, prefixes.prefixTokens(index)))
    return { stored, evicted: this.#evict() }
  }

  clear (): void {
    this.#tokens.clear()
    this.#used = 0
  }

  #touch (hash: string, tokens: number): void {
    this.#used += tokens - (this.#tokens.get(hash) ?? 0)
    this.#tokens.delete(hash)
    this.#tokens.set(hash, tokens)
  }

  #evict (): readonly string[] {
    const evicted: string[] = []
    for (const [hash, tokens] of this.#tokens) {
      if (this.#used <= this.capacityTokens) break
      this.#tokens.delete(hash)
      this.#used -= tokens
      evicted.push(hash)
    }
    return evicted
  }
}
