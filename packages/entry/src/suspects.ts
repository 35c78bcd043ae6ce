/**
 * Tracks content that is refused for a time because it crashed the targets that ran it.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Retention of an update that clears content, so that an older update can't undo it, milliseconds. */
const CLEARED_RETENTION_MS = 60_000

interface StoredUpdate {
  readonly update: protocol.SuspectUpdate
  readonly expiresAtMs: number
}

/** Content that is refused at present. */
export interface RefusedContent {
  readonly crashes: number
  readonly remainingMs: number
}

/** Stores the latest update of each content by its fingerprint. */
export class Suspects {
  readonly #byFingerprint = new Map<string, StoredUpdate>()

  /** Applies an update unless the stored one has the same or a higher version. */
  apply (update: protocol.SuspectUpdate, nowMs: number): void {
    const stored = this.#byFingerprint.get(update.fingerprint)
    if (stored !== undefined && stored.update.version >= update.version) return
    const retentionMs = update.state === 'refused' ? update.remainingMs : Math.max(update.remainingMs, CLEARED_RETENTION_MS)
    this.#byFingerprint.set(update.fingerprint, { update, expiresAtMs: nowMs + retentionMs })
  }

  findRefused (fingerprint: string, nowMs: number): RefusedContent | undefined {
    const stored = this.#byFingerprint.get(fingerprint)
    if (stored === undefined || stored.update.state !== 'refused' || stored.expiresAtMs <= nowMs) return undefined
    return { crashes: stored.update.crashes, remainingMs: stored.expiresAtMs - nowMs }
  }

  /** Removes expired updates. */
  expire (nowMs: number): void {
    for (const [fingerprint, stored] of this.#byFingerprint) {
      if (stored.expiresAtMs <= nowMs) this.#byFingerprint.delete(fingerprint)
    }
  }
}
