/**
 * Probes that were sent and have not been acknowledged.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** An indirect probe requested by another daemon. */
export interface Relay {
  readonly origin: protocol.Incarnation
  readonly sequence: number
}

/** A probe without an ack. */
export interface PendingProbe {
  readonly sequence: number
  readonly to: protocol.Incarnation
  readonly sentMs: number
  /** Whether a missing ack makes the member suspected. */
  readonly detectsFailure: boolean
  readonly isProbedIndirectly: boolean
  readonly relay: Relay | undefined
}

/** Purpose of a new probe. */
export interface Purpose {
  readonly detectsFailure: boolean
  readonly relay?: Relay
}

/** The unacknowledged probes of a daemon. */
export interface PendingProbes {
  /** Registers a probe and returns its sequence number; sequence numbers start at 1. */
  readonly open: (to: protocol.Incarnation, purpose: Purpose, nowMs: number) => number
  /** Removes a probe that `subject` acknowledged, directly or through another member. */
  readonly close: (sequence: number, subject: protocol.Incarnation) => PendingProbe | undefined
  /** Returns each failure-detecting probe older than `ageMs` once, for indirect probing. */
  readonly collectUnanswered: (ageMs: number, nowMs: number) => readonly PendingProbe[]
  /** Removes and returns the probes older than `ageMs`. */
  readonly removeFailed: (ageMs: number, nowMs: number) => readonly PendingProbe[]
  readonly clear: () => void
}

/**
 * Creates an empty set of probes.
 *
 * @example
 * ```ts
 * const pending = createPendingProbes()
 * const sequence = pending.open('peer000000001', { detectsFailure: true }, 0)
 * pending.close(sequence, 'peer000000001')
 * ```
 */
export function createPendingProbes (): PendingProbes {
  const probes = new Map<number, PendingProbe>()
  let lastSequence = 0

  function open (to: protocol.Incarnation, purpose: Purpose, nowMs: number): number {
    lastSequence += 1
    probes.set(lastSequence, {
      sequence: lastSequence, to, sentMs: nowMs, detectsFailure: purpose.detectsFailure, isProbedIndirectly: false, relay: purpose.relay
    })
    return lastSequence
  }

  function close (sequence: number, subject: protocol.Incarnation): PendingProbe | undefined {
    const probe = probes.get(sequence)
    if (probe?.to !== subject) return undefined
    probes.delete(sequence)
    return probe
  }

  function collectUnanswered (ageMs: number, nowMs: number): readonly PendingProbe[] {
    if (probes.size === 0) return []
    const unanswered = [...probes.values()].filter((probe) => probe.detectsFailure && !probe.isProbedIndirectly && nowMs - probe.sentMs >= ageMs)
    for (const probe of unanswered) probes.set(probe.sequence, { ...probe, isProbedIndirectly: true })
    return unanswered
  }

  function removeFailed (ageMs: number, nowMs: number): readonly PendingProbe[] {
    if (probes.size === 0) return []
    const failed = [...probes.values()].filter((probe) => nowMs - probe.sentMs >= ageMs)
    for (const probe of failed) probes.delete(probe.sequence)
    return failed
  }

  return { open, close, collectUnanswered, removeFailed, clear: () => { probes.clear() } }
}
