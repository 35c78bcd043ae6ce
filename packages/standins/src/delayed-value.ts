/**
 * A value whose changes become visible after a lag.
 *
 * @module
 */

interface Sample<Value> {
  readonly atMs: number
  readonly value: Value
}

/** Retains samples for as long as they may still be read. */
export class DelayedValue<Value> {
  #samples: readonly Sample<Value>[] = []

  constructor (readonly lagMs: number) {}

  record (atMs: number, value: Value): void {
    this.#samples = [...this.#samples.filter((sample, index) => index === this.#visibleIndex(atMs) || sample.atMs > atMs - this.lagMs), { atMs, value }]
  }

  /** Returns the newest sample that is at least as old as the lag. */
  read (nowMs: number): Sample<Value> | undefined {
    return this.#samples[this.#visibleIndex(nowMs)]
  }

  #visibleIndex (nowMs: number): number {
    return this.#samples.findLastIndex((sample) => sample.atMs <= nowMs - this.lagMs)
  }
}
