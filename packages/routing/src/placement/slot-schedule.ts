/**
 * Predicts when slots become free, and gives them to waiting requests in order.
 *
 * @module
 */

/** The times at which slots become free, relative to now. */
export interface SlotSchedule {
  /** Returns when the next slot becomes free, ms; infinite without slots. */
  readonly nextFreeMs: () => number
  /** Gives the next slot to a request that occupies it for a time. */
  readonly take: (occupiedMs: number) => void
}

/** Requests at one target, of which those of peers are known by number only. */
export interface OccupiedSlots {
  readonly slots: number
  /** Expected remaining times of this daemon's requests, ms. */
  readonly ownRemainingMs: readonly number[]
  readonly peerRequests: number
  /** Mean time that a request occupies a slot there, ms. */
  readonly meanMs: number
}

/**
 * Returns the times at which the slots of a target become free, ms. Requests of peers are expected to end evenly over the
 * mean time.
 *
 * @example
 * ```ts
 * releaseTimes({ slots: 5, ownRemainingMs: [300], peerRequests: 3, meanMs: 800 }) // [0, 200, 300, 400, 600]
 * ```
 */
export function releaseTimes ({ slots, ownRemainingMs, peerRequests, meanMs }: OccupiedSlots): readonly number[] {
  const ofPeers = Array.from({ length: peerRequests }, (_, index) => meanMs * (index + 1) / (peerRequests + 1))
  const free = Math.max(0, slots - ownRemainingMs.length - peerRequests)
  return [...Array.from({ length: free }, () => 0), ...ownRemainingMs, ...ofPeers].sort((a, b) => a - b)
}

/**
 * Creates the schedule of slots that become free at these times.
 *
 * @example
 * ```ts
 * const schedule = createSlotSchedule([0, 120])
 * schedule.take(500)
 * schedule.nextFreeMs() // 120
 * ```
 */
export function createSlotSchedule (releasesMs: readonly number[]): SlotSchedule {
  // A binary heap: the queue may be long, and each of its requests takes the earliest slot.
  const heap = [...releasesMs].sort((a, b) => a - b)

  function replaceFirst (value: number): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      const child = (heap[right] ?? Infinity) < (heap[left] ?? Infinity) ? right : left
      if ((heap[child] ?? Infinity) >= value) break
      heap[index] = heap[child] ?? Infinity
      index = child
    }
    heap[index] = value
  }

  return {
    nextFreeMs: () => heap[0] ?? Infinity,
    take: (occupiedMs) => { if (heap.length > 0) replaceFirst((heap[0] ?? 0) + occupiedMs) }
  }
}
