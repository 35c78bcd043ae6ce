/**
 * Callers that go away before their answer is complete.
 *
 * @module
 */
import type * as output from './output.js'
import * as receipt from './receipt.js'
import type * as request from './request.js'
import * as settle from './settle.js'
import type * as state from './state.js'

/** Time for which a waiting request is kept for a resend of its caller, milliseconds. */
export const RESEND_GRACE_MS = 5_000

function * handleUnattended (own: state.State, abandoned: request.Request, nowMs: number): output.Outputs {
  if (abandoned.resendable) return
  if (abandoned.state === 'waiting') {
    yield * settle.giveUp(own, abandoned, receipt.notRun('caller-gone', {}), 0, nowMs)
  } else if (abandoned.cancelCause === undefined) {
    own.requests.set(abandoned.arrival.request, { ...abandoned, cancelCause: 'caller-gone' })
    yield { kind: 'cancel', request: abandoned.arrival.request }
  }
}

/** Handles a closed connection. A caller that brought an identity may come back with it. */
export function * handleCallerGone (own: state.State, caller: number, nowMs: number): output.Outputs {
  const original = own.requestOfCaller.get(caller)
  const left = original === undefined ? undefined : own.requests.get(original)
  if (left === undefined) return
  own.requestOfCaller.delete(caller)
  const callers = new Set([...left.callers].filter((each) => each !== caller))
  const abandoned = { ...left, callers, abandonedMs: callers.size === 0 ? nowMs : undefined }
  own.requests.set(left.arrival.request, abandoned)
  if (callers.size === 0) yield * handleUnattended(own, abandoned, nowMs)
}

/** Withdraws waiting requests whose callers did not come back in time. */
export function * expireAbandoned (own: state.State, nowMs: number): output.Outputs {
  for (const waiting of own.waiting()) {
    if (waiting.abandonedMs === undefined || nowMs - waiting.abandonedMs < RESEND_GRACE_MS) continue
    yield * settle.giveUp(own, waiting, receipt.notRun('caller-gone', {}), 0, nowMs)
  }
}
