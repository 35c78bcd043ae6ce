/**
 * Decides for how long a watch of the store may wait without a change.
 *
 * Only a time limit shows that a connection has gone silent, and each watch that ends is a call, so a short wait of every
 * daemon costs most of a large fleet's calls. There a few daemons of each cell keep the short wait. The others learn from
 * reports that their own watch is behind, and renew their connections then.
 *
 * @module
 */

/** What the wait depends on. */
export interface Situation {
  /** Whether the whole fleet is one cell; a small fleet has too few daemons to spare any. */
  readonly isSingleCell: boolean
  /** Peers of the own cell that have reported recently. */
  readonly reachablePeers: number
  /** Whether this daemon is one of those of its cell that keep the short wait. */
  readonly isReader: boolean
}

/** Maximum wait of a daemon on which others rely, ms: a change must be in force some 2 s after connections went silent. */
export const SHORT_WAIT_MS = 1_800

/** Maximum wait of a daemon that hears its cell, ms; the store's protocol allows 30 s. */
export const LONG_WAIT_MS = 25_000

/** Minimum number of peers that must be heard, so that a report with a later position arrives though some are silent. */
const MIN_REACHABLE_PEERS = 3

/**
 * Returns for how long a watch may wait, ms.
 *
 * @example
 * ```ts
 * watchWaitMs({ isSingleCell: false, reachablePeers: 8, isReader: false }) // 25000
 * ```
 */
export function watchWaitMs ({ isSingleCell, reachablePeers, isReader }: Situation): number {
  return isSingleCell || isReader || reachablePeers < MIN_REACHABLE_PEERS ? SHORT_WAIT_MS : LONG_WAIT_MS
}
