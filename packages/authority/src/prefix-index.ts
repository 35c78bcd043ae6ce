/**
 * An approximate, bounded index of the prompt prefixes that each target holds in its cache, from
 * the authority's own placements and the targets' late and incomplete cache events.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Which prefixes targets are believed to hold. */
export interface PrefixIndex {
  /** Prompt tokens that each target is expected to hold, for the targets that hold any. */
  readonly lookUp: (prefixes: readonly string[], promptTokens: number) => ReadonlyMap<string, number>
  /** A request with these prefixes was placed on the target. */
  readonly place: (target: string, prefixes: readonly string[]) => void
  /** A request finished with `cachedTokens` of `expectedTokens` found in the cache. */
  readonly learn: (target: string, expectedTokens: number, cachedTokens: number) => void
  readonly report: (report: event.CacheReport) => void
  /** The target lost its cache. */
  readonly forget: (target: string) => void
}

/** Prefixes kept for each target; the least recently placed are dropped first. */
const MAX_PREFIXES_PER_TARGET = 2_048
/** Factor by which a gap in the cache events lowers the trust in a target's entries. */
const GAP_TRUST_FACTOR = 0.5
const TRUST_GAIN = 0.1
const MIN_TRUST = 0.05

class Holder {
  readonly prefixes = new Set<string>()
  trust = 1
  sequence = -1
}

/**
 * Creates an empty index.
 *
 * @example
 * ```ts
 * const index = createPrefixIndex()
 * index.place('replica-1', ['a', 'b'])
 * index.lookUp(['a', 'b', 'c'], 400) // Map { 'replica-1' => 256 }
 * ```
 */
export function createPrefixIndex (): PrefixIndex {
  const holders = new Map<string, Holder>()
  const targetsOf = new Map<string, Set<string>>()

  function holderOf (target: string): Holder {
    const known = holders.get(target)
    if (known !== undefined) return known
    const holder = new Holder()
    holders.set(target, holder)
    return holder
  }

  function drop (target: string, holder: Holder, prefix: string): void {
    holder.prefixes.delete(prefix)
    const targets = targetsOf.get(prefix)
    targets?.delete(target)
    if (targets?.size === 0) targetsOf.delete(prefix)
  }

  function store (target: string, prefix: string): void {
    const holder = holderOf(target)
    holder.prefixes.delete(prefix)
    holder.prefixes.add(prefix)
    const targets = targetsOf.get(prefix) ?? new Set<string>()
    targetsOf.set(prefix, targets.add(target))
    if (holder.prefixes.size <= MAX_PREFIXES_PER_TARGET) return
    const [oldest] = holder.prefixes
    if (oldest !== undefined) drop(target, holder, oldest)
  }

  return {
    lookUp (prefixes, promptTokens) {
      const cached = new Map<string, number>()
      for (let index = prefixes.length - 1; index >= 0; index--) {
        const covered = Math.min(promptTokens, protocol.PREFIX_TOKENS * 2 ** index)
        for (const target of targetsOf.get(prefixes[index] ?? '') ?? []) {
          if (!cached.has(target)) cached.set(target, covered * holderOf(target).trust)
        }
      }
      return cached
    },
    place (target, prefixes) {
      for (const prefix of prefixes) store(target, prefix)
    },
    learn (target, expectedTokens, cachedTokens) {
      if (expectedTokens <= 0) return
      const holder = holderOf(target)
      const share = Math.min(1, cachedTokens / expectedTokens)
      holder.trust = Math.max(MIN_TRUST, holder.trust + TRUST_GAIN * (share - holder.trust))
    },
    report (report) {
      const holder = holderOf(report.target)
      if (report.sequence <= holder.sequence) return
      if (holder.sequence >= 0 && report.sequence > holder.sequence + 1) {
        holder.trust = Math.max(MIN_TRUST, holder.trust * GAP_TRUST_FACTOR)
      }
      holder.sequence = report.sequence
      for (const prefix of report.evicted) drop(report.target, holder, prefix)
      for (const prefix of report.stored) store(report.target, prefix)
    },
    forget (target) {
      const holder = holders.get(target)
      if (holder === undefined) return
      for (const prefix of [...holder.prefixes]) drop(target, holder, prefix)
      holders.delete(target)
    }
  }
}
