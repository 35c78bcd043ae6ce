/**
 * Decides which requests a stopping process still accepts.
 *
 * Callers use cached addresses for some seconds after a process has started to stop. Early requests are
 * served; later ones are accepted only if they will end well before the process exits.
 *
 * @module
 */
import type * as document from './document.js'

/** Time after the start of a stop during which every request is accepted, ms. */
const ACCEPT_ALL_MS = 2_700

/** Margin between the expected end of a request and the end of the process, ms. */
const STOP_MARGIN_MS = 1_200

/** Assumed generation time, ms per token; the slowest engines take 17. */
const MAX_DECODE_MS_PER_TOKEN = 30

/** Assumed time to a plain response, ms. */
const PLAIN_RESPONSE_MS = 1_000

/** Assumed time to the first event of a stream and of one pause for as long as callers wait, ms; a target may preempt a stream. */
const STREAM_DELAY_MS = 2_600

/** A request that arrives during a planned stop. */
export interface StoppingRequest {
  readonly sinceStopMs: number
  /** Time from the start of the stop to the end of the process. */
  readonly graceMs: number
  readonly kind: document.RequestKind
  readonly outputTokens: number
}

/**
 * Returns whether a request is accepted.
 *
 * @example
 * ```ts
 * isAcceptedDuringStop({ sinceStopMs: 3_000, graceMs: 8_000, kind: 'idempotent', outputTokens: 0 }) // true
 * ```
 */
export function isAcceptedDuringStop (request: StoppingRequest): boolean {
  const { sinceStopMs, graceMs, kind, outputTokens } = request
  if (sinceStopMs < ACCEPT_ALL_MS) return true
  const durationMs = kind === 'stream' ? STREAM_DELAY_MS + outputTokens * MAX_DECODE_MS_PER_TOKEN : PLAIN_RESPONSE_MS
  return durationMs < graceMs - STOP_MARGIN_MS - sinceStopMs
}
