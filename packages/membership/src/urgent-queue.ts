/**
 * Updates that are sent to several members immediately, under a rate limit (token bucket).
 *
 * @module
 */
import * as settings from './settings.js'

/** Queue of the keys of urgent updates. */
export interface UrgentQueue {
  readonly add: (key: string, nowMs: number) => void
  /** Returns the keys to send in one round now: fewest rounds first, then newest first. Empty if nothing is due or the allowance is exhausted. */
  readonly dueKeys: (nowMs: number) => readonly string[]
  /** Records that these keys were sent in one round. */
  readonly markSent: (keys: readonly string[], nowMs: number) => void
}

interface Urgent {
  readonly key: string
  readonly rounds: number
  readonly dueMs: number
}

/**
 * Creates an empty queue with a full allowance.
 *
 * @example
 * ```ts
 * const urgent = createUrgentQueue()
 * urgent.add('target:engine-1', 0)
 * urgent.dueKeys(0) // ['target:engine-1']
 * ```
 */
export function createUrgentQueue (): UrgentQueue {
  const queue = new Map<string, Urgent>()
  let allowance = settings.URGENT_BURST
  let refilledMs: number | undefined

  function refill (nowMs: number): void {
    refilledMs ??= nowMs
    allowance = Math.min(settings.URGENT_BURST, allowance + (nowMs - refilledMs) / settings.URGENT_REFILL_MS)
    refilledMs = nowMs
  }

  function dueKeys (nowMs: number): readonly string[] {
    refill(nowMs)
    if (allowance < 1) return []
    const maxRounds = allowance > settings.URGENT_RESERVE ? settings.URGENT_ROUNDS : 1
    const ready = [...queue.values()].filter((urgent) => urgent.dueMs <= nowMs && urgent.rounds < maxRounds)
    return ready.sort((a, b) => a.rounds - b.rounds || b.dueMs - a.dueMs).map((urgent) => urgent.key)
  }

  function markSent (keys: readonly string[], nowMs: number): void {
    allowance -= 1
    for (const key of keys) {
      const rounds = (queue.get(key)?.rounds ?? 0) + 1
      if (rounds >= settings.URGENT_ROUNDS) queue.delete(key)
      else queue.set(key, { key, rounds, dueMs: nowMs + settings.URGENT_INTERVAL_MS })
    }
  }

  return { add: (key, nowMs) => { queue.set(key, { key, rounds: 0, dueMs: nowMs }) }, dueKeys, markSent }
}
