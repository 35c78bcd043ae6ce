/**
 * Compares the slots that authorities count as occupied with the requests that targets actually run.
 *
 * @module
 */
import * as collectRuns from './collect-runs.js'
import type * as daemonProcess from './daemon-process.js'
import * as systemModule from './system.js'

const STATUS_TIMEOUT_MS = 1_000

interface PoolStatus {
  readonly pool: string
  readonly settled: boolean
  readonly waiting: number
  readonly targets: readonly { readonly target: string, readonly requestsInFlight: number }[]
}

interface DaemonStatus {
  readonly pools: readonly PoolStatus[]
  readonly entry: { readonly waiting: number, readonly running: number }
}

async function readStatus (daemon: daemonProcess.DaemonProcess): Promise<DaemonStatus | undefined> {
  try {
    const response = await fetch(`http://${daemon.address}/v1/status`, { signal: AbortSignal.timeout(STATUS_TIMEOUT_MS) })
    return await response.json() as DaemonStatus
  } catch {
    return undefined
  }
}

async function countRunning (system: systemModule.System): Promise<ReadonlyMap<string, number>> {
  const targets = systemModule.loggedTargets(system)
  const logs = await Promise.all(targets.map(collectRuns.readLog))
  return new Map(targets.map((target, index) => [target.name, (logs[index] ?? []).filter((line) => line.endedAtMs === undefined).length]))
}

function * formatPool (daemon: string, pool: PoolStatus, running: ReadonlyMap<string, number>): Generator<string> {
  yield `  ${pool.pool} at ${daemon}: ${pool.waiting} waiting${pool.settled ? '' : ', recovering'}`
  for (const target of pool.targets) yield `    ${JSON.stringify(target)}, actually running ${running.get(target.target) ?? 0}`
}

/**
 * Returns lines with the requests of each entry and each authority, and those that each target runs.
 *
 * @example
 * ```ts
 * for (const line of await describeCapacity(system)) console.log(line)
 * ```
 */
export async function describeCapacity (system: systemModule.System): Promise<readonly string[]> {
  const running = await countRunning(system)
  const statuses = await Promise.all(system.daemons().map(async (daemon) => ({ daemon, status: await readStatus(daemon) })))
  return statuses.flatMap(({ daemon, status }) => {
    if (status === undefined) return [`  ${daemon.name}: no response`]
    const { waiting, running: dispatched } = status.entry
    return [`  ${daemon.name}: ${waiting} waiting, ${dispatched} running`, ...status.pools.flatMap((pool) => [...formatPool(daemon.name, pool, running)])]
  })
}
