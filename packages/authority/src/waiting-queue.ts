/**
 * The only queue in front of a pool: strict order between tiers; within a tier fair shares between
 * the organisations of each service, by cost in tokens; first in, first out within an organisation.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as fairTier from './fair-tier.js'
import type * as waitingAsk from './waiting-ask.js'

/** Asks that wait, by tier. */
export interface WaitingQueue {
  readonly size: () => number
  readonly get: (key: string) => waitingAsk.WaitingAsk | undefined
  readonly add: (ask: waitingAsk.WaitingAsk) => void
  readonly remove: (key: string) => waitingAsk.WaitingAsk | undefined
  /** Ranks with asks that may be granted, most important first. */
  readonly ranks: () => readonly protocol.Rank[]
  /** What waits in one tier, without what is set aside. */
  readonly tier: (rank: protocol.Rank) => fairTier.FairTier
  /** Removes an ask that is granted and charges its organisation. */
  readonly take: (ask: waitingAsk.WaitingAsk) => void
  /** Sets the asks of an entry aside: they keep their place but are not granted. */
  readonly park: (entry: protocol.Incarnation) => void
  readonly unpark: (entry: protocol.Incarnation) => void
  /** Sets one ask aside. */
  readonly hold: (key: string) => void
  readonly unhold: (key: string) => void
  readonly entryAsks: (entry: protocol.Incarnation) => readonly waitingAsk.WaitingAsk[]
  readonly all: () => Iterable<waitingAsk.WaitingAsk>
  /** The newest ask of each lane, least important tier first. */
  readonly tails: () => Generator<waitingAsk.WaitingAsk, void>
}

/** Asks grouped by the entry that sent them. */
class EntryIndex {
  private readonly groups = new Map<protocol.Incarnation, Map<string, waitingAsk.WaitingAsk>>()

  add (ask: waitingAsk.WaitingAsk): void {
    const siblings = this.groups.get(ask.entry) ?? new Map<string, waitingAsk.WaitingAsk>()
    this.groups.set(ask.entry, siblings.set(ask.key, ask))
  }

  delete (ask: waitingAsk.WaitingAsk): void {
    const siblings = this.groups.get(ask.entry)
    siblings?.delete(ask.key)
    if (siblings?.size === 0) this.groups.delete(ask.entry)
  }

  list (entry: protocol.Incarnation): readonly waitingAsk.WaitingAsk[] {
    return [...this.groups.get(entry)?.values() ?? []]
  }
}

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const queue = createWaitingQueue()
 * queue.add(ask)
 * queue.tier(0).next(() => true) // ask
 * ```
 */
export function createWaitingQueue (): WaitingQueue {
  const asks = new Map<string, waitingAsk.WaitingAsk>()
  const byEntry = new EntryIndex()
  const tiers = new Map<protocol.Rank, fairTier.FairTier>()
  const parked = new Set<protocol.Incarnation>()
  const held = new Set<string>()
  const counted = new Set<string>()
  let sortedRanks: readonly protocol.Rank[] = []

  function isLive (ask: waitingAsk.WaitingAsk): boolean {
    return counted.has(ask.key) && asks.get(ask.key) === ask
  }

  function tierOf (rank: protocol.Rank): fairTier.FairTier {
    const known = tiers.get(rank)
    if (known !== undefined) return known
    const tier = fairTier.createFairTier(isLive)
    tiers.set(rank, tier)
    sortedRanks = [...tiers.keys()].sort((left, right) => left - right)
    return tier
  }

  function countIn (ask: waitingAsk.WaitingAsk): void {
    if (counted.has(ask.key) || parked.has(ask.entry) || held.has(ask.key)) return
    counted.add(ask.key)
    tierOf(ask.message.tier).add(ask)
  }

  function countOut (ask: waitingAsk.WaitingAsk): void {
    if (counted.delete(ask.key)) tierOf(ask.message.tier).remove(ask)
  }

  function remove (key: string): waitingAsk.WaitingAsk | undefined {
    const ask = asks.get(key)
    if (ask === undefined) return undefined
    countOut(ask)
    asks.delete(key)
    held.delete(key)
    byEntry.delete(ask)
    return ask
  }

  return {
    size: () => asks.size,
    get: (key) => asks.get(key),
    add (ask) {
      remove(ask.key)
      asks.set(ask.key, ask)
      byEntry.add(ask)
      countIn(ask)
    },
    remove,
    ranks: () => sortedRanks.filter((rank) => tierOf(rank).asks() > 0),
    tier: tierOf,
    take (ask) {
      tierOf(ask.message.tier).charge(ask)
      remove(ask.key)
    },
    park (entry) {
      parked.add(entry)
      for (const ask of byEntry.list(entry)) countOut(ask)
    },
    unpark (entry) {
      if (!parked.delete(entry)) return
      for (const ask of byEntry.list(entry)) countIn(ask)
    },
    hold (key) {
      const ask = asks.get(key)
      if (ask === undefined) return
      held.add(key)
      countOut(ask)
    },
    unhold (key) {
      const ask = asks.get(key)
      if (held.delete(key) && ask !== undefined) countIn(ask)
    },
    entryAsks: (entry) => byEntry.list(entry),
    all: () => asks.values(),
    * tails () {
      for (const rank of [...sortedRanks].reverse()) yield * tierOf(rank).tails()
    }
  }
}
