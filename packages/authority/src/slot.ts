/**
 * A granted slot on a target.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** One request that runs, or may be about to run, on a target. */
export interface Slot {
  readonly key: string
  readonly entry: protocol.Incarnation
  readonly requestNumber: number
  readonly service: string
  readonly organisation: string
  readonly tier: protocol.Rank
  readonly promptTokens: number
  readonly answerTokens: number
  /** Tokens that the slot counts for on its target. */
  readonly costTokens: number
  readonly nonIdempotent: boolean
  readonly fingerprint: string
  readonly target: string
  readonly grantedAtMs: number
  /** When the longest possible run is over. */
  readonly expiresAtMs: number
  /** Prompt tokens that the target was expected to hold. */
  readonly cachedTokens: number
  /** Wait for earlier prompts that was expected at the grant. */
  readonly backlogMs: number
  readonly expectedFirstTokenMs: number
  readonly expectedTotalMs: number
  /** When a preemption was last sent. */
  readonly revokedAtMs: number | undefined
  /** The grant's figures, repeated when the grant is sent again. */
  readonly figures: protocol.Figures
}
