/**
 * Tracks whether this daemon's view of the members is fresh enough to act on.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** Unconfirmed after the start until no new members are discovered, and after a suspension until a majority of the probed members has sent acks. */
export interface Confirmation {
  readonly isConfirmed: (nowMs: number) => boolean
  readonly memberAdded: (nowMs: number) => void
  readonly resume: (probed: readonly protocol.Incarnation[], nowMs: number) => void
  readonly ackReceived: (incarnation: protocol.Incarnation) => void
}

/**
 * Creates the state of a daemon that has just started.
 *
 * @example
 * ```ts
 * const confirmation = createConfirmation()
 * confirmation.isConfirmed(0) // false
 * ```
 */
export function createConfirmation (): Confirmation {
  let startEndMs: number | undefined
  let hasStarted = false
  let probedMembers: ReadonlySet<protocol.Incarnation> = new Set()
  let acknowledged: ReadonlySet<protocol.Incarnation> = new Set()
  let resumeDeadlineMs = -Infinity

  function updateStart (nowMs: number): void {
    startEndMs ??= nowMs + settings.SETTLE_MS
    hasStarted ||= nowMs >= startEndMs
  }

  function isConfirmed (nowMs: number): boolean {
    updateStart(nowMs)
    if (!hasStarted) return false
    return acknowledged.size * 2 > probedMembers.size || nowMs >= resumeDeadlineMs
  }

  function memberAdded (nowMs: number): void {
    updateStart(nowMs)
    if (!hasStarted) startEndMs = nowMs + settings.SETTLE_MS
  }

  function resume (probed: readonly protocol.Incarnation[], nowMs: number): void {
    probedMembers = new Set(probed)
    acknowledged = new Set()
    resumeDeadlineMs = probed.length === 0 ? nowMs : nowMs + settings.RESUME_HOLD_MS
  }

  return {
    isConfirmed,
    memberAdded,
    resume,
    ackReceived: (incarnation) => { if (probedMembers.has(incarnation)) acknowledged = new Set([...acknowledged, incarnation]) }
  }
}
