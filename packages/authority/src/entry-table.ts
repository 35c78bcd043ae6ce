/**
 * The entries that send slot requests to this authority, their freshness rounds, and whether they have reported
 * their holdings.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

/** State of one entry. */
export interface Entry {
  readonly isLive: boolean
  readonly round: number
  readonly roundAtMs: number
  /** Whether the entry has replied to a collect message since this daemon became the authority. */
  readonly hasReplied: boolean
  /** Send times of collect messages without a reply, oldest first. */
  readonly pendingCollects: readonly number[]
  readonly lastCollectAtMs: number
}

/** Entries by incarnation. */
export interface EntryTable {
  readonly get: (entry: protocol.Incarnation) => Entry | undefined
  readonly live: () => readonly protocol.Incarnation[]
  /** Replaces the list of live entries; returns the entries that were added and those that vanished. */
  readonly update: (entries: readonly protocol.Incarnation[]) => { readonly added: readonly protocol.Incarnation[], readonly vanished: readonly protocol.Incarnation[] }
  /** Records the round of a message; returns false when it is older than the highest round received. */
  readonly observeRound: (entry: protocol.Incarnation, round: number, nowMs: number) => boolean
  readonly isFresh: (entry: protocol.Incarnation, nowMs: number) => boolean
  readonly recordCollect: (entry: protocol.Incarnation, nowMs: number) => void
  /**
   * Records a reply to a collect message; returns the send time of the oldest collect message without a reply. The
   * entry counts as having replied only when that one was sent at `sinceMs` or later.
   */
  readonly recordReply: (entry: protocol.Incarnation, sinceMs: number) => number | undefined
  readonly haveAllReplied: () => boolean
  /** Discards rounds and replies, which are stale after the process was suspended. */
  readonly reset: () => void
}

/** Collect messages without a reply that are kept for an entry. */
const MAX_PENDING_COLLECTS = 3
/** Age above which a round is stale and no grant is sent with it, milliseconds. */
const ROUND_VALIDITY_MS = protocol.GRANT_VALIDITY_MS / 2
/** Entries kept that are not in the list of live entries. */
const MAX_UNLISTED_ENTRIES = 1_000

const UNKNOWN_ENTRY: Entry = { isLive: false, round: -1, roundAtMs: -Infinity, hasReplied: false, pendingCollects: [], lastCollectAtMs: -Infinity }

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const entries = createEntryTable()
 * entries.update(['3k5x8q1m9d2ab'])
 * entries.observeRound('3k5x8q1m9d2ab', 7, nowMs)
 * entries.isFresh('3k5x8q1m9d2ab', nowMs) // true
 * ```
 */
export function createEntryTable (): EntryTable {
  const entries = new Map<protocol.Incarnation, Entry>()
  let listed: readonly protocol.Incarnation[] = []

  function updateEntry (name: protocol.Incarnation, changes: Partial<Entry>): void {
    entries.set(name, { ...entries.get(name) ?? UNKNOWN_ENTRY, ...changes })
  }

  return {
    get: (name) => entries.get(name),
    live: () => listed,
    update (next) {
      const current = new Set(next)
      const vanished = listed.filter((name) => !current.has(name))
      const added = [...current].filter((name) => entries.get(name)?.isLive !== true)
      for (const name of vanished) entries.delete(name)
      for (const name of added) updateEntry(name, { isLive: true, hasReplied: false })
      listed = [...current]
      return { added, vanished }
    },
    observeRound (name, round, nowMs) {
      const existing = entries.get(name)
      if (existing === undefined && entries.size >= listed.length + MAX_UNLISTED_ENTRIES) return false
      if (existing !== undefined && round < existing.round) return false
      if (existing?.round === round) return true
      updateEntry(name, { round, roundAtMs: nowMs })
      return true
    },
    isFresh (name, nowMs) {
      const existing = entries.get(name)
      return existing !== undefined && existing.isLive && nowMs - existing.roundAtMs <= ROUND_VALIDITY_MS
    },
    recordCollect (name, nowMs) {
      const { pendingCollects } = entries.get(name) ?? UNKNOWN_ENTRY
      updateEntry(name, { pendingCollects: pendingCollects.length < MAX_PENDING_COLLECTS ? [...pendingCollects, nowMs] : pendingCollects, lastCollectAtMs: nowMs })
    },
    recordReply (name, sinceMs) {
      const [sentAtMs, ...rest] = entries.get(name)?.pendingCollects ?? []
      if (sentAtMs === undefined) return undefined
      updateEntry(name, { pendingCollects: rest })
      if (sentAtMs >= sinceMs) updateEntry(name, { hasReplied: true })
      return sentAtMs
    },
    haveAllReplied: () => listed.every((name) => entries.get(name)?.hasReplied === true),
    reset () {
      for (const name of entries.keys()) updateEntry(name, { hasReplied: false, roundAtMs: -Infinity })
    }
  }
}
