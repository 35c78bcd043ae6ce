/**
 * Decides which peer a daemon asks for a state that is newer than its own.
 *
 * @module
 */

/** Minimum time between two queries, ms. */
const MIN_QUERY_INTERVAL_MS = 600

/** The queries of one daemon. */
export interface PeerQueries {
  /** Returns the peer to ask now, of those that hold a newer state in order of preference; undefined if none is due. */
  readonly next: (peersAhead: readonly string[], nowMs: number) => string | undefined
  /** Records that a query has ended, with or without an answer. */
  readonly end: (peer: string, isAnswered: boolean, nowMs: number) => void
}

/**
 * Creates the queries of a daemon that has asked nobody.
 *
 * @example
 * ```ts
 * const peer = queries.next(['10.1.0.25:7600'], nowMs)
 * if (peer !== undefined) ask(peer).finally(() => queries.end(peer, isAnswered, nowMs))
 * ```
 */
export function createPeerQueries (): PeerQueries {
  let lastQueryMs = -Infinity
  let asked: string | undefined
  return {
    next: ([first], nowMs) => {
      if (first === undefined || asked !== undefined || nowMs - lastQueryMs < MIN_QUERY_INTERVAL_MS) return undefined
      asked = first
      lastQueryMs = nowMs
      return first
    },
    end: () => { asked = undefined }
  }
}
