/**
 * Handles callers that disconnect before their response is complete.
 *
 * @module
 */
import type * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import type * as state from './state.js'

/** Time that a waiting request is kept after its last caller disconnected, in case the caller resends it, milliseconds. */
export const RESEND_GRACE_MS = 5_000

function * handleLastCallerGone (entryState: state.State, abandoned: request.Request, nowMs: number): output.Outputs {
  if (abandoned.isResendable) return
  if (abandoned.state === 'waiting') {
    yield * settle.refuseWaiting(entryState, abandoned, receipt.notRun('caller-gone', {}), 0, nowMs)
  } else if (abandoned.cancelCause === undefined) {
    entryState.requests.set(abandoned.arrival.request, { ...abandoned, cancelCause: 'caller-gone' })
    yield { kind: 'cancel', request: abandoned.arrival.request }
  }
}

/** Handles a closed connection. A caller that sent an identity may resend the request under it. */
export function * handleCallerGone (entryState: state.State, caller: number, nowMs: number): output.Outputs {
  const original = entryState.requestByCaller.get(caller)
  const found = original === undefined ? undefined : entryState.requests.get(original)
  if (found === undefined) return
  entryState.requestByCaller.delete(caller)
  const callers = new Set([...found.callers].filter((each) => each !== caller))
  const abandoned = { ...found, callers, abandonedAtMs: callers.size === 0 ? nowMs : undefined }
  entryState.requests.set(found.arrival.request, abandoned)
  if (callers.size === 0) yield * handleLastCallerGone(entryState, abandoned, nowMs)
}

/** Refuses waiting requests whose callers did not resend them within `RESEND_GRACE_MS`. */
export function * expireAbandoned (entryState: state.State, nowMs: number): output.Outputs {
  for (const waiting of entryState.waiting()) {
    if (waiting.abandonedAtMs === undefined || nowMs - waiting.abandonedAtMs < RESEND_GRACE_MS) continue
    yield * settle.refuseWaiting(entryState, waiting, receipt.notRun('caller-gone', {}), 0, nowMs)
  }
}
