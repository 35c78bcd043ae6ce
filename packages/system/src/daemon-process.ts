/**
 * Runs a daemon as a child process.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import type * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import * as childProcess from './child-process.js'
import * as waitUntil from './wait-until.js'

const READY_TIMEOUT_MS = 30_000

/** Settings of a daemon. */
export interface Options {
  readonly name: string
  readonly availabilityZone: string
  readonly region: string
  readonly callers: protocol.Address
  readonly peers: protocol.Address
  readonly keyValue: readonly protocol.Address[]
  readonly vmList: protocol.Address | undefined
  readonly seeds: readonly protocol.Address[]
  readonly drainMs: number
  /** Directory for the settings file. */
  readonly directory: string
}

/** A running daemon. */
export interface DaemonProcess {
  readonly name: string
  readonly address: protocol.Address
  readonly child: childProcess.Child
  readonly options: Options
}

async function isHealthy (address: protocol.Address): Promise<true | undefined> {
  try {
    const response = await undici.request(`http://${address}/healthz`)
    await response.body.dump()
    return response.statusCode === 200 ? true : undefined
  } catch {
    return undefined
  }
}

/**
 * Starts a daemon.
 *
 * @example
 * ```ts
 * const daemon = await startDaemonProcess(options)
 * await awaitReady(daemon)
 * ```
 */
export async function startDaemonProcess (options: Options): Promise<DaemonProcess> {
  const file = path.join(options.directory, `${options.name}.jsonc`)
  const settings = {
    name: options.name,
    availabilityZone: options.availabilityZone,
    region: options.region,
    listen: { callers: options.callers, peers: options.peers },
    seeds: options.seeds,
    platform: { keyValue: options.keyValue, vmList: options.vmList },
    drainMs: options.drainMs
  }
  await fs.writeFile(file, JSON.stringify(settings, undefined, 2))
  const child = childProcess.startChild({ packageName: 'daemon', file: 'persimmonhatchd' }, ['--settings', file])
  return { name: options.name, address: options.callers, child, options }
}

/**
 * Waits until a daemon is healthy.
 *
 * @example
 * ```ts
 * await awaitReady(daemon)
 * ```
 */
export async function awaitReady (daemon: DaemonProcess): Promise<void> {
  await waitUntil.waitUntil(`${daemon.name} is ready`, READY_TIMEOUT_MS, () => isHealthy(daemon.address))
}
