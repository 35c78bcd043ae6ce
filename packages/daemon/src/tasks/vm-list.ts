/**
 * Polls the platform's VM list. The interval of each daemon grows with the fleet, so that the fleet as a
 * whole polls at a steady rate.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

/** Average interval between two polls by any daemon of the fleet, milliseconds. */
const FLEET_INTERVAL_MS = 200

/** Minimum interval between two polls by one daemon, milliseconds. */
const MIN_INTERVAL_MS = 1_000

/** Dependencies of the task. */
export interface Options {
  readonly listVms: backing.vmList.ListVms
  readonly random: protocol.Random
  /** Returns the number of live daemons. */
  readonly fleetSize: () => number
  readonly onList: (vms: readonly backing.vmList.Vm[]) => void
  readonly count: (counter: string, value: number) => void
}

/**
 * Polls until `signal` aborts.
 *
 * @example
 * ```ts
 * await pollVmList(options, stop.signal)
 * ```
 */
export async function pollVmList (options: Options, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const listed = await options.listVms()
    if (listed.isOk()) options.onList(listed.value)
    else options.count('vmList.failed', 1)
    const intervalMs = Math.max(MIN_INTERVAL_MS, FLEET_INTERVAL_MS * options.fleetSize())
    await backing.pause.pause(intervalMs * (0.5 + options.random()), signal)
  }
}
