/**
 * Estimates when a target will have finished the prefill of its prompts, as a fluid queue served at its prefill rate.
 *
 * @module
 */

/** Pending prefill ahead of a new request. */
export interface PrefillBacklog {
  /** Time until the prefill of the prompts in flight is done, milliseconds. */
  readonly waitMs: (nowMs: number) => number
  /** Adds a prompt whose prefill takes `prefillMs`. */
  readonly add: (prefillMs: number, nowMs: number) => void
  /** Removes the remaining prefill time of a request that ended and was expected to be prefilled at `prefilledAtMs`. */
  readonly correct: (prefilledAtMs: number, nowMs: number) => void
  readonly clear: () => void
}

/**
 * Creates an empty backlog.
 *
 * @example
 * ```ts
 * const backlog = createPrefillBacklog()
 * backlog.add(300, 1_000)
 * backlog.waitMs(1_100) // 200
 * ```
 */
export function createPrefillBacklog (): PrefillBacklog {
  let emptyAtMs = 0

  function waitMs (nowMs: number): number {
    return Math.max(0, emptyAtMs - nowMs)
  }

  return {
    waitMs,
    add (prefillMs, nowMs) { emptyAtMs = nowMs + waitMs(nowMs) + prefillMs },
    correct (prefilledAtMs, nowMs) { emptyAtMs -= Math.max(0, prefilledAtMs - nowMs) },
    clear () { emptyAtMs = 0 }
  }
}
