/**
 * This daemon as the others see it.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

/** Own entry: the beat follows the injected clock. */
export interface OwnEntry {
  readonly incarnation: protocol.Incarnation
  readonly news: (nowMs: number) => protocol.MemberUpdate
  /** The new beat, if it rose since the last call. */
  readonly advance: (nowMs: number) => number | undefined
  readonly setLoad: (load: number) => void
  /** A state never goes back: alive, leaving, gone. */
  readonly setState: (state: 'leaving' | 'gone') => void
  /** Raises the beat above one at which others hold this daemon for gone. */
  readonly refute: (beat: number, nowMs: number) => void
}

/**
 * Creates the own entry.
 *
 * @example
 * ```ts
 * const own = createOwnEntry(options.self)
 * own.news(1_000).beat
 * ```
 */
export function createOwnEntry (initial: protocol.MemberUpdate): OwnEntry {
  let startedMs: number | undefined
  let firstBeat = initial.beat
  let lastBeat = initial.beat
  let load = initial.load
  let state = initial.state

  function beatAt (nowMs: number): number {
    startedMs ??= nowMs
    return firstBeat + Math.floor((nowMs - startedMs) / protocol.HEARTBEAT_INTERVAL_MS)
  }

  function advance (nowMs: number): number | undefined {
    const beat = beatAt(nowMs)
    if (beat <= lastBeat) return undefined
    lastBeat = beat
    return beat
  }

  function refute (beat: number, nowMs: number): void {
    const missing = beat + 1 - beatAt(nowMs)
    if (missing > 0) firstBeat += missing
  }

  return {
    incarnation: initial.incarnation,
    news: (nowMs) => ({ ...initial, beat: beatAt(nowMs), load, state }),
    advance,
    refute,
    setLoad: (value) => { load = Math.round(Math.min(1, Math.max(0, value)) * 100) / 100 },
    setState: (value) => { if (state !== 'gone') state = value }
  }
}
