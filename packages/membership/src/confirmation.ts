/**
 * Whether this daemon's view of the others may be acted on.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** Unconfirmed after the start until no new members come in, and after a suspension until a majority of a round of probes was answered. */
export interface Confirmation {
  readonly isConfirmed: (nowMs: number) => boolean
  readonly memberAdded: (nowMs: number) => void
  readonly resume: (probed: readonly protocol.Incarnation[], nowMs: number) => void
  readonly answered: (incarnation: protocol.Incarnation) => void
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
  let settledMs: number | undefined
  let hasStarted = false
  let round: ReadonlySet<protocol.Incarnation> = new Set()
  let answers: ReadonlySet<protocol.Incarnation> = new Set()
  let holdUntilMs = -Infinity

  function noteTime (nowMs: number): void {
    settledMs ??= nowMs + settings.SETTLE_MS
    hasStarted ||= nowMs >= settledMs
  }

  function isConfirmed (nowMs: number): boolean {
    noteTime(nowMs)
    if (!hasStarted) return false
    return answers.size * 2 > round.size || nowMs >= holdUntilMs
  }

  function memberAdded (nowMs: number): void {
    noteTime(nowMs)
    if (!hasStarted) settledMs = nowMs + settings.SETTLE_MS
  }

  function resume (probed: readonly protocol.Incarnation[], nowMs: number): void {
    round = new Set(probed)
    answers = new Set()
    holdUntilMs = probed.length === 0 ? nowMs : nowMs + settings.RESUME_HOLD_MS
  }

  return {
    isConfirmed,
    memberAdded,
    resume,
    answered: (incarnation) => { if (round.has(incarnation)) answers = new Set([...answers, incarnation]) }
  }
}
