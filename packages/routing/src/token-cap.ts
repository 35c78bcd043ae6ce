/**
 * Caps on the tokens of organisations, held by all daemons together.
 *
 * Load: one organisation sends many times its usual, at any set of daemons. Every daemon keeps a
 * bucket for each organisation and takes from it what it admits and what its peers report. The share
 * of the rate that belongs to peers which are silent is left to them, so the sum over all daemons
 * holds when each of them is alone.
 *
 * @module
 */
import type * as document from './document.js'

const MS_PER_S = 1_000

/** Share of the burst that a process starts with, because it does not know what was used before. */
const INITIAL_LEVEL_SHARE = 0.5

/** What a cap may let pass. */
export interface Options {
  /** Tokens above the stated burst that the operators tolerate for the lag between daemons. */
  readonly toleratedTokens: number
}

/** The figures behind a refusal, for logs. */
export interface Figures {
  readonly organisation: string
  readonly tokens: number
  /** Tokens that were left. */
  readonly levelTokens: number
  readonly capTokensPerS: number
  /** Share of the daemons that can be heard; the rest of the rate is left to the others. */
  readonly heardShare: number
}

/** Whether a request is within its organisation's cap. */
export type Admission = { readonly kind: 'admitted' } | { readonly kind: 'over-cap', readonly retryAfterMs: number, readonly figures: Figures }

/** The caps of all organisations. */
export interface TokenCaps {
  /** Takes over new tolerances; levels are kept. */
  readonly configure: (options: Options) => void
  /** Takes over the caps of a document; levels of organisations that stay are kept. */
  readonly adopt: (organisations: readonly document.Organisation[], nowMs: number) => void
  readonly admit: (organisation: string, tokens: number, nowMs: number) => Admission
  /** Gives back what an admitted request did not use. */
  readonly refund: (organisation: string, tokens: number, nowMs: number) => void
  /** Takes what a peer says that it has admitted; gives back when it is below zero. */
  readonly applyReported: (organisation: string, tokens: number, nowMs: number) => void
  /** Sets the share of all daemons, this one included, that can be heard. */
  readonly setReachableShare: (share: number) => void
  /** Tokens admitted here since the start less those given back, by organisation. */
  readonly used: () => ReadonlyMap<string, number>
}

interface Bucket {
  readonly cap: document.Cap
  readonly level: number
  readonly refilledAtMs: number
}

/**
 * Creates the caps.
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
  let reachableShare = 1

  function capacityOf (cap: document.Cap): number {
    return cap.burst + options.toleratedTokens
  }

  function refilled (bucket: Bucket, nowMs: number): Bucket {
    const refilledTokens = Math.max(0, nowMs - bucket.refilledAtMs) * bucket.cap.tokensPerS * reachableShare / MS_PER_S
    return { cap: bucket.cap, level: Math.min(capacityOf(bucket.cap), bucket.level + refilledTokens), refilledAtMs: nowMs }
  }

  function initialBucket (cap: document.Cap, nowMs: number): Bucket {
    return { cap, level: cap.burst * INITIAL_LEVEL_SHARE + options.toleratedTokens / 2, refilledAtMs: nowMs }
  }

  function adopt (organisations: readonly document.Organisation[], nowMs: number): void {
    const capped = new Map(organisations.flatMap((organisation) => organisation.cap === undefined ? [] : [[organisation.name, organisation.cap] as const]))
    for (const name of [...buckets.keys()]) if (!capped.has(name)) buckets.delete(name)
    for (const [name, cap] of capped) {
      const bucket = buckets.get(name)
      if (bucket === undefined) buckets.set(name, initialBucket(cap, nowMs))
      else buckets.set(name, { cap, level: Math.min(refilled(bucket, nowMs).level, capacityOf(cap)), refilledAtMs: nowMs })
    }
  }

  /** Takes tokens from a bucket, which may fall below zero. */
  function deduct (organisation: string, tokens: number, nowMs: number): void {
    const bucket = buckets.get(organisation)
    if (bucket === undefined) return
    const current = refilled(bucket, nowMs)
    buckets.set(organisation, { ...current, level: Math.min(capacityOf(current.cap), current.level - tokens) })
  }

  /** Takes tokens here and in the totals that peers are told. */
  function consume (organisation: string, tokens: number, nowMs: number): void {
    deduct(organisation, tokens, nowMs)
    usedTokens.set(organisation, (usedTokens.get(organisation) ?? 0) + tokens)
  }

  function admit (organisation: string, tokens: number, nowMs: number): Admission {
    const bucket = buckets.get(organisation)
    const levelTokens = bucket === undefined ? Infinity : refilled(bucket, nowMs).level
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

  return {
    configure: (next) => { options = next },
    adopt,
    admit,
    refund: (organisation, tokens, nowMs) => { consume(organisation, -tokens, nowMs) },
    applyReported: deduct,
    setReachableShare: (share) => { reachableShare = Math.min(1, Math.max(0, share)) },
    used: () => usedTokens
  }
}
