/**
 * A binary heap of waiting requests, ordered by the time at which each must be checked again.
 *
 * @module
 */

/** A check that is due at `atMs`. */
export interface Item {
  readonly atMs: number
  readonly key: string
}

/** A priority queue by time. Items are not removed when their request leaves the queue; the reader skips them. */
export interface DeadlineHeap {
  readonly push: (item: Item) => void
  /** Removes and returns the earliest item that is due, if any. */
  readonly popDue: (nowMs: number) => Item | undefined
}

/**
 * Creates an empty heap.
 *
 * @example
 * ```ts
 * const heap = createDeadlineHeap()
 * heap.push({ atMs: 500, key: 'a/1' })
 * heap.popDue(499) // undefined
 * heap.popDue(500) // { atMs: 500, key: 'a/1' }
 * ```
 */
export function createDeadlineHeap (): DeadlineHeap {
  const items: Item[] = []

  function timeAt (index: number): number {
    return items[index]?.atMs ?? Infinity
  }

  function swap (a: number, b: number): void {
    const moved = items[a] as Item
    items[a] = items[b] as Item
    items[b] = moved
  }

  function siftUp (start: number): void {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1
      if (timeAt(parent) <= timeAt(index)) return
      swap(parent, index)
      index = parent
    }
  }

  function siftDown (): void {
    for (let index = 0; ;) {
      const leftChild = 2 * index + 1
      const child = timeAt(leftChild + 1) < timeAt(leftChild) ? leftChild + 1 : leftChild
      if (timeAt(child) >= timeAt(index)) return
      swap(child, index)
      index = child
    }
  }

  return {
    push (item) {
      items.push(item)
      siftUp(items.length - 1)
    },
    popDue (nowMs) {
      const [first] = items
      if (first === undefined || first.atMs > nowMs) return undefined
      const last = items.pop() as Item
      if (items.length > 0) {
        items[0] = last
        siftDown()
      }
      return first
    }
  }
}
