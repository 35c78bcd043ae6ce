/**
 * Waits until every pool has an authority.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as undici from 'undici'
import type * as daemonProcess from './daemon-process.js'
import * as waitUntil from './wait-until.js'

const LIMIT_MS = 30_000

interface StatusBody {
  readonly pools: ReadonlyArray<{ readonly pool: string, readonly settled: boolean }>
}

async function hostedPools (daemon: daemonProcess.DaemonProcess): Promise<readonly string[]> {
  const response = await undici.request(`http://${daemon.address}/v1/status`)
  const { pools } = await response.body.json() as StatusBody
  return pools.filter((pool) => pool.settled).map((pool) => pool.pool)
}

/**
 * Waits until some daemon says of each pool that it is its authority and has collected what entries hold.
 *
 * @example
 * ```ts
 * await awaitAuthorities(daemons, documents)
 * ```
 */
export async function awaitAuthorities (daemons: readonly daemonProcess.DaemonProcess[], documents: readonly document.serviceDocument.ServiceDocument[]): Promise<void> {
  const wanted = new Set(documents.flatMap((one) => one.targets.map((target) => target.pool)))
  await waitUntil.waitUntil('every pool has an authority', LIMIT_MS, async () => {
    const hosted = new Set((await Promise.all(daemons.map(hostedPools))).flat())
    return [...wanted].every((pool) => hosted.has(pool)) ? true : undefined
  })
}
