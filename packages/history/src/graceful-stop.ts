/**
 * Checks that every planned stop is a graceful shutdown that interrupts no request in progress.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'graceful-stop'

interface Stop {
  readonly daemon: string
  readonly begunAtMs: number
  readonly ended: history.ProcessEnded | undefined
}

function findStops (recordedHistory: history.History): readonly Stop[] {
  return recordedHistory.facts.flatMap((fact) => {
    if (fact.kind !== 'stop-begun') return []
    const ended = recordedHistory.facts.find((each) => each.kind === 'process-ended' && each.daemon === fact.daemon && each.atMs >= fact.atMs)
    return [{ daemon: fact.daemon, begunAtMs: fact.atMs, ended: ended?.kind === 'process-ended' ? ended : undefined }]
  })
}

/** Returns whether a call was connected to the daemon at some moment between the beginning and the end of the stop. */
function isInProgress (call: calls.Call, stop: Stop): boolean {
  const [outcome] = call.outcomes
  const begunBeforeEnd = call.sent.atMs <= (stop.ended?.atMs ?? Infinity)
  return call.sent.daemon === stop.daemon && begunBeforeEnd && (outcome === undefined || outcome.atMs >= stop.begunAtMs)
}

/** Refusal reasons that mean that a dispatched request was interrupted. */
const INTERRUPTED_REASONS: ReadonlySet<protocol.Reason> = new Set(['target-failed', 'answer-incomplete', 'caller-gone-dispatched'])

/** Returns whether a dispatched request was interrupted by the stop, not by a failure of its target. */
function wasInterrupted (refused: history.Refused, requestRuns: readonly runs.Run[]): boolean {
  return INTERRUPTED_REASONS.has(refused.reason) && requestRuns.some((run) => run.ended?.outcome !== 'broken')
}

function describe (call: calls.Call, requestRuns: readonly runs.Run[]): string | undefined {
  const { request, daemon } = call.sent
  const [outcome] = call.outcomes
  if (outcome === undefined) return `${request} never received a final outcome from ${daemon}`
  if (outcome.kind === 'disconnected' && outcome.by === 'daemon') return `${request} was cut off by ${daemon}`
  if (outcome.kind === 'refused' && wasInterrupted(outcome, requestRuns)) return `${request} was stopped on its target by ${daemon} (${outcome.reason})`
  return undefined
}

function checkExit (stop: Stop): readonly history.Violation[] {
  if (stop.ended === undefined) return [{ guarantee: GUARANTEE, atMs: stop.begunAtMs, message: `${stop.daemon} never ended` }]
  if (stop.ended.code === 0) return []
  return [{ guarantee: GUARANTEE, atMs: stop.ended.atMs, message: `${stop.daemon} ended with ${stop.ended.code ?? 'a signal'}` }]
}

/**
 * Finds calls that a planned stop interrupted, and planned stops that did not end with exit code 0.
 *
 * @example
 * ```ts
 * gracefulStop(history) // [] when the guarantee holds
 * ```
 */
export function gracefulStop (recordedHistory: history.History): readonly history.Violation[] {
  const byRequest = runs.runsByRequest(recordedHistory)
  const allCalls = calls.calls(recordedHistory)
  return findStops(recordedHistory).flatMap((stop) => {
    const interrupted = allCalls.filter((call) => isInProgress(call, stop)).flatMap((call) => {
      const message = describe(call, byRequest.get(call.sent.request) ?? [])
      return message === undefined ? [] : [{ guarantee: GUARANTEE, atMs: call.outcomes[0]?.atMs ?? stop.begunAtMs, message }]
    })
    return [...interrupted, ...checkExit(stop)]
  })
}
