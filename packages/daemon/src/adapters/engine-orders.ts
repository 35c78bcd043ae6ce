/**
 * HTTP client for the `/orders` endpoint of model engines.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import * as z from 'zod'
import type * as orders from '../tasks/orders.js'

const CALL_TIMEOUT_MS = 5_000

const configSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).readonly().default([]),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed')
}).readonly()

/** Calls to the `/orders` endpoint of an engine. */
export interface EngineOrders {
  readonly read: (address: protocol.Address) => Promise<orders.EngineConfig | undefined>
  readonly send: (address: protocol.Address, order: orders.Order) => Promise<orders.OrderResult>
}

/**
 * Creates the client.
 *
 * @example
 * ```ts
 * const loaded = await createEngineOrders(httpClient).read('10.0.0.9:8000')
 * ```
 */
export function createEngineOrders (httpClient: undici.Dispatcher): EngineOrders {
  async function read (address: protocol.Address): Promise<orders.EngineConfig | undefined> {
    try {
      const response = await undici.request(`http://${address}/orders`, { dispatcher: httpClient, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      const checked = configSchema.safeParse(await response.body.json())
      return checked.success ? checked.data : undefined
    } catch {
      return undefined
    }
  }

  async function send (address: protocol.Address, order: orders.Order): Promise<orders.OrderResult> {
    try {
      const response = await undici.request(`http://${address}/orders`, {
        dispatcher: httpClient,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      await response.body.dump()
      return response.statusCode < 300 ? 'accepted' : 'refused'
    } catch {
      return 'unanswered'
    }
  }

  return { read, send }
}
