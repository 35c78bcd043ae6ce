/**
 * Measures by how much the event loop delays the ticks of a timer.
 *
 * @module
 */
import type * as metricsModule from './metrics.js'

/** Interval of the ticks, and what happens to the delays. */
export interface Options {
  readonly intervalMs: number
  readonly metrics: Pick<metricsModule.Metrics, 'observe'>
  /** Called for a long delay. */
  readonly onDelayed: (delayMs: number) => void
}

/** Measures the delays. */
export interface LoopDelay {
  /** Begins with the first interval. */
  readonly start: (nowMs: number) => void
  /** Records a tick. */
  readonly record: (nowMs: number) => void
}

/** Delay of a tick from which it counts as long, ms. */
const LONG_DELAY_MS = 250

/**
 * Creates the measurement.
 *
 * @example
 * ```ts
 * const loopDelay = createLoopDelay({ intervalMs: 30, metrics, onDelayed: (delayMs) => { log(delayMs) } })
 * ```
 */
export function createLoopDelay ({ intervalMs, metrics, onDelayed }: Options): LoopDelay {
  let lastTickMs = 0
  return {
    start: (nowMs) => { lastTickMs = nowMs },
    record: (nowMs) => {
      const delayMs = Math.max(0, Math.round(nowMs - lastTickMs - intervalMs))
      metrics.observe('event_loop_delay_ms', delayMs)
      if (delayMs >= LONG_DELAY_MS) onDelayed(delayMs)
      lastTickMs = nowMs
    }
  }
}
