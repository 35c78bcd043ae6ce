/**
 * Freshness rounds: numbers that an entry sends to authorities and that grants echo. A grant is not older
 * than the round that it echoes. The age of a round is measured on the entry's own clock alone.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

interface SentRound {
  readonly round: number
  readonly sentAtMs: number
}

/** Tracks, by authority, the rounds that are recent enough to make a grant valid. */
export class Rounds {
  readonly #byAuthority = new Map<protocol.Incarnation, readonly SentRound[]>()
  readonly #renewedAtMs = new Map<protocol.Incarnation, number>()
  #latest = 0

  /** Returns the round for a slot request that is sent now. Starts a new round when the latest is `ROUND_INTERVAL_MS` old. */
  current (authority: protocol.Incarnation, nowMs: number): number {
    const latest = this.#byAuthority.get(authority)?.at(-1)
    if (latest !== undefined && nowMs - latest.sentAtMs < protocol.ROUND_INTERVAL_MS) return latest.round
    if (!this.#renewedAtMs.has(authority)) this.#renewedAtMs.set(authority, nowMs)
    return this.#start(authority, nowMs)
  }

  /**
   * Returns whether a round must be sent in a message of its own. Rounds in slot requests don't count, because
   * an authority of several pools applies them to one pool only.
   */
  isDue (authority: protocol.Incarnation, nowMs: number): boolean {
    return nowMs - (this.#renewedAtMs.get(authority) ?? -Infinity) >= protocol.ROUND_INTERVAL_MS
  }

  /** Starts a new round for all pools of the authority. */
  renew (authority: protocol.Incarnation, nowMs: number): number {
    this.#renewedAtMs.set(authority, nowMs)
    return this.#start(authority, nowMs)
  }

  isFresh (authority: protocol.Incarnation, round: number, nowMs: number): boolean {
    const sent = this.#byAuthority.get(authority)?.find((each) => each.round === round)
    return sent !== undefined && nowMs - sent.sentAtMs < protocol.GRANT_VALIDITY_MS
  }

  /** Invalidates every grant that echoes a former round of the authority. */
  drop (authority: protocol.Incarnation): void {
    this.#byAuthority.delete(authority)
    this.#renewedAtMs.delete(authority)
  }

  /** Invalidates every grant that echoes a former round of any authority. */
  clear (): void {
    this.#byAuthority.clear()
    this.#renewedAtMs.clear()
  }

  #start (authority: protocol.Incarnation, nowMs: number): number {
    this.#latest += 1
    const recent = (this.#byAuthority.get(authority) ?? []).filter((each) => nowMs - each.sentAtMs < protocol.GRANT_VALIDITY_MS)
    this.#byAuthority.set(authority, [...recent, { round: this.#latest, sentAtMs: nowMs }])
    return this.#latest
  }
}
