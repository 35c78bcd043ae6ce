/**
 * Contents that were in flight when targets crashed, by fingerprint.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** What is known of one content. */
export interface Suspicion {
  readonly news: protocol.SuspectNews
  readonly expiresAtMs: number
}

/** Suspected contents of a pool and of its peers. */
export interface Suspects {
  readonly get: (fingerprint: string, nowMs: number) => Suspicion | undefined
  /** Takes a peer's news; true when it is newer than what was known. */
  readonly takeNews: (news: protocol.SuspectNews, nowMs: number) => boolean
  /** A target crashed with this content in flight; gives the news to spread. */
  readonly accuse: (fingerprint: string, wasAlone: boolean, nowMs: number) => protocol.SuspectNews
  /** The content ran to its end; gives the news to spread if it was suspected. */
  readonly clear: (fingerprint: string, nowMs: number) => protocol.SuspectNews | undefined
  readonly expire: (nowMs: number) => void
}

/** Time for which a content stays suspected or refused, milliseconds. */
const RETENTION_MS = 600_000
/** Contents kept; the oldest are dropped first. */
const MAX_SUSPECTS = 10_000

const SEVERITY = { cleared: 0, suspect: 1, refused: 2 } as const

function isNewer (left: protocol.SuspectNews, right: protocol.SuspectNews): boolean {
  if (left.version !== right.version) return left.version > right.version
  if (left.state !== right.state) return SEVERITY[left.state] > SEVERITY[right.state]
  return left.crashes > right.crashes
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
  const suspicions = new Map<string, Suspicion>()

  function get (fingerprint: string, nowMs: number): Suspicion | undefined {
    const known = suspicions.get(fingerprint)
    return known !== undefined && known.expiresAtMs > nowMs ? known : undefined
  }

  function set (news: protocol.SuspectNews, nowMs: number): protocol.SuspectNews {
    suspicions.delete(news.fingerprint)
    suspicions.set(news.fingerprint, { news, expiresAtMs: nowMs + news.remainingMs })
    const [oldest] = suspicions.keys()
    if (suspicions.size > MAX_SUSPECTS && oldest !== undefined) suspicions.delete(oldest)
    return news
  }

  return {
    get,
    takeNews (news, nowMs) {
      const known = suspicions.get(news.fingerprint)
      if (known !== undefined && !isNewer(news, known.news)) return false
      set(news, nowMs)
      return true
    },
    accuse (fingerprint, wasAlone, nowMs) {
      const known = get(fingerprint, nowMs)?.news
      const isSure = known?.state === 'refused' || (known?.state === 'suspect' && wasAlone)
      return set({
        kind: 'suspect',
        fingerprint,
        version: (suspicions.get(fingerprint)?.news.version ?? 0) + 1,
        state: isSure ? 'refused' : 'suspect',
        crashes: (known?.crashes ?? 0) + 1,
        remainingMs: RETENTION_MS
      }, nowMs)
    },
    clear (fingerprint, nowMs) {
      const known = get(fingerprint, nowMs)?.news
      if (known === undefined || known.state !== 'suspect') return undefined
      return set({ ...known, version: known.version + 1, state: 'cleared', crashes: 0, remainingMs: RETENTION_MS }, nowMs)
    },
    expire (nowMs) {
      for (const [fingerprint, { expiresAtMs }] of suspicions) {
        if (expiresAtMs <= nowMs) suspicions.delete(fingerprint)
      }
    }
  }
}
