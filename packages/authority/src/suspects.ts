/**
 * Contents that were in flight when targets crashed, by fingerprint.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** What is known of one content. */
export interface SuspectRecord {
  readonly update: protocol.SuspectNews
  readonly expiresAtMs: number
}

/** Suspected contents of a pool and of its peers. */
export interface Suspects {
  readonly get: (fingerprint: string, nowMs: number) => SuspectRecord | undefined
  /** Takes a peer's news; true when it is newer than what was known. */
  readonly applyUpdate: (update: protocol.SuspectNews, nowMs: number) => boolean
  /** A target crashed with this content in flight; gives the news to spread. */
  readonly markSuspect: (fingerprint: string, wasAlone: boolean, nowMs: number) => protocol.SuspectNews
  /** The content ran to its end; gives the news to spread if it was suspected. */
  readonly clear: (fingerprint: string, nowMs: number) => protocol.SuspectNews | undefined
  readonly expire: (nowMs: number) => void
}

/** Time for which a content stays suspected or refused, milliseconds. */
const RETENTION_MS = 600_000
/** Contents kept; the oldest are dropped first. */
const MAX_SUSPECTS = 10_000

const SEVERITY = { cleared: 0, suspect: 1, refused: 2 } as const

function isNewer (a: protocol.SuspectNews, b: protocol.SuspectNews): boolean {
  if (a.version !== b.version) return a.version > b.version
  if (a.state !== b.state) return SEVERITY[a.state] > SEVERITY[b.state]
  return a.crashes > b.crashes
}

/**
 * Creates an empty register.
 *
 * @example
 * ```ts
 * const register = createSuspects()
 * register.accuse('f1', false, nowMs).state // 'suspect'
 * register.accuse('f1', true, nowMs).state // 'refused'
 * ```
 */
export function createSuspects (): Suspects {
  const records = new Map<string, SuspectRecord>()

  function get (fingerprint: string, nowMs: number): SuspectRecord | undefined {
    const existing = records.get(fingerprint)
    return existing !== undefined && existing.expiresAtMs > nowMs ? existing : undefined
  }

  function set (update: protocol.SuspectNews, nowMs: number): protocol.SuspectNews {
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
