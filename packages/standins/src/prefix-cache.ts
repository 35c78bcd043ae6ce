/**
 * Bounded cache of prompt prefixes, least recently used first out.
 *
 * @module
 */

/** A prefix's hash and the prompt tokens that it covers. */
export interface Prefix {
  readonly hash: string
  readonly tokens: number
}

/** Change of the cache's content. */
export interface CacheChange {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** The cache. Its capacity counts the tokens of the longest prefix of each prompt and of each shorter one. */
export class PrefixCache {
  readonly #tokens = new Map<string, number>()
  #used = 0

  constructor (readonly capacityTokens: number) {}

  has (hash: string): boolean {
    return this.#tokens.has(hash)
  }

  tokensOf (hash: string): number {
    return this.#tokens.get(hash) ?? 0
  }

  /** Tokens of the longest cached prefix; marks it as used. */
  lookUp (prefixes: readonly Prefix[]): number {
    const longest = prefixes.findLast((prefix) => this.has(prefix.hash))
    if (longest === undefined) return 0
    this.#touch(longest)
    return longest.tokens
  }

  store (prefixes: readonly Prefix[]): CacheChange {
    const stored = prefixes.filter((prefix) => !this.has(prefix.hash))
    for (const prefix of prefixes) this.#touch(prefix)
    return { stored: stored.map((prefix) => prefix.hash), evicted: this.#evict() }
  }

  clear (): void {
    this.#tokens.clear()
    this.#used = 0
  }

  #touch (prefix: Prefix): void {
    this.#used += prefix.tokens - this.tokensOf(prefix.hash)
    this.#tokens.delete(prefix.hash)
    this.#tokens.set(prefix.hash, prefix.tokens)
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
