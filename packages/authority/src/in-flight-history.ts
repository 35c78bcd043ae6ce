/**
 * Requests in flight in the recent past, to compare a late load report with the count at the report's time.
 *
 * @module
 */

/** A bounded history of the number of requests in flight on one target. */
export interface InFlightHistory {
  readonly record: (atMs: number, count: number) => void
  /** The highest count around `atMs`; the tolerance covers the rounding of a report's age. */
  readonly at: (atMs: number) => number
}

/** Records kept for one target. */
const CAPACITY = 256
/** Records at most this far from the requested time count as simultaneous, milliseconds. */
const TOLERANCE_MS = 250

/**
 * Creates an empty history.
 *
 * @example
 * ```ts
 * const history = createInFlightHistory()
 * history.record(1_000, 8)
 * history.at(1_500) // 8
 * ```
 */
export function createInFlightHistory (): InFlightHistory {
  const times = new Float64Array(CAPACITY)
  const counts = new Float64Array(CAPACITY)
  let next = 0
  let length = 0
  return {
    record (atMs, count) {
      times[next] = atMs
      counts[next] = count
      next = (next + 1) % CAPACITY
      length = Math.min(CAPACITY, length + 1)
    },
    at (atMs) {
      let highest = 0
      for (let offset = 1; offset <= length; offset++) {
        const index = (next - offset + CAPACITY) % CAPACITY
        const time = times[index] ?? 0
        if (time > atMs + TOLERANCE_MS) continue
        highest = Math.max(highest, counts[index] ?? 0)
        if (time < atMs - TOLERANCE_MS) break
      }
      return highest
    }
  }
}
