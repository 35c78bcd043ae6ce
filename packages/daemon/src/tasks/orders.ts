/**
 * Reconciles the model engines of this daemon's pools with the configuration in their service documents,
 * by sending orders.
 *
 * Each order states the whole desired configuration, so a late or repeated one does no harm: the next
 * reconciliation corrects any difference. No request depends on an order.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import type * as log from '../adapters/log.js'

/** Prefix of the keys whose leases protect the sending of orders. */
export const ORDERS_PREFIX = '/persimmonhatch/orders/'

const RECONCILE_INTERVAL_MS = 10_000
const LEASE_S = 30

/** Model, adapters and role of an engine. */
export type EngineConfig = NonNullable<document.serviceDocument.ServiceDocument['engine']>

/** An order: the desired configuration, and the fencing number of the lease under which it is sent. */
export interface Order extends EngineConfig {
  readonly fencing: string
}

/** Result of sending an order. */
export type OrderResult = 'accepted' | 'refused' | 'unanswered'

/** An engine and its desired configuration. */
export interface Engine {
  readonly name: string
  readonly address: protocol.Address
  readonly pool: string
  readonly desired: EngineConfig
}

/** Dependencies of the task. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  readonly incarnation: protocol.Incarnation
  /** Returns the engines of the pools that this daemon is the authority of. */
  readonly engines: () => readonly Engine[]
  /** Fetches the current configuration of an engine; undefined when it can't be fetched. */
  readonly read: (address: protocol.Address) => Promise<EngineConfig | undefined>
  readonly send: (address: protocol.Address, order: Order) => Promise<OrderResult>
  readonly count: (counter: string, value: number) => void
  readonly log: log.Log
}

/**
 * Returns the engines of a set of pools. When services share an engine, the one whose name sorts first
 * determines the configuration.
 *
 * @example
 * ```ts
 * listEngines(documents, new Set(['engines']))
 * ```
 */
export function listEngines (documents: readonly document.serviceDocument.ServiceDocument[], pools: ReadonlySet<string>): readonly Engine[] {
  const engines = new Map<string, Engine>()
  const sorted = [...documents].sort((left, right) => left.service < right.service ? -1 : 1)
  for (const { engine, targets } of sorted) {
    if (engine === undefined) continue
    for (const { name, address, pool } of targets) {
      if (pools.has(pool) && !engines.has(name)) engines.set(name, { name, address, pool, desired: engine })
    }
  }
  return [...engines.values()]
}

/**
 * Returns whether an engine has the desired configuration; the order of adapters does not matter.
 *
 * @example
 * ```ts
 * hasDesiredConfig({ model: 'm', version: '1', adapters: [], role: 'mixed' }, desired)
 * ```
 */
export function hasDesiredConfig (loaded: EngineConfig, desired: EngineConfig): boolean {
  const hasSameAdapters = [...loaded.adapters].sort().join('\n') === [...desired.adapters].sort().join('\n')
  return loaded.model === desired.model && loaded.version === desired.version && loaded.role === desired.role && hasSameAdapters
}

/** A lease for sending orders. The fencing number is the store's revision at its acquisition, which rises with each acquisition; lease numbers need not. */
interface OrderLease {
  readonly lease: string
  readonly fencing: string
}

/** Acquires the lease for a pool's orders; undefined while another daemon holds it or the platform is unavailable. */
async function acquireLease (options: Options, pool: string): Promise<OrderLease | undefined> {
  const granted = await options.keyValue.grantLease(LEASE_S)
  if (granted.isErr()) return undefined
  const swapped = await options.keyValue.compareAndSwap({ key: `${ORDERS_PREFIX}${pool}`, expectedRevision: 0, value: options.incarnation, lease: granted.value })
  if (swapped.isOk() && swapped.value.succeeded) return { lease: granted.value, fencing: String(swapped.value.revision) }
  await options.keyValue.revokeLease(granted.value)
  return undefined
}

async function sendOrder (options: Options, engine: Engine, fencing: string): Promise<void> {
  const result = await options.send(engine.address, { ...engine.desired, fencing })
  options.count(`orders.${result}`, 1)
  options.log.info('order given', { target: engine.name, result, ...engine.desired })
}

async function needsOrder (options: Options, engine: Engine): Promise<boolean> {
  const loaded = await options.read(engine.address)
  return loaded !== undefined && !hasDesiredConfig(loaded, engine.desired)
}

/** Sends an order to at most one engine of a pool, because the weight store is rate-limited. */
async function reconcilePool (options: Options, engines: readonly Engine[]): Promise<void> {
  for (const engine of engines) {
    if (!await needsOrder(options, engine)) continue
    const lease = await acquireLease(options, engine.pool)
    if (lease === undefined) return options.count('orders.noLease', 1)
    await sendOrder(options, engine, lease.fencing)
    await options.keyValue.revokeLease(lease.lease)
    return
  }
}

/**
 * Reconciles all engines at intervals until `signal` aborts. The lease of a pool is held only while an
 * order is sent.
 *
 * @example
 * ```ts
 * await reconcileEngines(options, stop.signal)
 * ```
 */
export async function reconcileEngines (options: Options, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await backing.pause.pause(RECONCILE_INTERVAL_MS * (0.5 + options.random()), signal)
    const engines = options.engines()
    for (const pool of new Set(engines.map((engine) => engine.pool))) {
      await reconcilePool(options, engines.filter((engine) => engine.pool === pool))
    }
  }
}
