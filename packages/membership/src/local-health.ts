/**
 * Estimates whether missing acks are likely to be this daemon's own fault (Lifeguard, section IV.A).
 *
 * @module
 */
import * as settings from './settings.js'

/** Score from 0, healthy, to `MAX_HEALTH_SCORE`. */
export interface LocalHealth {
  readonly score: () => number
  readonly received: (nowMs: number) => void
  readonly probeAnswered: () => void
  /** Records the failure of a probe sent at `sentMs`; it raises the score if no message was received since. */
  readonly probeFailed: (sentMs: number) => void
}

/**
 * Creates a healthy score.
 *
 * @example
 * ```ts
 * const health = createLocalHealth()
 * health.probeFailed(1_000)
 * health.score() // 1
 * ```
 */
export function createLocalHealth (): LocalHealth {
  let score = 0
  let lastReceivedMs = -Infinity

  return {
    score: () => score,
    received: (nowMs) => { lastReceivedMs = nowMs },
    probeAnswered: () => { score = Math.max(0, score - 1) },
    probeFailed: (sentMs) => {
      if (lastReceivedMs <= sentMs) score = Math.min(settings.MAX_HEALTH_SCORE, score + 1)
    }
  }
}
