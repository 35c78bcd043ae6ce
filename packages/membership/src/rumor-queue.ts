/**
 * Updates that are being disseminated: each is sent a limited number of times.
 *
 * @module
 */
import * as settings from './settings.js'

/** Queue of the keys of rumors. */
export interface RumorQueue {
  /** Queues the update with this key; resets its transmission count if it is queued already. */
  readonly add: (key: string) => void
  /** Returns the keys in sending order: fewest transmissions first, then newest first. */
  readonly pending: () => readonly string[]
  /** Records one transmission; removes the key after `limit` of them. */
  readonly markSent: (key: string, limit: number) => void
}

interface Rumor {
  readonly key: string
  readonly sequence: number
  readonly transmissions: number
}

/**
 * Returns the number of times that one daemon sends an update: λ·log n (SWIM, section 4.1).
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
  let sequence = 0

  function markSent (key: string, limit: number): void {
    const rumor = rumors.get(key)
    if (rumor === undefined) return
    if (rumor.transmissions + 1 >= limit) rumors.delete(key)
    else rumors.set(key, { ...rumor, transmissions: rumor.transmissions + 1 })
  }

  function pending (): readonly string[] {
    const sorted = [...rumors.values()].sort((a, b) => a.transmissions - b.transmissions || b.sequence - a.sequence)
    return sorted.map((rumor) => rumor.key)
  }

  return {
    add: (key) => { rumors.set(key, { key, sequence: sequence++, transmissions: 0 }) },
    pending,
    markSent
  }
}
