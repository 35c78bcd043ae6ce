/**
 * Whether this daemon is the authority of its pool, and whether it knows what runs there.
 *
 * @module
 */

/** `idle`: another daemon is the authority. `settling`: holdings are being collected. */
export type Phase = 'idle' | 'settling' | 'settled'

/** The phase of an authority. */
export interface Recovery {
  readonly phase: () => Phase
  readonly startedAtMs: () => number
  readonly start: (nowMs: number) => void
  readonly stop: () => void
  /** Settles when all entries have answered or the settle time is over; true when it just settled. */
  readonly update: (haveAllReplied: boolean, nowMs: number) => boolean
}

/** Longest time for which a new authority grants nothing, milliseconds. */
export const SETTLE_TIME_MS = 3_000

/**
 * Creates the phase of a daemon that is not the authority.
 *
 * @example
 * ```ts
 * const phase = createRecovery()
 * phase.start(nowMs)
 * phase.update(true, nowMs) // true
 * phase.phase() // 'settled'
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
