/**
 * Waiting asks of one organisation for one service in one tier, oldest first.
 *
 * @module
 */
import type * as waitingAsk from './waiting-ask.js'

/** A first-in-first-out queue with a start tag for fair queueing. */
export interface Lane {
  /** Adds an ask in its place; one that is still in the lane stays where it is. */
  readonly add: (ask: waitingAsk.WaitingAsk) => void
  /** The oldest ask for which `isLive` holds; others before it are dropped. */
  readonly head: (isLive: (ask: waitingAsk.WaitingAsk) => boolean) => waitingAsk.WaitingAsk | undefined
  /** Like `head`, at the other end. */
  readonly tail: (isLive: (ask: waitingAsk.WaitingAsk) => boolean) => waitingAsk.WaitingAsk | undefined
}

/** Dropped heads after which the array is shortened. */
const COMPACT_LENGTH = 64

function isBefore (left: waitingAsk.WaitingAsk, right: waitingAsk.WaitingAsk): boolean {
  return left.arrivedAtMs < right.arrivedAtMs || (left.arrivedAtMs === right.arrivedAtMs && left.sequence < right.sequence)
}

/**
 * Creates an empty lane.
 *
 * @example
 * ```ts
 * const queue = createLane()
 * queue.add(ask)
 * queue.head(() => true) // ask
 * ```
 */
export function createLane (): Lane {
  let items: waitingAsk.WaitingAsk[] = []
  const present = new Set<waitingAsk.WaitingAsk>()
  let start = 0

  function findPosition (ask: waitingAsk.WaitingAsk): number {
    let low = start
    let high = items.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isBefore(ask, items[middle] as waitingAsk.WaitingAsk)) high = middle
      else low = middle + 1
    }
    return low
  }

  function compact (): void {
    if (start < COMPACT_LENGTH || start * 2 < items.length) return
    items = items.slice(start)
    start = 0
  }

  return {
    add (ask) {
      if (present.has(ask)) return
      present.add(ask)
      const last = items.at(-1)
      if (last === undefined || !isBefore(ask, last)) items.push(ask)
      else items.splice(findPosition(ask), 0, ask)
    },
    head (isLive) {
      for (; start < items.length; start++) {
        const ask = items[start] as waitingAsk.WaitingAsk
        if (isLive(ask)) break
        present.delete(ask)
      }
      compact()
      return items[start]
    },
    tail (isLive) {
      while (items.length > start) {
        const ask = items[items.length - 1] as waitingAsk.WaitingAsk
        if (isLive(ask)) return ask
        present.delete(ask)
        items.pop()
      }
      return undefined
    }
  }
}
