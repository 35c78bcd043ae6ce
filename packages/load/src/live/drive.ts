/**
 * Open-loop load driver: a slow response doesn't delay later requests, and latency is measured from the intended
 * send time. Source: G. Tene, "How NOT to Measure Latency" (coordinated omission).
 *
 * @module
 */
import * as events from 'node:events'
import type * as plan from './plan.js'

/** How a call ended. Times are milliseconds on the driver's clock; `undefined` if no byte arrived. */
export interface CallResult {
  readonly outcome: 'answered' | 'refused' | 'broken' | 'unanswered'
  readonly reason: string
  readonly firstByteAtMs: number | undefined
  readonly endedAtMs: number
}

/** A call and its result. */
export interface Call {
  readonly request: plan.LiveRequest
  /** Intended send time on the driver's clock. */
  readonly intendedAtMs: number
  readonly result: CallResult
}

/** Dependencies of the driver. */
export interface Dependencies {
  readonly now: () => number
  /** Resolves after `durationMs`, or as soon as the signal aborts. */
  readonly sleep: (durationMs: number, signal: AbortSignal) => Promise<void>
  /** Sends one request. Never rejects. */
  readonly send: (request: plan.LiveRequest, signal: AbortSignal) => Promise<CallResult>
}

/**
 * Sends all planned requests and waits for their responses, for at most `drainMs` after the last request.
 *
 * @example
 * ```ts
 * const calls = await drive(planned, ports, 30_000)
 * ```
 */
export async function drive (planned: Iterable<plan.PlannedRequest>, dependencies: Dependencies, drainMs: number): Promise<readonly Call[]> {
  const startMs = dependencies.now()
  const drainAbort = new AbortController()
  const sleepAbort = new AbortController()
  events.EventEmitter.setMaxListeners(0, drainAbort.signal)
  const calls: Promise<Call>[] = []
  for (const { atMs, request } of planned) {
    const intendedAtMs = startMs + atMs
    const waitMs = intendedAtMs - dependencies.now()
    if (waitMs > 0) await dependencies.sleep(waitMs, sleepAbort.signal)
    calls.push(dependencies.send(request, drainAbort.signal).then((result) => ({ request, intendedAtMs, result })))
  }
  const allCalls = Promise.all(calls)
  await Promise.race([allCalls, dependencies.sleep(drainMs, sleepAbort.signal)])
  sleepAbort.abort()
  drainAbort.abort()
  return await allCalls
}
