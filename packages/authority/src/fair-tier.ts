/**
 * Fair queueing within one tier between the organisations of each service, by cost in tokens.
 *
 * Implements start-time fair queueing: when a flow is granted a slot, its start tag grows by the cost of the request
 * divided by the flow's share; the flow with the lowest start tag is served first.
 * Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @module
 */
import * as subqueue from './subqueue.js'
import type * as waitingRequest from './waiting-request.js'

/** Number and total cost of waiting requests. */
export interface Backlog {
  readonly requests: number
  readonly tokens: number
}

const EMPTY_BACKLOG: Backlog = { requests: 0, tokens: 0 }

/** Waiting requests of one organisation for one service in one tier. */
class Flow {
  readonly subqueue = subqueue.createSubqueue()
  share = 1
  startTag = 0
  requests = 0
  tokens = 0
}

/** Waiting requests for one service in one tier. */
class ServiceGroup {
  readonly flows = new Map<string, Flow>()
  readonly backlogged = new Set<Flow>()
  /** Sum of the shares of the backlogged flows. */
  shares = 0
  requests = 0
  tokens = 0

  flow (organisation: string): Flow {
    const existing = this.flows.get(organisation)
    if (existing !== undefined) return existing
    const flow = new Flow()
    this.flows.set(organisation, flow)
    return flow
  }
}

/** Returns whether a request in a subqueue is still waiting and not suspended. */
export type IsActive = (request: waitingRequest.WaitingRequest) => boolean

/** One tier of the waiting queue. */
export interface FairTier {
  readonly requests: () => number
  readonly add: (request: waitingRequest.WaitingRequest) => void
  /** Subtracts a request from the backlog. Its subqueue discards it once it is at the head or tail. */
  readonly remove: (request: waitingRequest.WaitingRequest) => void
  /** Charges the cost of a granted request to its organisation. */
  readonly charge: (request: waitingRequest.WaitingRequest) => void
  /** Charges the difference between actual and expected cost; negative when the request was cheaper than expected. */
  readonly correct: (service: string, organisation: string, tokens: number) => void
  /** The request that is next among the services for which `isOpen` returns true. */
  readonly next: (isOpen: (service: string) => boolean) => waitingRequest.WaitingRequest | undefined
  /** The newest request of each subqueue. */
  readonly tails: () => Generator<waitingRequest.WaitingRequest, void>
  readonly backlog: (service: string) => Backlog
  readonly subqueueBacklog: (service: string, organisation: string) => Backlog
  /** An organisation's share among itself and the organisations waiting for the service, from 0 to 1. */
  readonly shareOf: (service: string, organisation: string) => number
}

function findNext (groups: ReadonlyMap<string, ServiceGroup>, isOpen: (service: string) => boolean): Flow | undefined {
  let best: Flow | undefined
  for (const [service, group] of groups) {
    if (group.requests === 0 || !isOpen(service)) continue
    for (const flow of group.backlogged) {
      if (best === undefined || flow.startTag < best.startTag) best = flow
    }
  }
  return best
}

function adjustBacklog (group: ServiceGroup, flow: Flow, requests: number, tokens: number): void {
  for (const backlog of [group, flow]) {
    backlog.requests += requests
    backlog.tokens += tokens
  }
}

/**
 * Creates an empty tier.
 *
 * @example
 * ```ts
 * const tier = createFairTier(() => true)
 * tier.add(request)
 * tier.next(() => true) // request
 * ```
 */
export function createFairTier (isActive: IsActive): FairTier {
  const groups = new Map<string, ServiceGroup>()
  let virtualTime = 0
  let lastFinishTag = 0
  let requests = 0

  function groupOf (service: string): ServiceGroup {
    const existing = groups.get(service)
    if (existing !== undefined) return existing
    const group = new ServiceGroup()
    groups.set(service, group)
    return group
  }

  function findFlow (service: string, organisation: string): Flow | undefined {
    return groups.get(service)?.flows.get(organisation)
  }

  return {
    requests: () => requests,
    add (request) {
      const group = groupOf(request.message.service)
      const flow = group.flow(request.message.organisation)
      if (flow.requests === 0) flow.startTag = Math.max(flow.startTag, virtualTime)
      if (!group.backlogged.has(flow)) {
        flow.share = request.share
        group.shares += request.share
        group.backlogged.add(flow)
      }
      adjustBacklog(group, flow, 1, request.costTokens)
      requests += 1
      flow.subqueue.add(request)
    },
    remove (request) {
      const group = groupOf(request.message.service)
      const flow = group.flow(request.message.organisation)
      adjustBacklog(group, flow, -1, -request.costTokens)
      requests -= 1
      if (requests === 0) virtualTime = lastFinishTag
      if (flow.requests > 0) return
      group.backlogged.delete(flow)
      group.shares = group.backlogged.size === 0 ? 0 : group.shares - flow.share
      if (flow.startTag <= virtualTime) group.flows.delete(request.message.organisation)
    },
    charge (request) {
      const flow = groupOf(request.message.service).flow(request.message.organisation)
      virtualTime = Math.max(virtualTime, flow.startTag)
      flow.startTag += request.costTokens / request.share
      lastFinishTag = Math.max(lastFinishTag, flow.startTag)
    },
    correct (service, organisation, tokens) {
      const flow = findFlow(service, organisation)
      if (flow !== undefined) flow.startTag += tokens / flow.share
    },
    next: (isOpen) => requests === 0 ? undefined : findNext(groups, isOpen)?.subqueue.head(isActive),
    * tails () {
      for (const group of groups.values()) {
        for (const flow of [...group.backlogged]) {
          const request = flow.subqueue.tail(isActive)
          if (request !== undefined) yield request
        }
      }
    },
    backlog: (service) => groups.get(service) ?? EMPTY_BACKLOG,
    subqueueBacklog: (service, organisation) => findFlow(service, organisation) ?? EMPTY_BACKLOG,
    shareOf (service, organisation) {
      const flow = findFlow(service, organisation)
      const share = flow?.share ?? 1
      const backloggedShares = groups.get(service)?.shares ?? 0
      return share / (flow === undefined || flow.requests === 0 ? backloggedShares + share : backloggedShares)
    }
  }
}
