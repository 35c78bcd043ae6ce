/**
 * A granted slot on a target.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** A request that runs, or is about to run, on a target. */
export interface Slot {
  readonly key: string
  readonly entry: protocol.Incarnation
  /** Number that identifies the request at its entry. */
  readonly slotRequestId: number
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
  /** Time at which the longest possible run is over, and the slot is freed if its entry has vanished. */
  readonly expiresAtMs: number
  /** Prompt tokens that the target was expected to have cached. */
  readonly cachedTokens: number
  /** Wait for the prefill of earlier prompts that was expected at the grant, milliseconds. */
  readonly backlogMs: number
  readonly expectedFirstTokenMs: number
  readonly expectedTotalMs: number
  /** Time at which a preemption was last sent. */
  readonly revokedAtMs: number | undefined
  /** Figures of the grant, kept to resend the grant. */
  readonly figures: protocol.Figures
}
