/**
 * LRU cache of prompt prefixes.
 *
 * @module
 */

/** The hash of a prefix and the number of prompt tokens that it covers. */
export interface Prefix {
  readonly hash: string
  readonly tokens: number
}

/** The prefixes that one operation stored and evicted. */
export interface CacheChange {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** An LRU cache of prefixes. Each prefix of a prompt counts with all its tokens towards the capacity. */
export class PrefixCache {
  readonly #tokens = new Map<string, number>()
  #usedTokens = 0

  constructor (readonly capacityTokens: number) {}

  has (hash: string): boolean {
    return this.#tokens.has(hash)
  }

  tokensOf (hash: string): number {
    return this.#tokens.get(hash) ?? 0
  }

  /** Returns the tokens of the longest cached prefix and marks it as used. */
  findLongest (prefixes: readonly Prefix[]): number {
    const longest = prefixes.findLast((prefix) => this.has(prefix.hash))
    if (longest === undefined) return 0
    this.#markUsed(longest)
    return longest.tokens
  }

  store (prefixes: readonly Prefix[]): CacheChange {
    const stored = prefixes.filter((prefix) => !this.has(prefix.hash))
    for (const prefix of prefixes) this.#markUsed(prefix)
    return { stored: stored.map((prefix) => prefix.hash), evicted: this.#evict() }
  }

  clear (): void {
    this.#tokens.clear()
    this.#usedTokens = 0
  }

  #markUsed (prefix: Prefix): void {
    this.#usedTokens += prefix.tokens - this.tokensOf(prefix.hash)
    this.#tokens.delete(prefix.hash)
    this.#tokens.set(prefix.hash, prefix.tokens)
  }

  #evict (): readonly string[] {
    const evicted: string[] = []
    for (const [hash, tokens] of this.#tokens) {
      if (this.#usedTokens <= this.capacityTokens) break
      this.#tokens.delete(hash)
      this.#usedTokens -= tokens
      evicted.push(hash)
    }
    return evicted
  }
}
