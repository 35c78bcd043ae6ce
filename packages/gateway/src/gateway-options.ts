/**
 * Settings of a gateway, and what it needs of the platform.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as headerNames from './header-names.js'
import type * as recordStore from './record-store.js'
import type * as rollouts from './rollouts.js'

/** Settings of a gateway. Times are ms. */
export interface Options {
  readonly name: string
  readonly availabilityZone: string
  readonly frontAddress: string
  readonly peerAddress: string
  readonly headerNames: headerNames.HeaderNames
  readonly tolerances: Tolerances
  /** Records that outlive all daemons; without them, a fleet that has lost all daemons starts anew. */
  readonly records?: recordStore.RecordStore
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart?: boolean
  /** Bounds and store of version roll-outs; without them, versions are served alike. */
  readonly rollouts?: rollouts.Settings | undefined
  /** Lists the targets again, and calls `done` with whether a listing that is complete has been applied. */
  readonly listTargets?: (done: (isListed: boolean) => void) => void
}

/** Settings that may change while the process runs. */
export interface Tolerances {
  readonly retryBudget: routing.retryBudget.Options
  readonly tokenCaps: routing.tokenCap.Options
  /** Time from the start of a planned stop to the end of the process. */
  readonly graceMs: number
}
