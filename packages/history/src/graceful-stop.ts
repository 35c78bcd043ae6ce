/**
 * Every planned stop is a graceful shutdown that cuts off no request in progress.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const PROMISE = 'graceful-stop'

interface Stop {
  readonly daemon: string
  readonly begunMs: number
  readonly ended: history.ProcessEnded | undefined
}

function findStops (of: history.History): readonly Stop[] {
  return of.facts.flatMap((fact) => {
    if (fact.kind !== 'stop-begun') return []
    const ended = of.facts.find((each) => each.kind === 'process-ended' && each.daemon === fact.daemon && each.atMs >= fact.atMs)
    return [{ daemon: fact.daemon, begunMs: fact.atMs, ended: ended?.kind === 'process-ended' ? ended : undefined }]
  })
}

/** Whether a call was connected to the daemon at a moment from the stop's beginning to its end. */
function isInProgress (call: calls.Call, stop: Stop): boolean {
  const [final] = call.finals
  const begunBeforeEnd = call.sent.atMs <= (stop.ended?.atMs ?? Infinity)
  return call.sent.daemon === stop.daemon && begunBeforeEnd && (final === undefined || final.atMs >= stop.begunMs)
}

/** Reasons for the end of a request that was dispatched. */
const CUT_REASONS: ReadonlySet<protocol.Reason> = new Set(['target-failed', 'answer-incomplete', 'caller-gone-dispatched'])

/** The end of a dispatched request is the stop's doing unless its target broke. */
function isCutOff (refused: history.Refused, all: readonly runs.Run[]): boolean {
  return CUT_REASONS.has(refused.reason) && all.some((run) => run.ended?.outcome !== 'broken')
}

function describe (call: calls.Call, all: readonly runs.Run[]): string | undefined {
  const { request, daemon } = call.sent
  const [final] = call.finals
  if (final === undefined) return `${request} never got a final answer from ${daemon}`
  if (final.kind === 'disconnected' && final.by === 'daemon') return `${request} was cut off by ${daemon}`
  if (final.kind === 'refused' && isCutOff(final, all)) return `${request} was stopped on its target by ${daemon} (${final.reason})`
  return undefined
}

function judgeProcess (stop: Stop): readonly history.Violation[] {
  if (stop.ended === undefined) return [{ promise: PROMISE, atMs: stop.begunMs, message: `${stop.daemon} never ended` }]
  if (stop.ended.code === 0) return []
  return [{ promise: PROMISE, atMs: stop.ended.atMs, message: `${stop.daemon} ended with ${stop.ended.code ?? 'a signal'}` }]
}

/**
 * Finds calls that a planned stop cut off, and planned stops that did not end cleanly.
 *
 * @example
 * ```ts
 * gracefulStop(history) // [] when the promise was kept
 * ```
 */
export function gracefulStop (of: history.History): readonly history.Violation[] {
  const byRequest = runs.runsByRequest(of)
  const all = calls.calls(of)
  return findStops(of).flatMap((stop) => {
    const cut = all.filter((call) => isInProgress(call, stop)).flatMap((call) => {
      const message = describe(call, byRequest.get(call.sent.request) ?? [])
      return message === undefined ? [] : [{ promise: PROMISE, atMs: call.finals[0]?.atMs ?? stop.begunMs, message }]
    })
    return [...cut, ...judgeProcess(stop)]
  })
}
