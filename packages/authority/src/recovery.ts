/**
 * Tracks whether this daemon is the authority of its pool, and whether it has collected what runs there.
 *
 * @module
 */

/** `idle`: another daemon is the authority. `settling`: holdings are being collected. `settled`: slots may be granted. */
export type Phase = 'idle' | 'settling' | 'settled'

/** The phase of an authority. */
export interface Recovery {
  readonly phase: () => Phase
  readonly startedAtMs: () => number
  readonly start: (nowMs: number) => void
  readonly stop: () => void
  /** Settles when all entries have replied or the settle time is over; returns true when this call settled it. */
  readonly update: (haveAllReplied: boolean, nowMs: number) => boolean
}

/** Maximum time for which a new authority grants no slots, milliseconds. */
export const SETTLE_TIME_MS = 3_000

/**
 * Creates the phase of a daemon that is not the authority.
 *
 * @example
 * ```ts
 * const recovery = createRecovery()
 * recovery.start(nowMs)
 * recovery.update(true, nowMs) // true
 * recovery.phase() // 'settled'
 * ```
 */
export function createRecovery (): Recovery {
  let phase: Phase = 'idle'
  let startedAtMs = 0
  return {
    phase: () => phase,
    startedAtMs: () => startedAtMs,
    start (nowMs) {
      phase = 'settling'
      startedAtMs = nowMs
    },
    stop () {
      phase = 'idle'
    },
    update (haveAllReplied, nowMs) {
      if (phase !== 'settling') return false
      if (!haveAllReplied && nowMs - startedAtMs < SETTLE_TIME_MS) return false
      phase = 'settled'
      return true
    }
  }
}
