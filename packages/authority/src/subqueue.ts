/**
 * Waiting requests of one organisation for one service in one tier, oldest first.
 *
 * @module
 */
import type * as waitingRequest from './waiting-request.js'

/** A queue ordered by arrival that discards inactive requests only at its ends. */
export interface Subqueue {
  /** Inserts a request by its time of arrival; does nothing if the subqueue still contains it. */
  readonly add: (request: waitingRequest.WaitingRequest) => void
  /** Returns the oldest request for which `isActive` returns true; discards those before it. */
  readonly head: (isActive: (request: waitingRequest.WaitingRequest) => boolean) => waitingRequest.WaitingRequest | undefined
  /** Returns the newest request for which `isActive` returns true; discards those after it. */
  readonly tail: (isActive: (request: waitingRequest.WaitingRequest) => boolean) => waitingRequest.WaitingRequest | undefined
}

/** Minimum number of discarded heads before the array is compacted. */
const MIN_COMPACTED_ITEMS = 64

function isBefore (a: waitingRequest.WaitingRequest, b: waitingRequest.WaitingRequest): boolean {
  return a.arrivedAtMs < b.arrivedAtMs || (a.arrivedAtMs === b.arrivedAtMs && a.sequence < b.sequence)
}

/**
 * Creates an empty subqueue.
 *
 * @example
 * ```ts
 * const subqueue = createSubqueue()
 * subqueue.add(request)
 * subqueue.head(() => true) // request
 * ```
 */
export function createSubqueue (): Subqueue {
  let items: waitingRequest.WaitingRequest[] = []
  const present = new Set<waitingRequest.WaitingRequest>()
  let start = 0

  function findPosition (request: waitingRequest.WaitingRequest): number {
    let low = start
    let high = items.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isBefore(request, items[middle] as waitingRequest.WaitingRequest)) high = middle
      else low = middle + 1
    }
    return low
  }

  function compact (): void {
    if (start < MIN_COMPACTED_ITEMS || start * 2 < items.length) return
    items = items.slice(start)
    start = 0
  }

  return {
    add (request) {
      if (present.has(request)) return
      present.add(request)
      const last = items.at(-1)
      if (last === undefined || !isBefore(request, last)) items.push(request)
      else items.splice(findPosition(request), 0, request)
    },
    head (isActive) {
      for (; start < items.length; start++) {
        const request = items[start] as waitingRequest.WaitingRequest
        if (isActive(request)) break
        present.delete(request)
      }
      compact()
      return items[start]
    },
    tail (isActive) {
      while (items.length > start) {
        const request = items[items.length - 1] as waitingRequest.WaitingRequest
        if (isActive(request)) return request
        present.delete(request)
        items.pop()
      }
      return undefined
    }
  }
}
