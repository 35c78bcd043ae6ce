/**
 * Clock and timers of the stand-ins, which a test can replace and advance.
 *
 * @module
 */

/** Stops a timer. */
export type Cancel = () => void

/** Clock and timers. Times are in milliseconds. */
export interface Timers {
  readonly now: () => number
  readonly after: (delayMs: number, task: () => void) => Cancel
  readonly every: (intervalMs: number, task: () => void) => Cancel
}

/** Timers that a test advances. */
export interface ManualTimers extends Timers {
  readonly advance: (durationMs: number) => void
}

/**
 * Returns the system timers. `now` counts from the epoch and is comparable between processes of one VM.
 *
 * @example
 * ```ts
 * const cancel = systemTimers().every(5, tick)
 * ```
 */
export function systemTimers (): Timers {
  return {
    now: () => performance.timeOrigin + performance.now(),
    after: (delayMs, task) => {
      const timer = setTimeout(task, delayMs)
      return () => clearTimeout(timer)
    },
    every: (intervalMs, task) => {
      const timer = setInterval(task, intervalMs)
      return () => clearInterval(timer)
    }
  }
}

class ScheduledTask {
  constructor (public dueMs: number, readonly intervalMs: number | undefined, readonly task: () => void) {}
}

/**
 * Returns timers whose clock stands still until it is advanced.
 *
 * @example
 * ```ts
 * const timers = manualTimers()
 * timers.after(10, () => console.log('due'))
 * timers.advance(10)
 * ```
 */
export function manualTimers (): ManualTimers {
  const scheduled = new Set<ScheduledTask>()
  let nowMs = 0

  function add (delayMs: number, intervalMs: number | undefined, task: () => void): Cancel {
    const timer = new ScheduledTask(nowMs + delayMs, intervalMs, task)
    scheduled.add(timer)
    return () => { scheduled.delete(timer) }
  }

  function nextDue (untilMs: number): ScheduledTask | undefined {
    const due = [...scheduled].filter((timer) => timer.dueMs <= untilMs)
    return due.sort((a, b) => a.dueMs - b.dueMs)[0]
  }

  function fire (timer: ScheduledTask): void {
    nowMs = Math.max(nowMs, timer.dueMs)
    if (timer.intervalMs === undefined) scheduled.delete(timer)
    else timer.dueMs += timer.intervalMs
    timer.task()
  }

  return {
    now: () => nowMs,
    after: (delayMs, task) => add(delayMs, undefined, task),
    every: (intervalMs, task) => add(intervalMs, intervalMs, task),
    advance: (durationMs) => {
      const untilMs = nowMs + durationMs
      for (let timer = nextDue(untilMs); timer !== undefined; timer = nextDue(untilMs)) fire(timer)
      nowMs = untilMs
    }
  }
}
