/**
 * Detects requests that crash the targets running them, by the fingerprint of their content.
 *
 * One request may crash every target that runs it, and its caller may send it again to any daemon.
 *
 * @module
 */

/** Number of crashes after which requests with a content are refused. */
const CRASHES_TO_REFUSE = 3

/** Time for which a crash is counted, ms. */
const CRASH_RETENTION_MS = 60_000

/** Maximum number of contents in the table. */
const MAX_SUSPECTS = 1_000

/** Crashes by content. */
export interface Suspects {
  /** Counts a crash that was seen here or reported by a peer; `crash` identifies it across daemons. */
  readonly record: (fingerprint: string, crash: string, nowMs: number) => void
  readonly clear: (fingerprint: string) => void
  readonly isRefused: (fingerprint: string, nowMs: number) => boolean
  /** Returns recent crashes, for reports to peers. */
  readonly recent: (nowMs: number, maxAgeMs: number) => readonly (readonly [fingerprint: string, crash: string])[]
}

/**
 * Creates the table.
 *
 * @example
 * ```ts
 * suspects.record(fingerprint, 'engine-3#17', nowMs)
 * if (suspects.isRefused(fingerprint, nowMs)) refuse()
 * ```
 */
export function createSuspects (): Suspects {
  const crashes = new Map<string, Map<string, number>>()

  function evict (): void {
    const oldest = crashes.keys().next().value
    if (crashes.size > MAX_SUSPECTS && oldest !== undefined) crashes.delete(oldest)
  }

  return {
    record: (fingerprint, crash, nowMs) => {
      const crashTimes = crashes.get(fingerprint) ?? new Map<string, number>()
      if (!crashTimes.has(crash)) crashTimes.set(crash, nowMs)
      crashes.set(fingerprint, crashTimes)
      evict()
    },
    clear: (fingerprint) => { crashes.delete(fingerprint) },
    isRefused: (fingerprint, nowMs) => {
      const crashTimes = crashes.get(fingerprint)
      if (crashTimes === undefined) return false
      return [...crashTimes.values()].filter((atMs) => nowMs - atMs < CRASH_RETENTION_MS).length >= CRASHES_TO_REFUSE
    },
    recent: (nowMs, maxAgeMs) => [...crashes].flatMap(([fingerprint, crashTimes]) =>
      [...crashTimes].filter(([, atMs]) => nowMs - atMs < maxAgeMs).map(([crash]) => [fingerprint, crash] as const))
  }
}
