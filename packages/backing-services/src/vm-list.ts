/**
 * Port to the platform's lagging list of VMs.
 *
 * @module
 */
import type * as keyValue from './key-value.js'

/** One VM as the platform lists it. `name` is a target's or daemon's name. */
export interface Vm {
  readonly name: string
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** Reads the list. It lags, and may come back empty or short. */
export type ListVms = () => keyValue.Answer<readonly Vm[]>
