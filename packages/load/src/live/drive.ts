/**
 * Sends planned requests open loop: a slow answer delays no later request, and latency counts from the
 * intended time of sending. Source: G. Tene, "How NOT to Measure Latency" (coordinated omission).
 *
 * @module
 */
import * as events from 'node:events'
import type * as plan from './plan.js'

/** How a call ended. Times are milliseconds on the driver's clock; undefined when there was none. */
export interface Ending {
  readonly outcome: 'answered' | 'refused' | 'broken' | 'unanswered'
  readonly reason: string
  readonly firstByteAtMs: number | undefined
  readonly endedAtMs: number
}

/** A call with its ending. */
export interface Call {
  readonly request: plan.LiveRequest
  /** Intended time of sending on the driver's clock. */
  readonly intendedAtMs: number
  readonly ending: Ending
}

/** What a driver works with. */
export interface Ports {
  readonly now: () => number
  /** Resolves after a time, or at once when the signal aborts. */
  readonly sleep: (durationMs: number, signal: AbortSignal) => Promise<void>
  /** Sends one request; resolves in any case. */
  readonly send: (request: plan.LiveRequest, signal: AbortSignal) => Promise<Ending>
}

/**
 * Sends everything planned and waits for the answers, for `drainMs` after the last sending at most.
 *
 * @example
 * ```ts
 * const calls = await drive(planned, ports, 30_000)
 * ```
 */
export async function drive (planned: Iterable<plan.Planned>, ports: Ports, drainMs: number): Promise<readonly Call[]> {
  const beginMs = ports.now()
  const drain = new AbortController()
  const over = new AbortController()
  events.EventEmitter.setMaxListeners(0, drain.signal)
  const calls: Promise<Call>[] = []
  for (const { atMs, request } of planned) {
    const intendedAtMs = beginMs + atMs
    const waitMs = intendedAtMs - ports.now()
    if (waitMs > 0) await ports.sleep(waitMs, over.signal)
    calls.push(ports.send(request, drain.signal).then((ending) => ({ request, intendedAtMs, ending })))
  }
  const all = Promise.all(calls)
  await Promise.race([all, ports.sleep(drainMs, over.signal)])
  over.abort()
  drain.abort()
  return await all
}
