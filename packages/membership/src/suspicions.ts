/**
 * Members that did not answer and are not yet held for gone.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** One suspected member. */
export interface Suspicion {
  readonly incarnation: protocol.Incarnation
  /** The member's estimated beat when it was suspected; a higher one proves that it lived later. */
  readonly beat: number
  readonly deadlineMs: number
  readonly nextProbeMs: number
}

/** The suspected members of a daemon. */
export interface Suspicions {
  readonly start: (incarnation: protocol.Incarnation, beat: number, timeoutMs: number, nowMs: number) => boolean
  /** Ends the suspicion; true if there was one. */
  readonly clear: (incarnation: protocol.Incarnation) => boolean
  /** Ends the suspicion if the beat proves that the member lived after it began. */
  readonly clearByBeat: (incarnation: protocol.Incarnation, beat: number) => void
  /** Removes and gives the suspicions whose time is over. */
  readonly takeExpired: (nowMs: number) => readonly Suspicion[]
  /** Suspected members that are due to be probed again. */
  readonly takeProbes: (nowMs: number) => readonly protocol.Incarnation[]
  readonly clearAll: () => void
}

/**
 * Time for which a member is suspected before it is held for gone: α·max(1, log10 n) probe intervals, times
 * one plus the local health score (Lifeguard, sections III and IV).
 *
 * @example
 * ```ts
 * suspicionTimeoutMs(320, 0) // 7_515
 * ```
 */
export function suspicionTimeoutMs (members: number, healthScore: number): number {
  const scale = Math.max(1, Math.log10(Math.max(1, members)))
  return Math.round(settings.SUSPICION_MULTIPLIER * scale * settings.PROBE_INTERVAL_MS * (1 + healthScore))
}

/**
 * Creates an empty set of suspicions.
 *
 * @example
 * ```ts
 * const suspicions = createSuspicions()
 * suspicions.start('peer000000001', 40, 3_000, 0)
 * suspicions.takeExpired(3_000).length // 1
 * ```
 */
export function createSuspicions (): Suspicions {
  const suspicions = new Map<protocol.Incarnation, Suspicion>()

  function start (incarnation: protocol.Incarnation, beat: number, timeoutMs: number, nowMs: number): boolean {
    if (suspicions.has(incarnation)) return false
    suspicions.set(incarnation, { incarnation, beat, deadlineMs: nowMs + timeoutMs, nextProbeMs: nowMs })
    return true
  }

  function clearByBeat (incarnation: protocol.Incarnation, beat: number): void {
    const suspicion = suspicions.get(incarnation)
    if (suspicion !== undefined && beat > suspicion.beat) suspicions.delete(incarnation)
  }

  function takeExpired (nowMs: number): readonly Suspicion[] {
    if (suspicions.size === 0) return []
    const expired = [...suspicions.values()].filter((suspicion) => suspicion.deadlineMs <= nowMs)
    for (const suspicion of expired) suspicions.delete(suspicion.incarnation)
    return expired
  }

  function takeProbes (nowMs: number): readonly protocol.Incarnation[] {
    if (suspicions.size === 0) return []
    const due = [...suspicions.values()].filter((suspicion) => suspicion.nextProbeMs <= nowMs)
    for (const suspicion of due) {
      suspicions.set(suspicion.incarnation, { ...suspicion, nextProbeMs: nowMs + settings.SUSPECT_PROBE_INTERVAL_MS })
    }
    return due.map((suspicion) => suspicion.incarnation)
  }

  return {
    start,
    clear: (incarnation) => suspicions.delete(incarnation),
    clearByBeat,
    takeExpired,
    takeProbes,
    clearAll: () => { suspicions.clear() }
  }
}
