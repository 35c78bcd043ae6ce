/**
 * Enforces the token caps of organisations over all daemons.
 *
 * One organisation may send many times its usual load to any set of daemons. Every daemon keeps a token
 * bucket for each organisation and deducts the tokens that it admits and those that its peers report. The
 * share of the rate that belongs to unresponsive peers is reserved for them, so that the sum over all daemons
 * stays within the cap even if all of them are isolated.
 *
 * @module
 */
import type * as document from '../document.js'

const MS_PER_S = 1_000

/** Share of the burst that a process starts with, because it has no record of earlier use. */
const INITIAL_LEVEL_SHARE = 0.5

/** Share of the daemons that must have been reachable once for a daemon to use all that is left of a cap. */
const MIN_REACHABLE_SHARE = 0.5

/** Tolerances of the caps. */
export interface Options {
  /** Tokens above the configured burst that operators tolerate because reports between daemons lag. */
  readonly toleratedTokens: number
}

/** The figures behind a refusal, for logs. */
export interface Figures {
  readonly organisation: string
  readonly tokens: number
  /** Tokens left in the bucket. */
  readonly levelTokens: number
  readonly capTokensPerS: number
  /** Share of the daemons that are reachable; the rest of the rate is reserved for the others. */
  readonly heardShare: number
}

/** Result of checking a request against its organisation's cap. */
export type Admission = { readonly kind: 'admitted' } | { readonly kind: 'over-cap', readonly retryAfterMs: number, readonly figures: Figures }

/** The caps of all organisations. */
export interface TokenCaps {
  /** Applies new tolerances and keeps the levels of the buckets. */
  readonly configure: (options: Options) => void
  /** Applies the caps of a document and keeps the levels of organisations that remain. */
  readonly adopt: (organisations: readonly document.Organisation[], nowMs: number) => void
  readonly admit: (organisation: string, tokens: number, nowMs: number) => Admission
  /** Refunds tokens that an admitted request did not use. */
  readonly refund: (organisation: string, tokens: number, nowMs: number) => void
  /** Deducts tokens that a peer reports as admitted; refunds them if the number is negative. */
  readonly applyReported: (organisation: string, tokens: number, nowMs: number) => void
  /** Sets how many of the daemons are reachable, this one included. */
  readonly setReach: (reach: Reach) => void
  /** Returns the tokens admitted here since the start minus refunds, by organisation. */
  readonly used: () => ReadonlyMap<string, number>
  /** Returns the levels of the buckets, by organisation. */
  readonly levels: (nowMs: number) => Readonly<Record<string, number>>
  /** Applies what the fleet had left before this process started. */
  readonly restore: (stored: StoredLevels, nowMs: number) => void
}

/** Number of daemons that are reachable, and of all that are known, this one included in both. */
export interface Reach {
  readonly live: number
  readonly members: number
}

/** What the fleet had left of its caps, as one daemon has stored it. */
export interface StoredLevels {
  /** Tokens, by organisation. */
  readonly levels: Readonly<Record<string, number>>
  /** Time since then in which the buckets have refilled, ms. */
  readonly ageMs: number
}

interface StoredLevel {
  readonly level: number
  readonly storedAtMs: number
}

interface Bucket {
  readonly cap: document.Cap
  readonly level: number
  /** Level at the start of the process. */
  readonly startLevel: number
  readonly refilledAtMs: number
}

/** Returns the bucket with the share of its rate that has been added since. */
function refill (bucket: Bucket, { capacity, share }: { readonly capacity: number, readonly share: number }, nowMs: number): Bucket {
  const { cap, level, refilledAtMs } = bucket
  const refilledTokens = Math.max(0, nowMs - refilledAtMs) * cap.tokensPerS * share / MS_PER_S
  return { ...bucket, level: Math.min(capacity, level + refilledTokens), refilledAtMs: nowMs }
}

/** Returns the lowest level among those stored, with what has been added since; undefined if none is stored. */
function levelOf (stored: readonly StoredLevel[], { tokensPerS }: document.Cap, nowMs: number): number | undefined {
  return stored.length === 0 ? undefined : Math.min(...stored.map(({ level, storedAtMs }) => level + Math.max(0, nowMs - storedAtMs) * tokensPerS / MS_PER_S))
}

/**
 * Creates token caps without organisations.
 *
 * @example
 * ```ts
 * const caps = createTokenCaps({ toleratedTokens: 50_000 })
 * caps.adopt(document.organisations, nowMs)
 * if (caps.admit('maarif', 6_800, nowMs).kind === 'admitted') dispatch()
 * ```
 */
export function createTokenCaps (initial: Options): TokenCaps {
  let options = initial
  const buckets = new Map<string, Bucket>()
  const usedTokens = new Map<string, number>()
  /** What the fleet had left before this process started, by organisation. */
  const stored = new Map<string, readonly StoredLevel[]>()
  let reachableShare = 1
  /** Whether most of the fleet has not been reachable since the start, so that nothing is known of what it uses. */
  let isStarting = true

  const capacityOf = (cap: document.Cap): number => cap.burst + options.toleratedTokens

  const refilled = (bucket: Bucket, nowMs: number): Bucket => refill(bucket, { capacity: capacityOf(bucket.cap), share: reachableShare }, nowMs)

  function startLevel (name: string, cap: document.Cap, nowMs: number): number {
    const level = levelOf(stored.get(name) ?? [], cap, nowMs) ?? cap.burst * INITIAL_LEVEL_SHARE + options.toleratedTokens / 2
    return Math.min(capacityOf(cap), level)
  }

  function adopt (organisations: readonly document.Organisation[], nowMs: number): void {
    const capped = new Map(organisations.flatMap((organisation) => organisation.cap === undefined ? [] : [[organisation.name, organisation.cap] as const]))
    for (const name of [...buckets.keys()]) if (!capped.has(name)) buckets.delete(name)
    for (const [name, cap] of capped) {
      const bucket = buckets.get(name)
      const level = bucket === undefined ? startLevel(name, cap, nowMs) : Math.min(refilled(bucket, nowMs).level, capacityOf(cap))
      buckets.set(name, { cap, level, startLevel: bucket?.startLevel ?? level, refilledAtMs: nowMs })
    }
  }

  /** Deducts tokens from a bucket, whose level may become negative. */
  function deduct (organisation: string, tokens: number, nowMs: number): void {
    const bucket = buckets.get(organisation)
    if (bucket === undefined) return
    const current = refilled(bucket, nowMs)
    buckets.set(organisation, { ...current, level: Math.min(capacityOf(current.cap), current.level - tokens) })
  }

  /** Deducts tokens and adds them to the totals that are reported to peers. */
  function consume (organisation: string, tokens: number, nowMs: number): void {
    deduct(organisation, tokens, nowMs)
    usedTokens.set(organisation, (usedTokens.get(organisation) ?? 0) + tokens)
  }

  /** Returns the tokens that may be used: after the start, the peers that are not reachable yet use their own shares of what there was. */
  function usableLevel (bucket: Bucket, nowMs: number): number {
    const reserved = isStarting ? Math.max(0, bucket.startLevel) * (1 - reachableShare) : 0
    return refilled(bucket, nowMs).level - reserved
  }

  function admit (organisation: string, tokens: number, nowMs: number): Admission {
    const bucket = buckets.get(organisation)
    const levelTokens = bucket === undefined ? Infinity : usableLevel(bucket, nowMs)
    if (bucket !== undefined && tokens > levelTokens) {
      const { tokensPerS } = bucket.cap
      return {
        kind: 'over-cap',
        retryAfterMs: (tokens - levelTokens) / Math.max(1, tokensPerS * reachableShare) * MS_PER_S,
        figures: { organisation, tokens, levelTokens: Math.round(levelTokens), capTokensPerS: tokensPerS, heardShare: reachableShare }
      }
    }
    consume(organisation, tokens, nowMs)
    return { kind: 'admitted' }
  }

  function setReach ({ live, members }: Reach): void {
    reachableShare = Math.min(1, Math.max(0, live / members))
    if (reachableShare > MIN_REACHABLE_SHARE) isStarting = false
  }

  function levels (nowMs: number): Readonly<Record<string, number>> {
    return Object.fromEntries([...buckets].map(([name, bucket]) => [name, Math.round(refilled(bucket, nowMs).level)]))
  }

  function restore ({ levels: storedLevels, ageMs }: StoredLevels, nowMs: number): void {
    for (const [name, level] of Object.entries(storedLevels)) {
      stored.set(name, [...stored.get(name) ?? [], { level, storedAtMs: nowMs - Math.max(0, ageMs) }])
      const bucket = buckets.get(name)
      if (bucket === undefined) continue
      const current = refilled(bucket, nowMs)
      const restoredLevel = startLevel(name, bucket.cap, nowMs)
      buckets.set(name, { ...current, level: current.level + restoredLevel - current.startLevel, startLevel: restoredLevel })
    }
  }

  return {
    configure: (next) => { options = next },
    adopt,
    admit,
    refund: (organisation, tokens, nowMs) => { consume(organisation, -tokens, nowMs) },
    applyReported: deduct,
    setReach,
    used: () => usedTokens,
    levels,
    restore
  }
}
