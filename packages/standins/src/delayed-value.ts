/**
 * Values that readers see late.
 *
 * @module
 */

interface Sample<Value> {
  readonly atMs: number
  readonly value: Value
}

/** Keeps samples for as long as readers may still see them. */
export class Lagging<Value> {
  #samples: readonly Sample<Value>[] = []

  constructor (readonly lagMs: number) {}

  record (atMs: number, value: Value): void {
    this.#samples = [...this.#samples.filter((sample, index) => index === this.#visibleIndex(atMs) || sample.atMs > atMs - this.lagMs), { atMs, value }]
  }

  /** The newest sample that is at least as old as the lag. */
  read (nowMs: number): Sample<Value> | undefined {
    return this.#samples[this.#visibleIndex(nowMs)]
  }

  #visibleIndex (nowMs: number): number {
    return this.#samples.findLastIndex((sample) => sample.atMs <= nowMs - this.lagMs)
  }
}
