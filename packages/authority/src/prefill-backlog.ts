/**
 * When the prompts that a target was given will be read, as a fluid queue served at its prefill rate.
 *
 * @module
 */

/** Prompts ahead of a new request. */
export interface PrefillBacklog {
  /** Time until the prompts in flight are read, milliseconds. */
  readonly waitMs: (nowMs: number) => number
  readonly add: (readMs: number, nowMs: number) => void
  /** A request whose prompt was expected to be read at `expectedAtMs` has ended. */
  readonly correct: (expectedAtMs: number, nowMs: number) => void
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
  let readAtMs = 0

  function waitMs (nowMs: number): number {
    return Math.max(0, readAtMs - nowMs)
  }

  return {
    waitMs,
    add (readMs, nowMs) { readAtMs = nowMs + waitMs(nowMs) + readMs },
    correct (expectedAtMs, nowMs) { readAtMs -= Math.max(0, expectedAtMs - nowMs) },
    clear () { readAtMs = 0 }
  }
}
