/**
 * When the prompts that a target was given will be read, as a fluid queue served at its prefill rate.
 *
 * @module
 */

/** Prompts ahead of a new request. */
export interface PrefillBacklog {
  /** Time until the prompts in flight are read, milliseconds. */
  readonly waitMs: (nowMs: number) => number
  readonly add: (prefillMs: number, nowMs: number) => void
  /** A request whose prompt was expected to be read at `expectedAtMs` has ended. */
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
