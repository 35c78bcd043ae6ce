/**
 * Reads the platform's list of VMs, each daemon in its turn, so that the whole fleet reads it at a
 * steady rate.
 *
 * @module
 */
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import * as pause from '../util/pause.js'

/** Interval between two readings of the list by any daemon, milliseconds. */
const FLEET_INTERVAL_MS = 200

/** Shortest interval between two readings by one daemon, milliseconds. */
const MIN_INTERVAL_MS = 1_000

/** What the task needs of its surroundings. */
export interface Options {
  readonly listVms: backing.vmList.ListVms
  readonly random: protocol.Random
  /** Number of live daemons. */
  readonly fleetSize: () => number
  readonly onList: (vms: readonly backing.vmList.Vm[]) => void
  readonly count: (counter: string, value: number) => void
}

/**
 * Reads until `signal` aborts.
 *
 * @example
 * ```ts
 * await readVmList(options, stop.signal)
 * ```
 */
export async function pollVmList (options: Options, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const listed = await options.listVms()
    if (listed.isOk()) options.onList(listed.value)
    else options.count('vmList.failed', 1)
    const intervalMs = Math.max(MIN_INTERVAL_MS, FLEET_INTERVAL_MS * options.fleetSize())
    await pause.pause(intervalMs * (0.5 + options.random()), signal)
  }
}
