/**
 * Suspect contents, which were in flight when targets crashed, by fingerprint.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** The last update of one content. */
export interface SuspectRecord {
  readonly update: protocol.SuspectUpdate
  readonly expiresAtMs: number
}

/** Suspect contents of this pool and of other pools. */
export interface Suspects {
  readonly get: (fingerprint: string, nowMs: number) => SuspectRecord | undefined
  /** Applies an update from another daemon; returns false when the existing one is not older. */
  readonly applyUpdate: (update: protocol.SuspectUpdate, nowMs: number) => boolean
  /**
   * Marks a content that was in flight when a target crashed as suspect, or as refused if it was suspect and ran
   * alone; returns the update to disseminate.
   */
  readonly markSuspect: (fingerprint: string, wasAlone: boolean, nowMs: number) => protocol.SuspectUpdate
  /** Clears a content that did not crash its target; returns the update to disseminate if the content was suspect. */
  readonly clear: (fingerprint: string, nowMs: number) => protocol.SuspectUpdate | undefined
  readonly expire: (nowMs: number) => void
}

/** Time for which a content stays suspect or refused, milliseconds. */
const RETENTION_MS = 600_000
/** Contents kept; the oldest are dropped first. */
const MAX_SUSPECTS = 10_000

const SEVERITY = { cleared: 0, suspect: 1, refused: 2 } as const

function isNewer (a: protocol.SuspectUpdate, b: protocol.SuspectUpdate): boolean {
  if (a.version !== b.version) return a.version > b.version
  if (a.state !== b.state) return SEVERITY[a.state] > SEVERITY[b.state]
  return a.crashes > b.crashes
}

/**
 * Creates an empty collection of suspects.
 *
 * @example
 * ```ts
 * const suspects = createSuspects()
 * suspects.markSuspect('f1', false, nowMs).state // 'suspect'
 * suspects.markSuspect('f1', true, nowMs).state // 'refused'
 * ```
 */
export function createSuspects (): Suspects {
  const records = new Map<string, SuspectRecord>()

  function get (fingerprint: string, nowMs: number): SuspectRecord | undefined {
    const existing = records.get(fingerprint)
    return existing !== undefined && existing.expiresAtMs > nowMs ? existing : undefined
  }

  function set (update: protocol.SuspectUpdate, nowMs: number): protocol.SuspectUpdate {
    records.delete(update.fingerprint)
    records.set(update.fingerprint, { update, expiresAtMs: nowMs + update.remainingMs })
    const [oldest] = records.keys()
    if (records.size > MAX_SUSPECTS && oldest !== undefined) records.delete(oldest)
    return update
  }

  return {
    get,
    applyUpdate (update, nowMs) {
      const existing = records.get(update.fingerprint)
      if (existing !== undefined && !isNewer(update, existing.update)) return false
      set(update, nowMs)
      return true
    },
    markSuspect (fingerprint, wasAlone, nowMs) {
      const existing = get(fingerprint, nowMs)?.update
      const isConfirmed = existing?.state === 'refused' || (existing?.state === 'suspect' && wasAlone)
      return set({
        kind: 'suspect',
        fingerprint,
        version: (records.get(fingerprint)?.update.version ?? 0) + 1,
        state: isConfirmed ? 'refused' : 'suspect',
        crashes: (existing?.crashes ?? 0) + 1,
        remainingMs: RETENTION_MS
      }, nowMs)
    },
    clear (fingerprint, nowMs) {
      const existing = get(fingerprint, nowMs)?.update
      if (existing === undefined || existing.state !== 'suspect') return undefined
      return set({ ...existing, version: existing.version + 1, state: 'cleared', crashes: 0, remainingMs: RETENTION_MS }, nowMs)
    },
    expire (nowMs) {
      for (const [fingerprint, { expiresAtMs }] of records) {
        if (expiresAtMs <= nowMs) records.delete(fingerprint)
      }
    }
  }
}
