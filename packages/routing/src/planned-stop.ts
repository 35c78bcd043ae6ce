/**
 * Which requests a stopping process still takes.
 *
 * Load: callers hold older addresses for some seconds after a process was told to stop. Those that come
 * early are served; later only what will surely end before the process must.
 *
 * @module
 */
import type * as document from './document.js'

/** Time from the begin of a stop for which everything is taken, ms. */
const TAKE_ALL_MS = 2_700

/** Time before the process must end by which a request must be over, ms. */
const MARGIN_MS = 1_200

/** Slowest generation that is reckoned with, ms for each token; origin: the slowest engines seen take 17. */
const SLOWEST_TOKEN_MS = 30

/** Time to the first event, or of a plain answer, that is reckoned with, ms. */
const FIRST_MS = 1_000

/** What the decision looks at. */
export interface Situation {
  readonly sinceStopMs: number
  /** Time from the begin of the stop to the end of the process. */
  readonly graceMs: number
  readonly kind: document.RequestKind
  readonly outputTokens: number
}

/**
 * Whether a request is taken.
 *
 * @example
 * ```ts
 * isTakenDuringStop({ sinceStopMs: 3_000, graceMs: 8_000, kind: 'idempotent', outputTokens: 0 }) // true
 * ```
 */
export function isTakenDuringStop (situation: Situation): boolean {
  const { sinceStopMs, graceMs, kind, outputTokens } = situation
  if (sinceStopMs < TAKE_ALL_MS) return true
  const generationMs = kind === 'stream' ? outputTokens * SLOWEST_TOKEN_MS : 0
  return FIRST_MS + generationMs < graceMs - MARGIN_MS - sinceStopMs
}
