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
const ACCEPT_ALL_MS = 2_700

/** Time before the process must end by which a request must be over, ms. */
const STOP_MARGIN_MS = 1_200

/** Slowest generation that is reckoned with, ms for each token; origin: the slowest engines seen take 17. */
const MAX_DECODE_MS_PER_TOKEN = 30

/** Time to the first event, or of a plain answer, that is reckoned with, ms. */
const FIRST_EVENT_MS = 1_000

/** What the decision looks at. */
export interface StoppingRequest {
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
export function isAcceptedDuringStop (request: StoppingRequest): boolean {
  const { sinceStopMs, graceMs, kind, outputTokens } = request
  if (sinceStopMs < ACCEPT_ALL_MS) return true
  const generationMs = kind === 'stream' ? outputTokens * MAX_DECODE_MS_PER_TOKEN : 0
  return FIRST_EVENT_MS + generationMs < graceMs - STOP_MARGIN_MS - sinceStopMs
}
