/**
 * Orders that a model engine accepts.
 *
 * @module
 */
import * as zod from 'zod'

/** Body of `POST /orders`. */
export const ORDER = zod.object({
  fencing: zod.union([zod.number().int(), zod.string().regex(/^\d+$/)]).transform(String),
  model: zod.string(),
  version: zod.string(),
  adapters: zod.array(zod.string()).default([]),
  role: zod.string().default('general')
})

/** An order. */
export type Order = Readonly<zod.infer<typeof ORDER>>

/** One received order. */
export interface ReceivedOrder extends Order {
  readonly atMs: number
  readonly accepted: boolean
}

/** The current order and all received orders. */
export class Orders {
  current: Order | undefined
  readonly received: ReceivedOrder[] = []
  #highestFencing = 0n

  constructor (readonly checksFencing: boolean) {}

  /** Records an order; returns false when the engine checks fencing numbers and has accepted a higher one. */
  receive (order: Order, atMs: number): boolean {
    const fencing = BigInt(order.fencing)
    const accepted = !this.checksFencing || fencing >= this.#highestFencing
    this.received.push({ ...order, atMs, accepted })
    if (!accepted) return false
    this.#highestFencing = fencing
    this.current = order
    return true
  }
}
