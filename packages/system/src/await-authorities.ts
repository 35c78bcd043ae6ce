/**
 * Waits until every pool has an authority.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as undici from 'undici'
import type * as daemonProcess from './daemon-process.js'
import * as waitUntil from './wait-until.js'

const AUTHORITY_TIMEOUT_MS = 30_000

interface StatusResponse {
  readonly pools: ReadonlyArray<{ readonly pool: string, readonly settled: boolean }>
}

async function readSettledPools (daemon: daemonProcess.DaemonProcess): Promise<readonly string[]> {
  const response = await undici.request(`http://${daemon.address}/v1/status`)
  const { pools } = await response.body.json() as StatusResponse
  return pools.filter((pool) => pool.settled).map((pool) => pool.pool)
}

/**
 * Waits until each pool has an authority that has collected the holdings of the entries.
 *
 * @example
 * ```ts
 * await awaitAuthorities(daemons, documents)
 * ```
 */
export async function awaitAuthorities (daemons: readonly daemonProcess.DaemonProcess[], documents: readonly document.serviceDocument.ServiceDocument[]): Promise<void> {
  const expectedPools = new Set(documents.flatMap((serviceDocument) => serviceDocument.targets.map((target) => target.pool)))
  await waitUntil.waitUntil('every pool has an authority', AUTHORITY_TIMEOUT_MS, async () => {
    const settledPools = new Set((await Promise.all(daemons.map(readSettledPools))).flat())
    return [...expectedPools].every((pool) => settledPools.has(pool)) ? true : undefined
  })
}
