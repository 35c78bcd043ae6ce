/**
 * The state of one entry. It is owned by the task that drives the entry.
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

/** Options with their defaults applied. */
export interface Settings {
  readonly incarnation: protocol.Incarnation
  readonly random: protocol.Random
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  readonly requestLimit: number
  readonly identityLimit: number
  readonly receiptOnlyLimit: number
  readonly orderPools: poolOrder.PoolOrder
  readonly isEligiblePool: (pool: string) => boolean
}

/** The state of an entry. */
export class State {
  /** Waiting and running requests by the number of their first arrival. */
  readonly requests = new Map<number, request.Request>()
  /** The number of the request that serves a connected caller, by the number of the caller's arrival. */
  readonly requestByCaller = new Map<number, number>()
  /** The number of the request of each slot request that is outstanding or granted, by the id of the slot request. */
  readonly requestBySlotRequest = new Map<number, number>()
  readonly ledger: identityLedger.IdentityLedger
  readonly receiptOnlyOutcomes: receiptOnlyOutcomes.ReceiptOnlyOutcomes
  /** Daemons that collected the holdings of this entry, by pool. */
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

  /** Returns an id for a slot request that was not used before in this incarnation. */
  nextSlotRequestId (): number {
    this.#lastSlotRequestId += 1
    return this.#lastSlotRequestId
  }

  /** Finds the request whose latest slot request has this id. */
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
