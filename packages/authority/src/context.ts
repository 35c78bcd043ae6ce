/**
 * State that the handlers of one authority share.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as authority from './authority.js'
import * as responseLength from './response-length.js'
import * as deadlineHeap from './deadline-heap.js'
import * as entryTable from './entry-table.js'
import * as fleet from './fleet.js'
import * as floors from './floors.js'
import * as poolView from './pool-view.js'
import * as prefixIndex from './prefix-index.js'
import * as recovery from './recovery.js'
import * as reservations from './reservations.js'
import * as serviceRates from './service-rates.js'
import * as slotTable from './slot-table.js'
import * as suspects from './suspects.js'
import * as waitCalibration from './wait-calibration.js'
import * as waitingQueue from './waiting-queue.js'

/** The state of one authority. */
export interface Context {
  readonly options: authority.Options
  readonly queue: waitingQueue.WaitingQueue
  readonly slots: slotTable.SlotTable
  readonly entries: entryTable.EntryTable
  readonly targets: fleet.Fleet
  readonly prefixes: prefixIndex.PrefixIndex
  readonly suspects: suspects.Suspects
  readonly reservations: reservations.Reservations
  readonly floors: floors.Floors
  readonly recovery: recovery.Recovery
  readonly deadlines: deadlineHeap.DeadlineHeap
  readonly rates: serviceRates.ServiceRates
  /** Per service, the most important tier for which the last attempt found no free slot. */
  readonly blockedRanks: Map<string, protocol.Rank>
  readonly responseLengths: responseLength.ResponseLength
  readonly calibration: waitCalibration.WaitCalibration
  /** Reason of each refusal that waits until no lower tier runs any more, by key of the request. */
  readonly pendingRefusals: Map<string, protocol.Reason>
  /** Keys of waiting requests that must run alone because their content is suspect. */
  readonly isolated: Set<string>
  readonly nextSequence: () => number
  readonly view: () => poolView.PoolView
  readonly setView: (view: poolView.PoolView) => void
  /** The authority of each pool, by pool. */
  readonly authorities: () => ReadonlyMap<string, protocol.Incarnation>
  readonly setAuthorities: (authorities: ReadonlyMap<string, protocol.Incarnation>) => void
}

/**
 * Creates the initial state of an authority, without documents, entries or targets.
 *
 * @example
 * ```ts
 * const context = createContext({ pool: 'east', incarnation: '3k5x8q1m9d2ab', random })
 * ```
 */
export function createContext (options: authority.Options): Context {
  let view = poolView.readPool(options.pool, [])
  let sequence = 0
  let authorities: ReadonlyMap<string, protocol.Incarnation> = new Map()
  return {
    options,
    queue: waitingQueue.createWaitingQueue(),
    slots: slotTable.createSlotTable(),
    entries: entryTable.createEntryTable(),
    targets: fleet.createFleet(),
    prefixes: prefixIndex.createPrefixIndex(),
    suspects: suspects.createSuspects(),
    reservations: reservations.createReservations(),
    floors: floors.createFloors(),
    recovery: recovery.createRecovery(),
    deadlines: deadlineHeap.createDeadlineHeap(),
    rates: serviceRates.createServiceRates(),
    blockedRanks: new Map(),
    responseLengths: responseLength.createResponseLength(),
    calibration: waitCalibration.createWaitCalibration(),
    pendingRefusals: new Map(),
    isolated: new Set(),
    nextSequence: () => sequence++,
    view: () => view,
    setView (next) { view = next },
    authorities: () => authorities,
    setAuthorities (next) { authorities = next }
  }
}
