/**
 * Pauses that targets ask for: each wants nothing from this VM for a while.
 *
 * A pause holds for the VM that was told, so it is not spread as if it held for all. A VM that carries connections of a
 * peer is told in the peer's responses, which it does not read; the peer reports them.
 *
 * @module
 */

/** A pause that a target asks for. */
export interface Pause {
  readonly target: string
  readonly durationMs: number
  /** Endpoint of the daemon whose VM sent the request that the target answered. */
  readonly told: string
}

/** Pauses of all targets for this VM. */
export interface TargetPauses {
  /** Records a pause; returns whether it ends later than what was known. */
  readonly record: (pause: Pause, nowMs: number) => boolean
  /** Returns the time at which this VM may send to a target again; 0 if it may. */
  readonly untilMs: (target: string, nowMs: number) => number
  /** Returns how many requests of this daemon may be at a target: none in a pause, few right after it. */
  readonly maxInFlight: (target: string, nowMs: number) => number
  /** Returns the pauses that have not ended, with what is left of them. */
  readonly list: (nowMs: number) => readonly Pause[]
}

/** Longest pause that is kept, ms; a longer one is more likely an error of the target. */
export const MAX_PAUSE_MS = 120_000

/** Share of a pause, and its maximum, by which the return of daemons is spread, so that they don't all come back at once. */
const SPREAD_SHARE = 0.2
const MAX_SPREAD_MS = 1_000

/** Time after a pause in which the number of requests at the target doubles, ms. */
const DOUBLING_MS = 250

/** Time after a pause from which the target is used as any other, ms. */
const RAMP_MS = 1_500

interface RecordedPause {
  readonly pause: Pause
  readonly endMs: number
  /** End, with this daemon's share of the spread. */
  readonly untilMs: number
}

/**
 * Creates the pauses of one daemon; there are none. `random` spreads the return.
 *
 * @example
 * ```ts
 * pauses.record({ target: 'i-1', durationMs: 4_000, told: '10.1.0.25:7600' }, nowMs)
 * pauses.maxInFlight('i-1', nowMs) // 0
 * ```
 */
export function createTargetPauses (random: () => number): TargetPauses {
  const recorded = new Map<string, RecordedPause>()

  function current (target: string, nowMs: number): RecordedPause | undefined {
    const pause = recorded.get(target)
    if (pause !== undefined && nowMs - pause.untilMs >= RAMP_MS) recorded.delete(target)
    return recorded.get(target)
  }

  function record (pause: Pause, nowMs: number): boolean {
    const durationMs = Math.min(MAX_PAUSE_MS, pause.durationMs)
    const endMs = nowMs + durationMs
    if (durationMs <= 0 || endMs <= (current(pause.target, nowMs)?.endMs ?? -Infinity)) return false
    const spreadMs = Math.min(MAX_SPREAD_MS, SPREAD_SHARE * durationMs)
    recorded.set(pause.target, { pause, endMs, untilMs: endMs + random() * spreadMs })
    return true
  }

  function untilMs (target: string, nowMs: number): number {
    const pause = current(target, nowMs)
    return pause === undefined || pause.untilMs <= nowMs ? 0 : pause.untilMs
  }

  function maxInFlight (target: string, nowMs: number): number {
    const pause = current(target, nowMs)
    if (pause === undefined) return Infinity
    return pause.untilMs > nowMs ? 0 : 2 ** Math.floor((nowMs - pause.untilMs) / DOUBLING_MS)
  }

  return {
    record,
    untilMs,
    maxInFlight,
    list: (nowMs) => [...recorded.values()].filter(({ endMs }) => endMs > nowMs).map(({ pause, endMs }) => ({ ...pause, durationMs: endMs - nowMs }))
  }
}
