/**
 * Token bucket for the requests that one daemon sends to one target. Without a limit there is always a token.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Time over which unused requests accumulate, ms; at least one request accumulates. */
const BURST_MS = 1_000

/** Limits the requests to one target. */
export class RateBucket {
  private perS = Infinity
  private level = 0
  private filledAtMs = 0

  /** Applies the rate of requests; undefined for no limit. */
  configure (perS: number | undefined, nowMs: number): void {
    const { perS: previousPerS } = this
    this.level = this.tokens(nowMs)
    this.filledAtMs = nowMs
    this.perS = perS ?? Infinity
    // The bucket starts empty, so that daemons that become senders one after the other don't add their bursts.
    this.level = previousPerS === Infinity || this.perS === 0 ? 0 : Math.min(this.level, this.capacity())
  }

  /** Returns the number of requests that may be sent now. */
  tokens (nowMs: number): number {
    if (this.perS === Infinity) return Infinity
    return Math.min(this.capacity(), this.level + Math.max(0, nowMs - this.filledAtMs) * this.perS / MS_PER_S)
  }

  /** Returns the time until a request may be sent, ms. */
  waitMs (nowMs: number): number {
    const missing = 1 - this.tokens(nowMs)
    if (missing <= 0) return 0
    return this.perS === 0 ? Infinity : missing / this.perS * MS_PER_S
  }

  /** Takes a token for a request that is sent. */
  take (nowMs: number): void {
    if (this.perS === Infinity) return
    this.level = this.tokens(nowMs) - 1
    this.filledAtMs = nowMs
  }

  private capacity (): number {
    return Math.max(1, this.perS * BURST_MS / MS_PER_S)
  }
}
