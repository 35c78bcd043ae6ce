/**
 * The state of one entry, owned by the task that drives it.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as identityLedger from './identity-ledger.js'
import type * as poolOrder from './pool-order.js'
import type * as request from './request.js'
import * as rounds from './rounds.js'
import * as suspects from './suspects.js'
import * as targetStates from './target-states.js'
import * as receiptOnlyOutcomes from './receipt-only-outcomes.js'

/** Settings that have been given their defaults. */
export interface Settings {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberNews | undefined
  readonly requestLimit: number
  readonly identityLimit: number
  readonly receiptOnlyLimit: number
  readonly orderPools: poolOrder.PoolOrder
  readonly isEligiblePool: (pool: string) => boolean
}

/** Everything that an entry knows. */
export class State {
  /** Requests that wait or run, by the number of their first arrival. */
  readonly requests = new Map<number, request.Request>()
  /** The request that answers a connected caller, by the number of the caller's arrival. */
  readonly requestByCaller = new Map<number, number>()
  /** The request of each ask that waits for a grant or holds a slot. */
  readonly requestBySlotRequest = new Map<number, number>()
  readonly ledger: identityLedger.IdentityLedger
  readonly receiptOnlyOutcomes: receiptOnlyOutcomes.ReceiptOnlyOutcomes
  /** Daemons that asked what this entry holds, by pool. */
  readonly collectors = new Map<string, ReadonlySet<protocol.Incarnation>>()
  readonly rounds = new rounds.Rounds()
  readonly suspects = new suspects.Suspects()
  readonly targets = new targetStates.TargetStates()
  services: ReadonlyMap<string, document.serviceDocument.ServiceDocument> = new Map()
  authorities: ReadonlyMap<string, protocol.Incarnation> = new Map()
  draining = false
  isDrainedReported = false
  #lastSlotRequestId = 0

  constructor (readonly settings: Settings) {
    this.ledger = new identityLedger.IdentityLedger(settings.identityLimit)
    this.receiptOnlyOutcomes = new receiptOnlyOutcomes.ReceiptOnlyOutcomes(settings.receiptOnlyLimit)
  }

  /** A number for an ask, never used before in this incarnation. */
  nextSlotRequestId (): number {
    this.#lastSlotRequestId += 1
    return this.#lastSlotRequestId
  }

  /** The request whose latest ask this is. */
  findBySlotRequest (slotRequestId: number): request.Request | undefined {
    const found = this.requests.get(this.requestBySlotRequest.get(slotRequestId) ?? NaN)
    return found?.slotRequest?.id === slotRequestId ? found : undefined
  }

  waiting (): readonly request.Waiting[] {
    return [...this.requests.values()].filter((each) => each.state === 'waiting')
  }

  running (): readonly request.Running[] {
    return [...this.requests.values()].filter((each) => each.state === 'running')
  }
}
