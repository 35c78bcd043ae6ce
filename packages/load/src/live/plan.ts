/**
 * When which request is sent, decided before the first one is.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as mix from '../mix.js'
import type * as trace from '../trace/trace.js'

/** What is sent, without its text. */
export interface LiveRequest {
  readonly name: string
  readonly kind: Pick<mix.Kind, 'name' | 'service' | 'target' | 'method' | 'path' | 'tier' | 'nonIdempotent' | 'sharedTokens' | 'stream'>
  readonly organisation: string
  readonly promptTokens: number
  readonly answerTokens: number
  readonly deadlineMs: number | undefined
}

/** A request and its intended time of sending, milliseconds from the begin. */
export interface Planned {
  readonly atMs: number
  readonly request: LiveRequest
}

/** How much is sent at most. */
export interface Bounds {
  readonly maxRequests: number
  readonly durationMs: number
}

const MS_PER_S = 1_000

/**
 * Draws requests of a mix as a Poisson process.
 *
 * @example
 * ```ts
 * const planned = [...planMix(ATLASRENEW, 50, { maxRequests: 1_000, durationMs: 10_000 }, random)]
 * ```
 */
export function * planMix (of: mix.Mix, perS: number, bounds: Bounds, random: protocol.Random): Generator<Planned, void> {
  let atMs = 0
  for (let index = 0; index < bounds.maxRequests; index++) {
    atMs -= Math.log(1 - random()) / perS * MS_PER_S
    if (atMs >= bounds.durationMs) return
    yield { atMs, request: { name: `r${index}`, deadlineMs: undefined, ...mix.draw(of, random) } }
  }
}

/**
 * Sends a trace's arrivals at their times, `speed` times as fast as recorded.
 *
 * @example
 * ```ts
 * const planned = [...planTrace(recorded, 0.5, { maxRequests: 1_000, durationMs: 60_000 })]
 * ```
 */
export function * planTrace (of: trace.Trace, speed: number, bounds: Bounds): Generator<Planned, void> {
  const kinds = new Map(of.header.kinds.map((kind) => [kind.name, kind]))
  for (const [index, arrival] of of.arrivals.slice(0, bounds.maxRequests).entries()) {
    const kind = kinds.get(arrival.kind)
    const atMs = arrival.atMs / speed
    if (kind === undefined || atMs >= bounds.durationMs) return
    const organisation = of.header.organisations[arrival.by] ?? ''
    yield { atMs, request: { name: `r${index}`, kind, organisation, promptTokens: arrival.prompt, answerTokens: arrival.answer, deadlineMs: kind.deadlineMs } }
  }
}
