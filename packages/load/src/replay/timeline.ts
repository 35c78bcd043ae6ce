/**
 * Virtual clock of a discrete-event simulation. Tasks run in order of due time; tasks due at the same time run in
 * the order in which they were scheduled.
 *
 * @module
 */

/** Virtual clock with a queue of scheduled tasks. */
export interface Timeline {
  readonly now: () => number
  readonly at: (atMs: number, task: () => void) => void
  readonly after: (delayMs: number, task: () => void) => void
  /** Runs every task due until `untilMs`, and advances the clock to it. */
  readonly runUntil: (untilMs: number) => void
}

interface ScheduledTask {
  readonly atMs: number
  readonly sequence: number
  readonly task: () => void
}

function isBefore (left: ScheduledTask, right: ScheduledTask): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence)
}

/** Binary min-heap of tasks. Source: J. W. J. Williams, "Algorithm 232: Heapsort", 1964. */
class Heap {
  readonly #items: ScheduledTask[] = []

  peek (): ScheduledTask | undefined {
    return this.#items[0]
  }

  push (item: ScheduledTask): void {
    const items = this.#items
    let index = items.push(item) - 1
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parentTask = items[parentIndex] as ScheduledTask
      if (!isBefore(item, parentTask)) break
      items[index] = parentTask
      index = parentIndex
    }
    items[index] = item
  }

  pop (): void {
    const items = this.#items
    const last = items.pop()
    if (last === undefined || items.length === 0) return
    let index = 0
    while (true) {
      let childIndex = 2 * index + 1
      const right = items[childIndex + 1]
      if (right !== undefined && isBefore(right, items[childIndex] as ScheduledTask)) childIndex += 1
      const childTask = items[childIndex]
      if (childTask === undefined || !isBefore(childTask, last)) break
      items[index] = childTask
      index = childIndex
    }
    items[index] = last
  }
}

/**
 * Creates a timeline that starts at 0.
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
  let sequence = 0

  function at (atMs: number, task: () => void): void {
    heap.push({ atMs: Math.max(nowMs, atMs), sequence: sequence++, task })
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
