/**
 * Decides whether a request fits into the memory of an engine, with everything that all daemons have there.
 *
 * An engine whose memory is exceeded preempts running streams or crashes, so the expected output counts from the beginning.
 * Reports of peers are a little old, so the free memory is divided: a quarter in equal parts, of which each daemon uses its
 * own at any time, and three quarters for the request that is first in the order of all daemons of the cell.
 *
 * @module
 */

/** The memory of one engine, as far as the cell of this daemon may use it. */
export interface EngineMemory {
  /** Tokens that the requests of the cell may hold. */
  readonly boundTokens: number
  /** Tokens that the cell's requests hold, without those of `unreportedTokens`. */
  readonly usedTokens: number
  /** Tokens of this daemon's requests that peers may not know of. */
  readonly unreportedTokens: number
  /** Daemons of the cell. */
  readonly members: number
}

/** Share of the free memory that all daemons of a cell together use without an order. */
const UNORDERED_SHARE = 0.25

/** Time after which peers know of a request that was sent, ms: reports follow changes within 70 ms, and one may be lost. */
export const REPORTED_MS = 200

/**
 * Returns whether a request of this size fits now; `isFirst` if the daemons of the cell place it before all others.
 *
 * @example
 * ```ts
 * fits(7_000, { boundTokens: 451_351, usedTokens: 440_000, unreportedTokens: 0, members: 1 }, true) // true
 * ```
 */
export function fits (tokens: number, { boundTokens, usedTokens, unreportedTokens, members }: EngineMemory, isFirst: boolean): boolean {
  const freeTokens = boundTokens - usedTokens
  return tokens + unreportedTokens <= freeTokens * (members === 1 ? 1 : isFirst ? 1 - UNORDERED_SHARE : UNORDERED_SHARE / members)
}

/** Returns whether a request of this size fits into an engine that is empty. */
export function fitsEmpty (tokens: number, { boundTokens, members }: Pick<EngineMemory, 'boundTokens' | 'members'>): boolean {
  return fits(tokens, { boundTokens, usedTokens: 0, unreportedTokens: 0, members }, true)
}
