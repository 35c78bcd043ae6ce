/**
 * Virtual time: tasks run in the order of their times, and at one time in the order they were added.
 *
 * @module
 */

/** Tasks by time. */
export interface Timeline {
  readonly now: () => number
  readonly at: (atMs: number, task: () => void) => void
  readonly after: (delayMs: number, task: () => void) => void
  /** Runs every task that is due by then. */
  readonly runUntil: (untilMs: number) => void
}

interface Item {
  readonly atMs: number
  readonly order: number
  readonly task: () => void
}

function isBefore (left: Item, right: Item): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
}

/** Binary heap. Source: J. W. J. Williams, "Algorithm 232: Heapsort", 1964. */
class Heap {
  readonly #items: Item[] = []

  peek (): Item | undefined {
    return this.#items[0]
  }

  push (item: Item): void {
    const items = this.#items
    let index = items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const above = items[parent] as Item
      if (!isBefore(item, above)) break
      items[index] = above
      index = parent
    }
    items[index] = item
  }

  pop (): void {
    const items = this.#items
    const last = items.pop()
    if (last === undefined || items.length === 0) return
    let index = 0
    while (true) {
      let child = 2 * index + 1
      const right = items[child + 1]
      if (right !== undefined && isBefore(right, items[child] as Item)) child += 1
      const below = items[child]
      if (below === undefined || !isBefore(below, last)) break
      items[index] = below
      index = child
    }
    items[index] = last
  }
}

/**
 * Creates a timeline that stands at 0.
 *
 * @example
 * ```ts
 * const timeline = createTimeline()
 * timeline.after(10, () => console.log('due'))
 * timeline.runUntil(10)
 * ```
 */
export function createTimeline (): Timeline {
  const heap = new Heap()
  let nowMs = 0
  let order = 0

  function at (atMs: number, task: () => void): void {
    heap.push({ atMs: Math.max(nowMs, atMs), order: order++, task })
  }

  return {
    now: () => nowMs,
    at,
    after: (delayMs, task) => at(nowMs + delayMs, task),
    runUntil (untilMs) {
      for (let item = heap.peek(); item !== undefined && item.atMs <= untilMs; item = heap.peek()) {
        heap.pop()
        nowMs = item.atMs
        item.task()
      }
      nowMs = Math.max(nowMs, untilMs)
    }
  }
}
