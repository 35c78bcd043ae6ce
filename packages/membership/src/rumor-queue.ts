/**
 * News that is still being passed on: each item is sent a bounded number of times.
 *
 * @module
 */
import * as settings from './settings.js'

/** Queue of keys of news. */
export interface RumorQueue {
  /** Starts to pass on the news with this key, from the beginning if it was queued already. */
  readonly add: (key: string) => void
  /** Keys in the order in which they should be sent: least sent first, then newest first. */
  readonly pending: () => readonly string[]
  /** Notes that the news was sent once; drops it after `limit` times. */
  readonly sent: (key: string, limit: number) => void
}

interface Rumor {
  readonly key: string
  readonly order: number
  readonly transmissions: number
}

/**
 * Times that one daemon sends a piece of news: λ·log n (SWIM, section 4.1).
 *
 * @example
 * ```ts
 * retransmitLimit(320) // 12
 * ```
 */
export function retransmitLimit (members: number): number {
  return settings.RETRANSMIT_MULTIPLIER * Math.max(1, Math.ceil(Math.log10(members + 1)))
}

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const rumors = createRumorQueue()
 * rumors.add('target:engine-1')
 * rumors.pending() // ['target:engine-1']
 * ```
 */
export function createRumorQueue (): RumorQueue {
  const rumors = new Map<string, Rumor>()
  let order = 0

  function sent (key: string, limit: number): void {
    const rumor = rumors.get(key)
    if (rumor === undefined) return
    if (rumor.transmissions + 1 >= limit) rumors.delete(key)
    else rumors.set(key, { ...rumor, transmissions: rumor.transmissions + 1 })
  }

  function pending (): readonly string[] {
    const sorted = [...rumors.values()].sort((a, b) => a.transmissions - b.transmissions || b.order - a.order)
    return sorted.map((rumor) => rumor.key)
  }

  return {
    add: (key) => { rumors.set(key, { key, order: order++, transmissions: 0 }) },
    pending,
    sent
  }
}
