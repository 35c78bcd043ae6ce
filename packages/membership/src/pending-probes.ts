/**
 * Probes that were sent and have not been answered.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** An indirect probe that another daemon asked for. */
export interface Relay {
  readonly origin: protocol.Incarnation
  readonly sequence: number
}

/** One unanswered probe. */
export interface Pending {
  readonly sequence: number
  readonly to: protocol.Incarnation
  readonly sentMs: number
  /** Whether a missing answer says something about the member. */
  readonly counts: boolean
  readonly indirect: boolean
  readonly relay: Relay | undefined
}

/** What a new probe is for. */
export interface Purpose {
  readonly counts: boolean
  readonly relay?: Relay
}

/** The unanswered probes of a daemon. */
export interface PendingProbes {
  /** Registers a probe and gives its sequence; sequences start at 1. */
  readonly open: (to: protocol.Incarnation, purpose: Purpose, nowMs: number) => number
  /** Ends a probe that `subject` answered, directly or through another member. */
  readonly close: (sequence: number, subject: protocol.Incarnation) => Pending | undefined
  /** Counting probes older than `ageMs` that have not been repeated through others; each is given once. */
  readonly takeUnanswered: (ageMs: number, nowMs: number) => readonly Pending[]
  /** Removes and gives the probes older than `ageMs`. */
  readonly takeFailed: (ageMs: number, nowMs: number) => readonly Pending[]
  readonly clear: () => void
}

/**
 * Creates an empty set of probes.
 *
 * @example
 * ```ts
 * const pending = createPendingProbes()
 * const sequence = pending.open('peer000000001', { counts: true }, 0)
 * pending.close(sequence, 'peer000000001')
 * ```
 */
export function createPendingProbes (): PendingProbes {
  const probes = new Map<number, Pending>()
  let lastSequence = 0

  function open (to: protocol.Incarnation, purpose: Purpose, nowMs: number): number {
    lastSequence += 1
    probes.set(lastSequence, {
      sequence: lastSequence, to, sentMs: nowMs, counts: purpose.counts, indirect: false, relay: purpose.relay
    })
    return lastSequence
  }

  function close (sequence: number, subject: protocol.Incarnation): Pending | undefined {
    const probe = probes.get(sequence)
    if (probe?.to !== subject) return undefined
    probes.delete(sequence)
    return probe
  }

  function takeUnanswered (ageMs: number, nowMs: number): readonly Pending[] {
    if (probes.size === 0) return []
    const unanswered = [...probes.values()].filter((probe) => probe.counts && !probe.indirect && nowMs - probe.sentMs >= ageMs)
    for (const probe of unanswered) probes.set(probe.sequence, { ...probe, indirect: true })
    return unanswered
  }

  function takeFailed (ageMs: number, nowMs: number): readonly Pending[] {
    if (probes.size === 0) return []
    const failed = [...probes.values()].filter((probe) => nowMs - probe.sentMs >= ageMs)
    for (const probe of failed) probes.delete(probe.sequence)
    return failed
  }

  return { open, close, takeUnanswered, takeFailed, clear: () => { probes.clear() } }
}
