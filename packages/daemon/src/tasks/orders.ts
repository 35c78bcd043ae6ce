/**
 * Orders to the model engines of the pools that this daemon is the authority of: what they must have
 * loaded, as their services' documents say.
 *
 * Each order states everything that is wanted, so a late or repeated one does no harm: the next
 * reading finds what differs and corrects it. No request depends on an order.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import type * as log from '../adapters/log.js'
import * as pause from '../util/pause.js'

/** Prefix of the keys under whose leases orders are given. */
export const ORDERS_PREFIX = '/persimmonhatch/orders/'

const RECONCILE_INTERVAL_MS = 10_000
const LEASE_S = 30

/** What an engine must have loaded. */
export type EngineConfig = NonNullable<document.serviceDocument.ServiceDocument['engine']>

/** An order: everything that is wanted, with the fencing number of the lease that it is given under. */
export interface Order extends EngineConfig {
  readonly fencing: string
}

/** What became of an order. */
export type OrderResult = 'accepted' | 'refused' | 'unanswered'

/** An engine and what it must have loaded. */
export interface Engine {
  readonly name: string
  readonly address: protocol.Address
  readonly pool: string
  readonly desired: EngineConfig
}

/** What the task needs of its surroundings. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  readonly incarnation: protocol.Incarnation
  /** Engines of the pools that this daemon is the authority of. */
  readonly engines: () => readonly Engine[]
  /** Reads what an engine has loaded; undefined when it does not say. */
  readonly read: (address: protocol.Address) => Promise<EngineConfig | undefined>
  readonly send: (address: protocol.Address, order: Order) => Promise<OrderResult>
  readonly count: (counter: string, value: number) => void
  readonly log: log.Log
}

/**
 * The engines of a set of pools. Of two services that share an engine the one whose name sorts first decides.
 *
 * @example
 * ```ts
 * enginesOf(documents, new Set(['engines']))
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
 * Whether an engine has loaded what is wanted; the order of adapters does not matter.
 *
 * @example
 * ```ts
 * isAsWanted({ model: 'm', version: '1', adapters: [], role: 'mixed' }, wanted)
 * ```
 */
export function hasDesiredConfig (loaded: EngineConfig, desired: EngineConfig): boolean {
  const hasSameAdapters = [...loaded.adapters].sort().join('\n') === [...desired.adapters].sort().join('\n')
  return loaded.model === desired.model && loaded.version === desired.version && loaded.role === desired.role && hasSameAdapters
}

/** A lease to give orders under. The store's revision at which it was taken rises with each taking, whatever the leases' own numbers do. */
interface OrderLease {
  readonly lease: string
  readonly fencing: string
}

/** Takes the lease of a pool's orders; undefined while another daemon holds it or the platform is out of reach. */
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

/** One engine of a pool at a time, as the weight store is rate-limited. */
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
 * Gives orders until `signal` aborts. The lease of a pool is held only while an order is given.
 *
 * @example
 * ```ts
 * await giveOrders(options, stop.signal)
 * ```
 */
export async function reconcileEngines (options: Options, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await pause.pause(RECONCILE_INTERVAL_MS * (0.5 + options.random()), signal)
    const engines = options.engines()
    for (const pool of new Set(engines.map((engine) => engine.pool))) {
      await reconcilePool(options, engines.filter((engine) => engine.pool === pool))
    }
  }
}
