/**
 * What is known of the other daemons.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as newsOrder from './news-order.js'
import * as settings from './settings.js'

/** One other daemon. */
export interface Entry {
  readonly news: protocol.MemberUpdate
  /** When the held beat was learned. */
  readonly learnedMs: number
  /** When the member's state last changed here. */
  readonly changedMs: number
  /** Highest seen difference between the member's beat, in milliseconds, and the local clock. */
  readonly beatOffsetMs: number
}

/** What news did to the table. `state`: new member, other state or other address. `beat`: only beat or load. */
export type Change = 'none' | 'beat' | 'state'

/** Table of the other daemons, gone ones included for a bounded time. */
export interface MemberTable {
  readonly accept: (news: protocol.MemberUpdate, nowMs: number) => Change
  readonly find: (incarnation: protocol.Incarnation) => Entry | undefined
  /** Live and leaving members. */
  readonly live: () => readonly Entry[]
  readonly gone: () => readonly Entry[]
  /** Rises when a member is new, changes its state or changes its address. */
  readonly version: () => number
  /** The member's beat by its own clock, as far as it can be told from what was heard. */
  readonly estimateBeat: (incarnation: protocol.Incarnation, nowMs: number) => number
  /** Forgets members that have been gone for long. */
  readonly purge: (nowMs: number) => void
}

function offsetOf (news: protocol.MemberUpdate, held: Entry | undefined, nowMs: number): number {
  const offsetMs = news.beat * protocol.HEARTBEAT_INTERVAL_MS - nowMs
  if (held === undefined) return offsetMs
  return news.state === 'gone' ? held.beatOffsetMs : Math.max(offsetMs, held.beatOffsetMs)
}

function isSameState (news: protocol.MemberUpdate, held: protocol.MemberUpdate): boolean {
  return news.state === held.state && news.address === held.address && news.peerAddress === held.peerAddress
}

function isExpired (entry: Entry, index: number, nowMs: number): boolean {
  return index >= settings.MAX_GONE || entry.changedMs + settings.GONE_RETENTION_MS <= nowMs
}

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const table = createMemberTable()
 * table.accept(news, 0) // 'state'
 * ```
 */
export function createMemberTable (): MemberTable {
  const entries = new Map<protocol.Incarnation, Entry>()
  const livePositions = new Map<protocol.Incarnation, number>()
  let live: Entry[] | undefined
  let gone: readonly Entry[] | undefined
  let version = 0

  function put (entry: Entry, isSame: boolean): void {
    entries.set(entry.news.incarnation, entry)
    const position = livePositions.get(entry.news.incarnation)
    if (isSame && live !== undefined && position !== undefined) {
      live[position] = entry
      return
    }
    live = undefined
    gone = undefined
  }

  function accept (news: protocol.MemberUpdate, nowMs: number): Change {
    const held = entries.get(news.incarnation)
    if (held !== undefined && !newsOrder.isNewerMember(news, held.news)) return 'none'
    const same = held !== undefined && isSameState(news, held.news)
    const changedMs = same ? held.changedMs : nowMs
    if (!same) version += 1
    put({ news, learnedMs: nowMs, changedMs, beatOffsetMs: offsetOf(news, held, nowMs) }, same)
    return same ? 'beat' : 'state'
  }

  function estimateBeat (incarnation: protocol.Incarnation, nowMs: number): number {
    const entry = entries.get(incarnation)
    if (entry === undefined) return 0
    return Math.max(entry.news.beat, Math.floor((nowMs + entry.beatOffsetMs) / protocol.HEARTBEAT_INTERVAL_MS))
  }

  function listGone (): readonly Entry[] {
    gone ??= [...entries.values()].filter((entry) => entry.news.state === 'gone')
    return gone
  }

  function purge (nowMs: number): void {
    const newestFirst = [...listGone()].sort((a, b) => b.changedMs - a.changedMs)
    const expired = newestFirst.filter((entry, index) => isExpired(entry, index, nowMs))
    for (const entry of expired) entries.delete(entry.news.incarnation)
    if (expired.length > 0) gone = undefined
  }

  function listLive (): readonly Entry[] {
    if (live !== undefined) return live
    live = [...entries.values()].filter((entry) => entry.news.state !== 'gone')
    livePositions.clear()
    for (const [position, entry] of live.entries()) livePositions.set(entry.news.incarnation, position)
    return live
  }

  return { accept, find: (incarnation) => entries.get(incarnation), live: listLive, gone: listGone, version: () => version, estimateBeat, purge }
}
