/**
 * Decides which peer a daemon asks for a state that is newer than its own.
 *
 * @module
 */

/** Minimum time between a query that was answered and the next one, ms. */
const MIN_QUERY_INTERVAL_MS = 600

/** Time without an answer after which another peer is asked as well, ms. */
const HEDGE_DELAY_MS = 150

/** Maximum number of peers that are asked at the same time. */
const MAX_OPEN_QUERIES = 4

/** Time for which a peer that did not answer is asked only after the others, ms. */
const UNANSWERED_RETENTION_MS = 5_000

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
  const open = new Set<string>()
  /** When queries ended without an answer, by peer. */
  const unansweredMs = new Map<string, number>()
  let lastQueryMs = -Infinity
  let wasAnswered = true

  function isDue (nowMs: number): boolean {
    if (open.size > 0) return open.size < MAX_OPEN_QUERIES && nowMs - lastQueryMs >= HEDGE_DELAY_MS
    return !wasAnswered || nowMs - lastQueryMs >= MIN_QUERY_INTERVAL_MS
  }

  function next (peersAhead: readonly string[], nowMs: number): string | undefined {
    if (!isDue(nowMs)) return undefined
    const others = peersAhead.filter((peer) => !open.has(peer))
    const peer = others.find((each) => nowMs - (unansweredMs.get(each) ?? -Infinity) >= UNANSWERED_RETENTION_MS) ?? others[0]
    if (peer === undefined) return undefined
    open.add(peer)
    lastQueryMs = nowMs
    return peer
  }

  function end (peer: string, isAnswered: boolean, nowMs: number): void {
    open.delete(peer)
    wasAnswered = isAnswered
    if (isAnswered) unansweredMs.delete(peer)
    else unansweredMs.set(peer, nowMs)
  }

  return { next, end }
}
