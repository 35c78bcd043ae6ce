/**
 * Freshness rounds: numbers that an entry sends to authorities and that grants echo. A grant is at
 * most as old as the round it echoes, measured on the entry's own clock alone.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

interface Round {
  readonly round: number
  readonly sentMs: number
}

/** The rounds that are recent enough for grants to echo, by authority. */
export class Rounds {
  readonly #byAuthority = new Map<protocol.Incarnation, readonly Round[]>()
  #latest = 0

  /** The round for a message that is sent now; a new one when the latest is due for renewal. */
  current (authority: protocol.Incarnation, nowMs: number): number {
    const latest = this.#byAuthority.get(authority)?.at(-1)
    return latest === undefined || this.isDue(authority, nowMs) ? this.#start(authority, nowMs) : latest.round
  }

  isDue (authority: protocol.Incarnation, nowMs: number): boolean {
    const latest = this.#byAuthority.get(authority)?.at(-1)
    return latest === undefined || nowMs - latest.sentMs >= protocol.ROUND_INTERVAL_MS
  }

  isFresh (authority: protocol.Incarnation, round: number, nowMs: number): boolean {
    const sent = this.#byAuthority.get(authority)?.find((each) => each.round === round)
    return sent !== undefined && nowMs - sent.sentMs < protocol.GRANT_VALIDITY_MS
  }

  /** Makes every grant that echoes a former round of the authority unusable. */
  drop (authority: protocol.Incarnation): void {
    this.#byAuthority.delete(authority)
  }

  /** Makes every grant that echoes a former round unusable. */
  clear (): void {
    this.#byAuthority.clear()
  }

  #start (authority: protocol.Incarnation, nowMs: number): number {
    this.#latest += 1
    const recent = (this.#byAuthority.get(authority) ?? []).filter((each) => nowMs - each.sentMs < protocol.GRANT_VALIDITY_MS)
    this.#byAuthority.set(authority, [...recent, { round: this.#latest, sentMs: nowMs }])
    return this.#latest
  }
}
