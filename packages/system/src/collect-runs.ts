/**
 * Reads the requests that targets ran from their logs.
 *
 * @module
 */
import type * as history from '@persimmonhatch/history'
import * as standins from '@persimmonhatch/standins'
import * as undici from 'undici'
import type * as callModule from './call.js'

/** A target whose log can be read. */
export interface LoggedTarget {
  readonly name: string
  readonly kind: 'model' | 'plain'
  readonly controlAddress: string
}

/** One line of a target's log, in the format of both kinds of targets. */
export interface LogLine {
  readonly marker: string
  readonly arrivedAtMs: number
  readonly ranAtMs?: number
  readonly endedAtMs?: number
  readonly outcome: string
  readonly answerTokens?: number
  readonly decodedTokens?: number
  readonly wastedPrefillTokens?: number
  readonly prefilledTokens?: number
}

const FINISHED_OUTCOMES = new Set(['finished', 'answered'])
const CANCELLED_OUTCOMES = new Set(['cancelled', 'caller-gone'])

/**
 * Reads a target's log.
 *
 * @example
 * ```ts
 * const lines = await readLog(target)
 * ```
 */
export async function readLog (target: LoggedTarget): Promise<readonly LogLine[]> {
  const response = await undici.request(`http://${target.controlAddress}/standin/log`)
  const { requests } = await response.body.json() as { readonly requests: readonly LogLine[] }
  return requests
}

function toRunOutcome (outcome: string): 'finished' | 'cancelled' | 'broken' {
  if (FINISHED_OUTCOMES.has(outcome)) return 'finished'
  return CANCELLED_OUTCOMES.has(outcome) ? 'cancelled' : 'broken'
}

function answerText (target: LoggedTarget, line: LogLine): string {
  if (target.kind === 'plain') return FINISHED_OUTCOMES.has(line.outcome) ? line.marker : ''
  return standins.answerToken.answerText(line.marker, 0, line.decodedTokens ?? 0)
}

/**
 * Yields the facts in a target's log.
 *
 * @example
 * ```ts
 * const facts = [...runFacts(target, lines, requests, 0)]
 * ```
 */
export function * runFacts (target: LoggedTarget, lines: readonly LogLine[], requests: ReadonlyMap<string, callModule.Request>, firstRunNumber: number): Generator<history.history.Fact> {
  for (const [index, line] of lines.entries()) {
    const request = requests.get(line.marker)
    if (request === undefined) continue
    const run = firstRunNumber + index
    const { service, rank, nonIdempotent } = request
    yield { kind: 'run-started', atMs: line.arrivedAtMs, run, target: target.name, request: line.marker, service, rank, nonIdempotent }
    if (line.endedAtMs === undefined) continue
    yield { kind: 'run-ended', atMs: line.endedAtMs, run, outcome: toRunOutcome(line.outcome), answer: answerText(target, line) }
  }
}
