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

/** Who reported a crash: this daemon itself, a member of its cell, or another cell. */
export type CrashSource = 'own' | 'cell' | 'fleet'

/** Selects crashes for a report. */
export interface CrashSelection {
  readonly sources: readonly CrashSource[]
  /** Crashes recorded before this time are left out, ms. */
  readonly sinceMs: number
  /** Maximum number of crashes; contents with most crashes come first, then the latest. */
  readonly maxCrashes: number
}

/** Crashes by content. */
export interface Suspects {
  /** Counts a crash; `crash` identifies it across daemons. */
  readonly record: (fingerprint: string, crash: string, source: CrashSource, nowMs: number) => void
  readonly clear: (fingerprint: string) => void
  readonly isRefused: (fingerprint: string, nowMs: number) => boolean
  /** Returns crashes for a report to peers. */
  readonly select: (selection: CrashSelection) => readonly (readonly [fingerprint: string, crash: string])[]
}

interface Crash {
  readonly atMs: number
  readonly source: CrashSource
}

/**
 * Creates the table.
 *
 * @example
 * ```ts
 * suspects.record(fingerprint, 'engine-3#17', 'own', nowMs)
 * if (suspects.isRefused(fingerprint, nowMs)) refuse()
 * ```
 */
export function createSuspects (): Suspects {
  const crashes = new Map<string, Map<string, Crash>>()

  function evict (): void {
    const oldest = crashes.keys().next().value
    if (crashes.size > MAX_SUSPECTS && oldest !== undefined) crashes.delete(oldest)
  }

  return {
    record: (fingerprint, crash, source, nowMs) => {
      const recorded = crashes.get(fingerprint) ?? new Map<string, Crash>()
      if (!recorded.has(crash)) recorded.set(crash, { atMs: nowMs, source })
      crashes.set(fingerprint, recorded)
      evict()
    },
    clear: (fingerprint) => { crashes.delete(fingerprint) },
    isRefused: (fingerprint, nowMs) => {
      const recorded = crashes.get(fingerprint)
      if (recorded === undefined) return false
      return [...recorded.values()].filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS).length >= CRASHES_TO_REFUSE
    },
    select: ({ sources, sinceMs, maxCrashes }) => [...crashes]
      .flatMap(([fingerprint, recorded]) => [...recorded].map(([crash, { atMs, source }]) => ({ fingerprint, crash, atMs, source, count: recorded.size })))
      .filter(({ atMs, source }) => atMs >= sinceMs && sources.includes(source))
      .sort((a, b) => b.count - a.count || b.atMs - a.atMs)
      .slice(0, maxCrashes)
      .map(({ fingerprint, crash }) => [fingerprint, crash] as const)
  }
}
