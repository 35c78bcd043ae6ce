/**
 * Port for the platform's VM list, which lags.
 *
 * @module
 */
import type * as keyValue from './key-value.js'

/** VM in the platform's list. `name` is the name of a target or daemon. */
export interface Vm {
  readonly name: string
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/** Fetches the VM list. It lags, and may be empty or incomplete. */
export type ListVms = () => keyValue.PlatformResult<readonly Vm[]>
