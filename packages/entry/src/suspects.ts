/**
 * Contents that are refused for a time because they crashed the targets that ran them.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which news that allows a content is kept, so that older news can't undo it, milliseconds. */
const CLEARED_RETENTION_MS = 60_000

interface Known {
  readonly news: protocol.SuspectUpdate
  readonly untilMs: number
}

/** A content that is refused at present. */
export interface RefusedContent {
  readonly crashes: number
  readonly remainingMs: number
}

/** The latest news of each content by fingerprint. */
export class Suspects {
  readonly #byFingerprint = new Map<string, Known>()

  /** Takes in a piece of news unless it is older than what is known. */
  update (news: protocol.SuspectUpdate, nowMs: number): void {
    const known = this.#byFingerprint.get(news.fingerprint)
    if (known !== undefined && known.news.version >= news.version) return
    const retentionMs = news.state === 'refused' ? news.remainingMs : Math.max(news.remainingMs, CLEARED_RETENTION_MS)
    this.#byFingerprint.set(news.fingerprint, { news, untilMs: nowMs + retentionMs })
  }

  findRefused (fingerprint: string, nowMs: number): RefusedContent | undefined {
    const known = this.#byFingerprint.get(fingerprint)
    if (known === undefined || known.news.state !== 'refused' || known.untilMs <= nowMs) return undefined
    return { crashes: known.news.crashes, remainingMs: known.untilMs - nowMs }
  }

  /** Drops news whose time is over. */
  expire (nowMs: number): void {
    for (const [fingerprint, known] of this.#byFingerprint) {
      if (known.untilMs <= nowMs) this.#byFingerprint.delete(fingerprint)
    }
  }
}
