/**
 * The only queue in front of a pool: strict priority between tiers; within a tier fair queueing between the
 * organisations of each service, by cost in tokens; first in, first out within an organisation.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as fairTier from './fair-tier.js'
import type * as waitingRequest from './waiting-request.js'

/** Waiting requests by tier. A suspended request stays in the queue but is not granted. */
export interface WaitingQueue {
  readonly size: () => number
  readonly get: (key: string) => waitingRequest.WaitingRequest | undefined
  readonly add: (request: waitingRequest.WaitingRequest) => void
  readonly remove: (key: string) => waitingRequest.WaitingRequest | undefined
  /** Ranks of the tiers with requests that may be granted, most important first. */
  readonly ranks: () => readonly protocol.Rank[]
  /** The requests of one tier that are not suspended. */
  readonly tier: (rank: protocol.Rank) => fairTier.FairTier
  /** Removes a granted request and charges its cost to its organisation. */
  readonly dequeue: (request: waitingRequest.WaitingRequest) => void
  /** Suspends the requests of an entry, also later ones. */
  readonly suspendEntry: (entry: protocol.Incarnation) => void
  readonly resumeEntry: (entry: protocol.Incarnation) => void
  /** Suspends one request. */
  readonly suspend: (key: string) => void
  readonly resume: (key: string) => void
  readonly ofEntry: (entry: protocol.Incarnation) => readonly waitingRequest.WaitingRequest[]
  readonly all: () => Iterable<waitingRequest.WaitingRequest>
  /** The newest request of each subqueue, least important tier first. */
  readonly tails: () => Generator<waitingRequest.WaitingRequest, void>
}

/** Waiting requests grouped by their entry. */
class EntryIndex {
  private readonly groups = new Map<protocol.Incarnation, Map<string, waitingRequest.WaitingRequest>>()

  add (request: waitingRequest.WaitingRequest): void {
    const group = this.groups.get(request.entry) ?? new Map<string, waitingRequest.WaitingRequest>()
    this.groups.set(request.entry, group.set(request.key, request))
  }

  delete (request: waitingRequest.WaitingRequest): void {
    const group = this.groups.get(request.entry)
    group?.delete(request.key)
    if (group?.size === 0) this.groups.delete(request.entry)
  }

  list (entry: protocol.Incarnation): readonly waitingRequest.WaitingRequest[] {
    return [...this.groups.get(entry)?.values() ?? []]
  }
}

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const queue = createWaitingQueue()
 * queue.add(request)
 * queue.tier(0).next(() => true) // request
 * ```
 */
export function createWaitingQueue (): WaitingQueue {
  const requests = new Map<string, waitingRequest.WaitingRequest>()
  const byEntry = new EntryIndex()
  const tiers = new Map<protocol.Rank, fairTier.FairTier>()
  const suspendedEntries = new Set<protocol.Incarnation>()
  const suspended = new Set<string>()
  const active = new Set<string>()
  let sortedRanks: readonly protocol.Rank[] = []

  function isActive (request: waitingRequest.WaitingRequest): boolean {
    return active.has(request.key) && requests.get(request.key) === request
  }

  function tierOf (rank: protocol.Rank): fairTier.FairTier {
    const existing = tiers.get(rank)
    if (existing !== undefined) return existing
    const tier = fairTier.createFairTier(isActive)
    tiers.set(rank, tier)
    sortedRanks = [...tiers.keys()].sort((a, b) => a - b)
    return tier
  }

  function activate (request: waitingRequest.WaitingRequest): void {
    if (active.has(request.key) || suspendedEntries.has(request.entry) || suspended.has(request.key)) return
    active.add(request.key)
    tierOf(request.message.tier).add(request)
  }

  function deactivate (request: waitingRequest.WaitingRequest): void {
    if (active.delete(request.key)) tierOf(request.message.tier).remove(request)
  }

  function remove (key: string): waitingRequest.WaitingRequest | undefined {
    const request = requests.get(key)
    if (request === undefined) return undefined
    deactivate(request)
    requests.delete(key)
    suspended.delete(key)
    byEntry.delete(request)
    return request
  }

  return {
    size: () => requests.size,
    get: (key) => requests.get(key),
    add (request) {
      remove(request.key)
      requests.set(request.key, request)
      byEntry.add(request)
      activate(request)
    },
    remove,
    ranks: () => sortedRanks.filter((rank) => tierOf(rank).requests() > 0),
    tier: tierOf,
    dequeue (request) {
      tierOf(request.message.tier).charge(request)
      remove(request.key)
    },
    suspendEntry (entry) {
      suspendedEntries.add(entry)
      for (const request of byEntry.list(entry)) deactivate(request)
    },
    resumeEntry (entry) {
      if (!suspendedEntries.delete(entry)) return
      for (const request of byEntry.list(entry)) activate(request)
    },
    suspend (key) {
      const request = requests.get(key)
      if (request === undefined) return
      suspended.add(key)
      deactivate(request)
    },
    resume (key) {
      const request = requests.get(key)
      if (suspended.delete(key) && request !== undefined) activate(request)
    },
    ofEntry: (entry) => byEntry.list(entry),
    all: () => requests.values(),
    * tails () {
      for (const rank of [...sortedRanks].reverse()) yield * tierOf(rank).tails()
    }
  }
}
