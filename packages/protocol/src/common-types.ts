/**
 * Names of the things that messages speak about.
 *
 * @module
 */

/** Random identity of one run of a daemon process: 13 characters, base 36. */
export type Incarnation = string

/** IP number and port, such as `10.0.0.7:7400`. */
export type Address = string

/** Rank of a tier: 0 is the most important; a larger number is less important. Comparable across services. */
export type Rank = number

/** Injected clock: milliseconds on a monotonic scale, never the wall clock. */
export type Clock = () => number

/** Injected source of random numbers in [0, 1). */
export type Random = () => number
