/**
 * Fair shares within one tier, between the organisations of each service, by cost in tokens.
 *
 * Shares follow start-time fair queueing: a flow's next start tag is its last start tag plus the cost
 * of the ask it was granted divided by its share, and the lowest start tag is served first.
 * Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @module
 */
import * as lane from './lane.js'
import type * as waitingAsk from './waiting-ask.js'

/** Number and tokens of some waiting asks. */
export interface Backlog {
  readonly asks: number
  readonly tokens: number
}

const EMPTY: Backlog = { asks: 0, tokens: 0 }

/** Asks of one organisation for one service in one tier. */
class Flow {
  readonly lane = lane.createLane()
  share = 1
  startTag = 0
  asks = 0
  tokens = 0
}

/** Asks for one service in one tier. */
class Group {
  readonly flows = new Map<string, Flow>()
  readonly backlogged = new Set<Flow>()
  /** Sum of the shares of the flows that wait. */
  shares = 0
  asks = 0
  tokens = 0

  flow (organisation: string): Flow {
    const known = this.flows.get(organisation)
    if (known !== undefined) return known
    const flow = new Flow()
    this.flows.set(organisation, flow)
    return flow
  }
}

/** Decides whether an ask in a lane still waits. */
export type IsLive = (ask: waitingAsk.WaitingAsk) => boolean

/** One tier of a queue. */
export interface FairTier {
  readonly asks: () => number
  readonly add: (ask: waitingAsk.WaitingAsk) => void
  /** Counts an ask out; its lane drops it when it comes to the end of it. */
  readonly remove: (ask: waitingAsk.WaitingAsk) => void
  /** Charges an ask that is granted to its organisation. */
  readonly charge: (ask: waitingAsk.WaitingAsk) => void
  /** Charges a difference; negative when a request was cheaper than expected. */
  readonly correct: (service: string, organisation: string, tokens: number) => void
  /** The ask whose turn it is among the services for which `isOpen` holds. */
  readonly next: (isOpen: (service: string) => boolean) => waitingAsk.WaitingAsk | undefined
  /** The newest ask of each lane. */
  readonly tails: () => Generator<waitingAsk.WaitingAsk, void>
  readonly backlog: (service: string) => Backlog
  readonly laneBacklog: (service: string, organisation: string) => Backlog
  /** An organisation's share among those of the service that wait, itself included: 0 to 1. */
  readonly shareOf: (service: string, organisation: string) => number
}

function findNext (groups: ReadonlyMap<string, Group>, isOpen: (service: string) => boolean): Flow | undefined {
  let best: Flow | undefined
  for (const [service, group] of groups) {
    if (group.asks === 0 || !isOpen(service)) continue
    for (const flow of group.backlogged) {
      if (best === undefined || flow.startTag < best.startTag) best = flow
    }
  }
  return best
}

function change (group: Group, flow: Flow, asks: number, tokens: number): void {
  for (const part of [group, flow]) {
    part.asks += asks
    part.tokens += tokens
  }
}

/**
 * Creates an empty tier.
 *
 * @example
 * ```ts
 * const tier = createFairTier(() => true)
 * tier.add(ask)
 * tier.next(() => true) // ask
 * ```
 */
export function createFairTier (isLive: IsLive): FairTier {
  const groups = new Map<string, Group>()
  let virtualTime = 0
  let lastFinishTag = 0
  let asks = 0

  function groupOf (service: string): Group {
    const known = groups.get(service)
    if (known !== undefined) return known
    const group = new Group()
    groups.set(service, group)
    return group
  }

  function find (service: string, organisation: string): Flow | undefined {
    return groups.get(service)?.flows.get(organisation)
  }

  return {
    asks: () => asks,
    add (ask) {
      const group = groupOf(ask.message.service)
      const flow = group.flow(ask.message.organisation)
      if (flow.asks === 0) flow.startTag = Math.max(flow.startTag, virtualTime)
      if (!group.backlogged.has(flow)) {
        flow.share = ask.share
        group.shares += ask.share
        group.backlogged.add(flow)
      }
      change(group, flow, 1, ask.costTokens)
      asks += 1
      flow.lane.add(ask)
    },
    remove (ask) {
      const group = groupOf(ask.message.service)
      const flow = group.flow(ask.message.organisation)
      change(group, flow, -1, -ask.costTokens)
      asks -= 1
      if (asks === 0) virtualTime = lastFinishTag
      if (flow.asks > 0) return
      group.backlogged.delete(flow)
      group.shares = group.backlogged.size === 0 ? 0 : group.shares - flow.share
      if (flow.startTag <= virtualTime) group.flows.delete(ask.message.organisation)
    },
    charge (ask) {
      const flow = groupOf(ask.message.service).flow(ask.message.organisation)
      virtualTime = Math.max(virtualTime, flow.startTag)
      flow.startTag += ask.costTokens / ask.share
      lastFinishTag = Math.max(lastFinishTag, flow.startTag)
    },
    correct (service, organisation, tokens) {
      const flow = find(service, organisation)
      if (flow !== undefined) flow.startTag += tokens / flow.share
    },
    next: (isOpen) => asks === 0 ? undefined : findNext(groups, isOpen)?.lane.head(isLive),
    * tails () {
      for (const group of groups.values()) {
        for (const flow of [...group.backlogged]) {
          const ask = flow.lane.tail(isLive)
          if (ask !== undefined) yield ask
        }
      }
    },
    backlog: (service) => groups.get(service) ?? EMPTY,
    laneBacklog: (service, organisation) => find(service, organisation) ?? EMPTY,
    shareOf (service, organisation) {
      const own = find(service, organisation)
      const share = own?.share ?? 1
      const others = groups.get(service)?.shares ?? 0
      return share / (own === undefined || own.asks === 0 ? others + share : others)
    }
  }
}
