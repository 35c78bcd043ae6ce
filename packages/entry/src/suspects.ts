/**
 * Contents that are refused for a time because they crashed the targets that ran them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which news that allows a content is kept, so that older news can't undo it, milliseconds. */
const CLEARED_RETENTION_MS = 60_000

interface StoredUpdate {
  readonly news: protocol.SuspectNews
  readonly expiresAtMs: number
}

/** A content that is refused at present. */
export interface RefusedContent {
  readonly crashes: number
  readonly remainingMs: number
}

/** The latest news of each content by fingerprint. */
export class Suspects {
  readonly #byFingerprint = new Map<string, StoredUpdate>()

  /** Takes in a piece of news unless it is older than what is known. */
  apply (news: protocol.SuspectNews, nowMs: number): void {
    const stored = this.#byFingerprint.get(news.fingerprint)
    if (stored !== undefined && stored.news.version >= news.version) return
    const retentionMs = news.state === 'refused' ? news.remainingMs : Math.max(news.remainingMs, CLEARED_RETENTION_MS)
    this.#byFingerprint.set(news.fingerprint, { news, expiresAtMs: nowMs + retentionMs })
  }

  findRefused (fingerprint: string, nowMs: number): RefusedContent | undefined {
    const stored = this.#byFingerprint.get(fingerprint)
    if (stored === undefined || stored.news.state !== 'refused' || stored.expiresAtMs <= nowMs) return undefined
    return { crashes: stored.news.crashes, remainingMs: stored.expiresAtMs - nowMs }
  }

  /** Drops news whose time is over. */
  expire (nowMs: number): void {
    for (const [fingerprint, stored] of this.#byFingerprint) {
      if (stored.expiresAtMs <= nowMs) this.#byFingerprint.delete(fingerprint)
    }
  }
}
