/**
 * Scheduling of recurring work.
 *
 * @module
 */

/** Recurring work with one interval. */
export interface Schedule {
  /** Returns true once for each interval; missed intervals are skipped. */
  readonly isDue: (nowMs: number) => boolean
}

/**
 * Creates a schedule that is first due after the fraction `phase` of an interval, so that daemons started
 * together do not act at the same moment.
 *
 * @example
 * ```ts
 * const schedule = createSchedule(1_000, 0.5)
 * schedule.isDue(0) // false
 * schedule.isDue(500) // true
 * ```
 */
export function createSchedule (intervalMs: number, phase: number): Schedule {
  let nextMs: number | undefined

  function isDue (nowMs: number): boolean {
    nextMs ??= nowMs + intervalMs * phase
    if (nowMs < nextMs) return false
    nextMs = Math.max(nextMs + intervalMs, nowMs + intervalMs / 2)
    return true
  }

  return { isDue }
}
