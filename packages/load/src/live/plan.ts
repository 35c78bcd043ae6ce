/**
 * Plans all requests and their send times before the first one is sent.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as mix from '../mix.js'
import type * as trace from '../trace/trace.js'

/** A request to send, without its text. */
export interface LiveRequest {
  readonly name: string
  readonly kind: Pick<mix.Kind, 'name' | 'service' | 'target' | 'method' | 'path' | 'tier' | 'nonIdempotent' | 'sharedTokens' | 'stream'>
  readonly organisation: string
  readonly promptTokens: number
  readonly answerTokens: number
  readonly deadlineMs: number | undefined
}

/** A request and its intended send time, in milliseconds from the start. */
export interface PlannedRequest {
  readonly atMs: number
  readonly request: LiveRequest
}

/** Limits of a plan. */
export interface Limits {
  readonly maxRequests: number
  readonly durationMs: number
}

const MS_PER_S = 1_000

/**
 * Plans requests drawn from a mix, with send times of a Poisson process.
 *
 * @example
 * ```ts
 * const planned = [...planMix(ATLASRENEW, 50, { maxRequests: 1_000, durationMs: 10_000 }, random)]
 * ```
 */
export function * planMix (requestMix: mix.Mix, ratePerS: number, limits: Limits, random: protocol.Random): Generator<PlannedRequest, void> {
  let atMs = 0
  for (let index = 0; index < limits.maxRequests; index++) {
    atMs -= Math.log(1 - random()) / ratePerS * MS_PER_S
    if (atMs >= limits.durationMs) return
    yield { atMs, request: { name: `r${index}`, deadlineMs: undefined, ...mix.draw(requestMix, random) } }
  }
}

/**
 * Plans the arrivals of a trace, `speed` times as fast as recorded.
 *
 * @example
 * ```ts
 * const planned = [...planTrace(recorded, 0.5, { maxRequests: 1_000, durationMs: 60_000 })]
 * ```
 */
export function * planTrace (sourceTrace: trace.Trace, speed: number, limits: Limits): Generator<PlannedRequest, void> {
  const kinds = new Map(sourceTrace.header.kinds.map((kind) => [kind.name, kind]))
  for (const [index, arrival] of sourceTrace.arrivals.slice(0, limits.maxRequests).entries()) {
    const kind = kinds.get(arrival.kind)
    const atMs = arrival.atMs / speed
    if (kind === undefined || atMs >= limits.durationMs) return
    const organisation = sourceTrace.header.organisations[arrival.by] ?? ''
    yield { atMs, request: { name: `r${index}`, kind, organisation, promptTokens: arrival.prompt, answerTokens: arrival.answer, deadlineMs: kind.deadlineMs } }
  }
}
