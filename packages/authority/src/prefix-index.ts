/**
 * An approximate, bounded index of the prompt prefixes in each target's cache, built from the authority's own
 * placements and from the targets' cache events, which are late and incomplete.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** The prefixes that targets are expected to have cached. */
export interface PrefixIndex {
  /** Returns the expected number of cached prompt tokens for each target that has any. */
  readonly findCached: (prefixes: readonly string[], promptTokens: number) => ReadonlyMap<string, number>
  /** Records that a request with these prefixes was placed on the target. */
  readonly recordPlacement: (target: string, prefixes: readonly string[]) => void
  /** Records that `cachedTokens` of the `expectedTokens` of a finished request were cached. */
  readonly recordHits: (target: string, expectedTokens: number, cachedTokens: number) => void
  readonly applyReport: (report: event.CacheReport) => void
  /** Removes all prefixes of a target that lost its cache. */
  readonly clear: (target: string) => void
}

/** Prefixes kept for each target; the least recently placed or reported are dropped first. */
const MAX_PREFIXES_PER_TARGET = 2_048
/** Factor by which a gap in a target's cache events lowers its hit ratio. */
const GAP_HIT_RATIO_FACTOR = 0.5
const HIT_RATIO_GAIN = 0.1
const MIN_HIT_RATIO = 0.05

class TargetCache {
  readonly prefixes = new Set<string>()
  hitRatio = 1
  sequence = -1
}

/**
 * Creates an empty index.
 *
 * @example
 * ```ts
 * const index = createPrefixIndex()
 * index.recordPlacement('engine-1', ['a', 'b'])
 * index.findCached(['a', 'b', 'c'], 400) // Map { 'engine-1' => 256 }
 * ```
 */
export function createPrefixIndex (): PrefixIndex {
  const caches = new Map<string, TargetCache>()
  const targetsOf = new Map<string, Set<string>>()

  function cacheOf (target: string): TargetCache {
    const existing = caches.get(target)
    if (existing !== undefined) return existing
    const cache = new TargetCache()
    caches.set(target, cache)
    return cache
  }

  function drop (target: string, cache: TargetCache, prefix: string): void {
    cache.prefixes.delete(prefix)
    const targets = targetsOf.get(prefix)
    targets?.delete(target)
    if (targets?.size === 0) targetsOf.delete(prefix)
  }

  function store (target: string, prefix: string): void {
    const cache = cacheOf(target)
    cache.prefixes.delete(prefix)
    cache.prefixes.add(prefix)
    const targets = targetsOf.get(prefix) ?? new Set<string>()
    targetsOf.set(prefix, targets.add(target))
    if (cache.prefixes.size <= MAX_PREFIXES_PER_TARGET) return
    const [oldest] = cache.prefixes
    if (oldest !== undefined) drop(target, cache, oldest)
  }

  return {
    findCached (prefixes, promptTokens) {
      const cached = new Map<string, number>()
      for (let index = prefixes.length - 1; index >= 0; index--) {
        const covered = Math.min(promptTokens, protocol.PREFIX_TOKENS * 2 ** index)
        for (const target of targetsOf.get(prefixes[index] ?? '') ?? []) {
          if (!cached.has(target)) cached.set(target, covered * cacheOf(target).hitRatio)
        }
      }
      return cached
    },
    recordPlacement (target, prefixes) {
      for (const prefix of prefixes) store(target, prefix)
    },
    recordHits (target, expectedTokens, cachedTokens) {
      if (expectedTokens <= 0) return
      const cache = cacheOf(target)
      const hitShare = Math.min(1, cachedTokens / expectedTokens)
      cache.hitRatio = Math.max(MIN_HIT_RATIO, cache.hitRatio + HIT_RATIO_GAIN * (hitShare - cache.hitRatio))
    },
    applyReport (report) {
      const cache = cacheOf(report.target)
      if (report.sequence <= cache.sequence) return
      if (cache.sequence >= 0 && report.sequence > cache.sequence + 1) {
        cache.hitRatio = Math.max(MIN_HIT_RATIO, cache.hitRatio * GAP_HIT_RATIO_FACTOR)
      }
      cache.sequence = report.sequence
      for (const prefix of report.evicted) drop(report.target, cache, prefix)
      for (const prefix of report.stored) store(report.target, prefix)
    },
    clear (target) {
      const cache = caches.get(target)
      if (cache === undefined) return
      for (const prefix of [...cache.prefixes]) drop(target, cache, prefix)
      caches.delete(target)
    }
  }
}
