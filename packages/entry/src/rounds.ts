/**
 * Freshness rounds: numbers that an entry sends to authorities and that grants echo. A grant is at
 * most as old as the round it echoes, measured on the entry's own clock alone.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

interface SentRound {
  readonly round: number
  readonly sentAtMs: number
}

/** The rounds that are recent enough for grants to echo, by authority. */
export class Rounds {
  readonly #byAuthority = new Map<protocol.Incarnation, readonly SentRound[]>()
  readonly #renewedAtMs = new Map<protocol.Incarnation, number>()
  #latest = 0

  /** The round for an ask that is sent now; a new one when the latest has reached the interval of renewal. */
  current (authority: protocol.Incarnation, nowMs: number): number {
    const latest = this.#byAuthority.get(authority)?.at(-1)
    if (latest !== undefined && nowMs - latest.sentAtMs < protocol.ROUND_INTERVAL_MS) return latest.round
    if (!this.#renewedAtMs.has(authority)) this.#renewedAtMs.set(authority, nowMs)
    return this.#start(authority, nowMs)
  }

  /**
   * Whether a round must be sent by itself. The rounds of asks don't count: an authority of several
   * pools reads each ask for one pool only.
   */
  isDue (authority: protocol.Incarnation, nowMs: number): boolean {
    return nowMs - (this.#renewedAtMs.get(authority) ?? -Infinity) >= protocol.ROUND_INTERVAL_MS
  }

  /** A new round, for all pools of the authority. */
  renew (authority: protocol.Incarnation, nowMs: number): number {
    this.#renewedAtMs.set(authority, nowMs)
    return this.#start(authority, nowMs)
  }

  isFresh (authority: protocol.Incarnation, round: number, nowMs: number): boolean {
    const sent = this.#byAuthority.get(authority)?.find((each) => each.round === round)
    return sent !== undefined && nowMs - sent.sentAtMs < protocol.GRANT_VALIDITY_MS
  }

  /** Makes every grant that echoes a former round of the authority unusable. */
  drop (authority: protocol.Incarnation): void {
    this.#byAuthority.delete(authority)
    this.#renewedAtMs.delete(authority)
  }

  /** Makes every grant that echoes a former round unusable. */
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
