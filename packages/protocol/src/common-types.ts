/**
 * Types that several packages share: identifiers, and injected sources of time and randomness.
 *
 * @module
 */

/** Random identity of one run of a daemon process: 13 characters, base 36. */
export type Incarnation = string

/** IP number and port, such as `10.0.0.7:7400`. */
export type Address = string

/** Rank of a tier. 0 is the most important. Ranks are comparable across services. */
export type Rank = number

/** Injected monotonic clock, in milliseconds. Never the wall clock. */
export type Clock = () => number

/** Injected source of random numbers in [0, 1). */
export type Random = () => number

/**
 * A point in the history of a store. A store that was restored from a copy is in a later era, in which it assigns
 * revisions and lease identities again.
 */
export interface StorePosition {
  readonly era: number
  readonly revision: number
}
