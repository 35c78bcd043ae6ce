/**
 * Members that sent no ack and have not been declared dead yet.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** One suspected member. */
export interface Suspicion {
  readonly incarnation: protocol.Incarnation
  /** The member's estimated heartbeat when the suspicion started; a higher one proves that it was alive later. */
  readonly heartbeat: number
  readonly deadlineMs: number
  readonly nextProbeMs: number
}

/** The suspected members of a daemon. */
export interface Suspicions {
  readonly start: (incarnation: protocol.Incarnation, heartbeat: number, timeoutMs: number, nowMs: number) => boolean
  /** Ends the suspicion; returns true if there was one. */
  readonly clear: (incarnation: protocol.Incarnation) => boolean
  /** Ends the suspicion if the heartbeat proves that the member was alive after it started. */
  readonly clearByHeartbeat: (incarnation: protocol.Incarnation, heartbeat: number) => void
  /** Removes and returns the suspicions whose deadline has passed. */
  readonly removeExpired: (nowMs: number) => readonly Suspicion[]
  /** Returns the suspected members that are due for a probe, and schedules their next one. */
  readonly collectDueProbes: (nowMs: number) => readonly protocol.Incarnation[]
  readonly clearAll: () => void
}

/**
 * Returns the time for which a member is suspected before it is declared dead: α·max(1, log10 n) probe intervals, times
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
 * suspicions.removeExpired(3_000).length // 1
 * ```
 */
export function createSuspicions (): Suspicions {
  const suspicions = new Map<protocol.Incarnation, Suspicion>()

  function start (incarnation: protocol.Incarnation, heartbeat: number, timeoutMs: number, nowMs: number): boolean {
    if (suspicions.has(incarnation)) return false
    suspicions.set(incarnation, { incarnation, heartbeat, deadlineMs: nowMs + timeoutMs, nextProbeMs: nowMs })
    return true
  }

  function clearByHeartbeat (incarnation: protocol.Incarnation, heartbeat: number): void {
    const suspicion = suspicions.get(incarnation)
    if (suspicion !== undefined && heartbeat > suspicion.heartbeat) suspicions.delete(incarnation)
  }

  function removeExpired (nowMs: number): readonly Suspicion[] {
    if (suspicions.size === 0) return []
    const expired = [...suspicions.values()].filter((suspicion) => suspicion.deadlineMs <= nowMs)
    for (const suspicion of expired) suspicions.delete(suspicion.incarnation)
    return expired
  }

  function collectDueProbes (nowMs: number): readonly protocol.Incarnation[] {
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
    clearByHeartbeat,
    removeExpired,
    collectDueProbes,
    clearAll: () => { suspicions.clear() }
  }
}
